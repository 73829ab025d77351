package topology

import (
	"slices"
	"strings"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"

	"github.com/cespare/xxhash/v2"
)

// rankedHosts holds the first hosts of a failure domain in rendezvous order. It keeps
// only those that are needed, because sorting all hosts would dominate the cost of
// computing a View.
type rankedHosts struct {
	count      int          // hosts of the failure domain
	maxReaders int          // bounds alive and leaving
	ranked     []rankedHost // in any state
	alive      []rankedHost
	leaving    []rankedHost
}

func newRankedHosts(maxReaders int) *rankedHosts { return &rankedHosts{maxReaders: maxReaders} }

func (r *rankedHosts) add(host rankedHost) {
	r.count++
	r.ranked = insertRanked(r.ranked, host, unreachableRanks)
	switch host.entry.State {
	case endpoint.Alive:
		r.alive = insertRanked(r.alive, host, r.maxReaders)
	case endpoint.Leaving:
		r.leaving = insertRanked(r.leaving, host, r.maxReaders)
	case endpoint.Suspect, endpoint.Dead:
	}
}

// insertRanked adds a host to a ranked list of at most limit hosts.
func insertRanked(ranked []rankedHost, host rankedHost, limit int) []rankedHost {
	if len(ranked) >= limit {
		if limit == 0 || compareScores(ranked[limit-1], host) < 0 {
			return ranked
		}
		ranked = ranked[:limit-1]
	}
	index, _ := slices.BinarySearchFunc(ranked, host, compareScores)
	return slices.Insert(ranked, index, host)
}

// readers returns the readers in rendezvous order.
func (r *rankedHosts) readers() []rankedHost {
	if len(r.alive) > 0 {
		return r.alive
	}
	return r.leaving
}

// unreachablePrefix returns the number of hosts before the first live one in
// rendezvous order.
func (r *rankedHosts) unreachablePrefix() int {
	for index, host := range r.ranked {
		if host.entry.Live() {
			return index
		}
	}
	return len(r.ranked)
}

// domainView is the endpoint table grouped by failure domain.
type domainView struct {
	own        id.Domain // failure domain of the host whose view is computed
	domains    map[id.Domain]*rankedHosts
	domainRing []id.Domain  // failure domains, ordered by the hash of their names
	localRing  []rankedHost // live hosts of the own failure domain, in rendezvous order
}

func groupByDomain(table *endpoint.Table, own id.Domain) domainView {
	v := domainView{own: own, domains: map[id.Domain]*rankedHosts{}}
	table.Each(func(entry *endpoint.Entry) {
		hosts, exists := v.domains[entry.Domain]
		if !exists {
			hosts = newRankedHosts(ReadersPerDomain)
			v.domains[entry.Domain] = hosts
			v.domainRing = append(v.domainRing, entry.Domain)
		}
		host := newRankedHost(entry)
		hosts.add(host)
		if entry.Domain == own && entry.Live() {
			v.localRing = append(v.localRing, host)
		}
	})
	slices.SortFunc(v.localRing, compareScores)
	slices.SortFunc(v.domainRing, compareDomains)
	return v
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

func (v *domainView) unreachableDomains() map[id.Domain]bool {
	out := map[id.Domain]bool{}
	for domain, hosts := range v.domains {
		if domain != v.own && hosts.unreachablePrefix() >= min(unreachableRanks, hosts.count) {
			out[domain] = true
		}
	}
	return out
}

// addRingLinks adds the links within the failure domain of self. A host that is not
// live has no position in the ring and gets no links.
func (v *domainView) addRingLinks(view *View, self id.Host) {
	position := slices.IndexFunc(v.localRing, func(host rankedHost) bool { return host.entry.Host == self })
	if position < 0 {
		return
	}
	size := len(v.localRing)
	for _, distance := range ringDistances(size) {
		view.Dial = append(view.Dial, *v.localRing[(position+distance)%size].entry)
		view.Accept = append(view.Accept, v.localRing[(position-distance+size)%size].entry.Host)
	}
}

// addDomainLinks adds the links between readers of different failure domains.
func (v *domainView) addDomainLinks(view *View, own endpoint.Entry) {
	readers := hostsOf(v.domains[v.own].readers())
	rank := slices.Index(readers, own.Host)
	view.IsReader = rank >= 0
	ring := v.reachableDomains(view.Unreachable)
	size, position := len(ring), slices.Index(ring, v.own)
	if !view.IsReader {
		return
	}
	for step := 1; step <= min(domainSuccessors, size-1); step++ {
		v.addDomainPeer(view, ring[(position+step)%size], rank)
		v.addDomainDialers(view, ring[(position-step+size)%size], readers, rank)
	}
}

func (v *domainView) reachableDomains(unreachable map[id.Domain]bool) []id.Domain {
	out := make([]id.Domain, 0, len(v.domainRing))
	for _, domain := range v.domainRing {
		if !unreachable[domain] {
			out = append(out, domain)
		}
	}
	return out
}

func (v *domainView) addDomainPeer(view *View, domain id.Domain, rank int) {
	hosts := v.domains[domain]
	peers := hosts.readers()
	if len(peers) == 0 {
		return
	}
	view.Dial = append(view.Dial, *peers[rank%len(peers)].entry)
	if hosts.unreachablePrefix() < ReadersPerDomain {
		return
	}
	for _, host := range hosts.ranked {
		if host.entry.Live() {
			view.FallbackDial = append(view.FallbackDial, *host.entry)
		}
	}
}

// addDomainDialers adds the readers of a preceding failure domain that dial the
// reader of the given rank.
func (v *domainView) addDomainDialers(view *View, domain id.Domain, readers []id.Host, rank int) {
	for dialerRank, dialer := range v.domains[domain].readers() {
		if dialerRank%len(readers) == rank {
			view.Accept = append(view.Accept, dialer.entry.Host)
		}
	}
}
