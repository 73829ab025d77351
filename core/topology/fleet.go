package topology

import (
	"slices"
	"strings"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"

	"github.com/cespare/xxhash/v2"
)

// members holds the first hosts of a failure domain in rendezvous order. It
// keeps only as many as are needed, because sorting all of them would make up
// most of the cost of a View.
type members struct {
	count   int
	readers int
	top     []candidate // of any state
	alive   []candidate
	leaving []candidate
}

func newMembers(readers int) *members { return &members{readers: readers} }

func (m *members) add(each candidate) {
	m.count++
	m.top = insert(m.top, each, probeRanks)
	switch each.entry.State {
	case endpoint.Alive:
		m.alive = insert(m.alive, each, m.readers)
	case endpoint.Leaving:
		m.leaving = insert(m.leaving, each, m.readers)
	case endpoint.Suspect, endpoint.Dead:
	}
}

// insert adds a candidate to a ranked list that holds at most limit.
func insert(ranked []candidate, each candidate, limit int) []candidate {
	if len(ranked) >= limit {
		if limit == 0 || byScore(ranked[limit-1], each) < 0 {
			return ranked
		}
		ranked = ranked[:limit-1]
	}
	index, _ := slices.BinarySearchFunc(ranked, each, byScore)
	return slices.Insert(ranked, index, each)
}

// chosen returns the readers, first one first.
func (m *members) chosen() []candidate {
	if len(m.alive) > 0 {
		return m.alive
	}
	return m.leaving
}

// lost counts the hosts before the first live one in rendezvous order.
func (m *members) lost() int {
	for index, each := range m.top {
		if each.entry.Live() {
			return index
		}
	}
	return len(m.top)
}

// fleet is the table split into failure domains.
type fleet struct {
	own     id.Domain
	domains map[id.Domain]*members
	order   []id.Domain // ring of the domains, by hash of the name
	ring    []candidate // live hosts of the own failure domain
}

func group(table *endpoint.Table, own id.Domain) fleet {
	f := fleet{own: own, domains: map[id.Domain]*members{}}
	table.Each(func(entry *endpoint.Entry) {
		known, exists := f.domains[entry.Domain]
		if !exists {
			known = newMembers(ReadersPerDomain)
			f.domains[entry.Domain] = known
			f.order = append(f.order, entry.Domain)
		}
		each := candidateOf(entry)
		known.add(each)
		if entry.Domain == own && entry.Live() {
			f.ring = append(f.ring, each)
		}
	})
	slices.SortFunc(f.ring, byScore)
	slices.SortFunc(f.order, compareDomains)
	return f
}

func compareDomains(a, b id.Domain) int {
	left, right := xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))
	switch {
	case left < right:
		return -1
	case left > right:
		return 1
	default:
		return strings.Compare(string(a), string(b))
	}
}

func (f *fleet) unreachable() map[id.Domain]bool {
	out := map[id.Domain]bool{}
	for domain, known := range f.domains {
		if domain != f.own && known.lost() >= min(probeRanks, known.count) {
			out[domain] = true
		}
	}
	return out
}

// addRing adds the links within the failure domain of self. A host that is not
// live in the table takes no place in the ring.
func (f *fleet) addRing(view *View, self id.Host) {
	place := slices.IndexFunc(f.ring, func(each candidate) bool { return each.entry.Host == self })
	if place < 0 {
		return
	}
	size := len(f.ring)
	for _, distance := range distances(size) {
		view.Dial = append(view.Dial, *f.ring[(place+distance)%size].entry)
		view.Accept = append(view.Accept, f.ring[(place-distance+size)%size].entry.Host)
	}
}

// addDomains adds the links between readers of different failure domains.
func (f *fleet) addDomains(view *View, own endpoint.Entry) {
	chosen := hostsOf(f.domains[f.own].chosen())
	rank := slices.Index(chosen, own.Host)
	view.IsReader = rank >= 0
	ring := f.reachable(view.Unreachable)
	size, place := len(ring), slices.Index(ring, f.own)
	if !view.IsReader {
		return
	}
	for step := 1; step <= min(domainReach, size-1); step++ {
		f.addPeer(view, ring[(place+step)%size], rank)
		f.addCallers(view, ring[(place-step+size)%size], chosen, rank)
	}
}

func (f *fleet) reachable(unreachable map[id.Domain]bool) []id.Domain {
	out := make([]id.Domain, 0, len(f.order))
	for _, domain := range f.order {
		if !unreachable[domain] {
			out = append(out, domain)
		}
	}
	return out
}

func (f *fleet) addPeer(view *View, domain id.Domain, rank int) {
	known := f.domains[domain]
	peers := known.chosen()
	if len(peers) == 0 {
		return
	}
	view.Dial = append(view.Dial, *peers[rank%len(peers)].entry)
	if known.lost() < ReadersPerDomain {
		return
	}
	for _, each := range known.top {
		if each.entry.Live() {
			view.FallbackDial = append(view.FallbackDial, *each.entry)
		}
	}
}

// addCallers adds the readers of a preceding failure domain that dial the
// reader of the given rank.
func (f *fleet) addCallers(view *View, domain id.Domain, chosen []id.Host, rank int) {
	for callerRank, caller := range f.domains[domain].chosen() {
		if callerRank%len(chosen) == rank {
			view.Accept = append(view.Accept, caller.entry.Host)
		}
	}
}
