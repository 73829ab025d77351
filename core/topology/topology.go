// Package topology derives from the endpoint table which hosts read the
// platform and which hosts link with each other. All functions are pure: hosts
// with the same table agree without exchanging messages.
//
// The hosts of a failure domain form a ring ordered by the hash of the host
// id. Each host dials the hosts at distance 1, the cube root of n and its
// square. The failure domains form a ring as well, in which readers dial one
// reader in each of the next three.
//
// Usage:
//
//	view := topology.Of(table, self)
//	for _, peer := range view.Dial {
//		// Open a control link to peer.
//	}
package topology

import (
	"cmp"
	"math"
	"slices"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"

	"github.com/cespare/xxhash/v2"
)

const (
	// ReadersPerDomain is the number of readers of a failure domain. A second one
	// goes on when the first fails.
	ReadersPerDomain = 2
	// domainReach is the number of following failure domains that a reader
	// dials.
	domainReach = 3
	// probeRanks is the number of hosts of a failure domain, in rendezvous
	// order, that must all be unreachable before the whole failure domain is
	// taken for unreachable. With 22 racks in a failure domain, the loss of one
	// rack passes for that in about one of 22^7 cases.
	probeRanks = 8
)

// View is what the table says about the links of one host.
type View struct {
	// Dial lists the hosts to dial, Accept those that dial this host.
	Dial   []endpoint.Entry
	Accept []id.Host
	// FallbackDial lists further hosts to dial in failure domains whose first
	// readers are unreachable, while no link leads there.
	FallbackDial []endpoint.Entry
	// IsReader is true when this host reads the platform.
	IsReader bool
	// Unreachable holds the failure domains whose first hosts are all suspect
	// or dead. The other entries of such a domain keep their state, so that
	// its return needs no refutation from each host.
	Unreachable map[id.Domain]bool
}

// HasPeer reports whether the topology links this host with the given one.
func (v *View) HasPeer(host id.Host) bool {
	return slices.Contains(v.Accept, host) ||
		slices.ContainsFunc(v.Dial, func(entry endpoint.Entry) bool { return entry.Host == host })
}

// Compute returns the view of one host. It costs one pass over the table, so it is
// called only when the table has changed.
func Compute(table *endpoint.Table, self id.Host) View {
	own, known := table.Get(self)
	if !known {
		return View{}
	}
	fleet := group(table, own.Domain)
	view := View{Unreachable: fleet.unreachable()}
	fleet.addRing(&view, self)
	fleet.addDomains(&view, own)
	return view
}

// Readers returns the count live hosts of a failure domain that read the
// platform, first one first. Leaving hosts are taken only when no host is
// alive.
func Readers(table *endpoint.Table, domain id.Domain, count int) []id.Host {
	found := newMembers(count)
	table.Each(func(entry *endpoint.Entry) {
		if entry.Domain == domain {
			found.add(candidateOf(entry))
		}
	})
	return hostsOf(found.chosen())
}

// Neighbors returns the hosts of its own failure domain that a host dials.
func Neighbors(table *endpoint.Table, self id.Host) []endpoint.Entry {
	own, known := table.Get(self)
	if !known {
		return nil
	}
	var view View
	fleet := group(table, own.Domain)
	fleet.addRing(&view, self)
	return view.Dial
}

// DomainPeers returns the hosts of other failure domains that a host dials:
// none unless it is a reader.
func DomainPeers(table *endpoint.Table, self id.Host) []endpoint.Entry {
	own, known := table.Get(self)
	if !known {
		return nil
	}
	var view View
	fleet := group(table, own.Domain)
	view.Unreachable = fleet.unreachable()
	fleet.addDomains(&view, own)
	return view.Dial
}

type candidate struct {
	entry *endpoint.Entry
	score uint64
}

// candidateOf hashes the host alone: a host belongs to one failure domain, so
// its score there never competes with another.
func candidateOf(entry *endpoint.Entry) candidate {
	return candidate{entry: entry, score: xxhash.Sum64String(string(entry.Host))}
}

func byScore(a, b candidate) int {
	if order := cmp.Compare(b.score, a.score); order != 0 {
		return order
	}
	return cmp.Compare(a.entry.Host, b.entry.Host)
}

func hostsOf(candidates []candidate) []id.Host {
	hosts := make([]id.Host, 0, len(candidates))
	for _, each := range candidates {
		hosts = append(hosts, each.entry.Host)
	}
	return hosts
}

// distances returns the distances in a ring of n hosts, without repeats.
func distances(n int) []int {
	root := int(math.Round(math.Cbrt(float64(n))))
	var out []int
	for _, distance := range []int{1, root, root * root} {
		distance %= max(n, 1)
		if distance != 0 && !slices.Contains(out, distance) {
			out = append(out, distance)
		}
	}
	return out
}
