// Package topology derives from the endpoint table which hosts read the platform and
// which hosts have a control link to each other. All functions are pure: hosts with
// the same table agree without exchanging messages.
//
// The hosts of a failure domain form a ring ordered by the hash of the host name.
// Each host dials the hosts at distance 1, at the cube root of the ring's size and at
// the square of that root. The failure domains form a ring as well, in which each
// reader dials one reader in each of the next three domains.
//
// # Usage
//
//	view := topology.Compute(table, self)
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
	// ReadersPerDomain is the number of readers of a failure domain. With two,
	// reading continues when one of them fails.
	ReadersPerDomain = 2
	// domainSuccessors is the number of following failure domains that a reader
	// dials.
	domainSuccessors = 3
	// unreachableRanks is the number of hosts of a failure domain, the first in
	// rendezvous order, that must all be down before the domain counts as
	// unreachable. With 22 racks in a failure domain, the loss of one rack is
	// mistaken for that in about one of 22^7 cases.
	unreachableRanks = 8
)

// View lists the links and the role of one host according to the table.
type View struct {
	// Dial lists the hosts that this host dials.
	Dial []endpoint.Entry
	// Accept lists the hosts that dial this host.
	Accept []id.Host
	// FallbackDial lists live hosts of failure domains whose preferred readers are
	// down. This host dials them as long as it has no link to the domain.
	FallbackDial []endpoint.Entry
	// IsReader is true if this host reads the platform.
	IsReader bool
	// Unreachable holds the failure domains whose first hosts are all suspect or
	// dead. The other entries of such a domain keep their state, so that the return
	// of the domain needs no refutation from each host.
	Unreachable map[id.Domain]bool
}

// HasPeer reports whether the topology includes a link between this host and the
// given one.
func (v *View) HasPeer(host id.Host) bool {
	return slices.Contains(v.Accept, host) ||
		slices.ContainsFunc(v.Dial, func(entry endpoint.Entry) bool { return entry.Host == host })
}

// Compute returns the view of one host, or an empty one if the host is not in the
// table. It passes over the whole table, so call it only after a change.
func Compute(table *endpoint.Table, self id.Host) View {
	own, known := table.Get(self)
	if !known {
		return View{}
	}
	fleet := groupByDomain(table, own.Domain)
	view := View{Unreachable: fleet.unreachableDomains()}
	fleet.addRingLinks(&view, self)
	fleet.addDomainLinks(&view, own)
	return view
}

// Readers returns the first count live hosts of a failure domain in rendezvous order,
// which read the platform. Leaving hosts are used only if no host is alive.
func Readers(table *endpoint.Table, domain id.Domain, count int) []id.Host {
	hosts := newRankedHosts(count)
	table.Each(func(entry *endpoint.Entry) {
		if entry.Domain == domain {
			hosts.add(newRankedHost(entry))
		}
	})
	return hostsOf(hosts.readers())
}

// Neighbors returns the hosts of its own failure domain that a host dials.
func Neighbors(table *endpoint.Table, self id.Host) []endpoint.Entry {
	own, known := table.Get(self)
	if !known {
		return nil
	}
	var view View
	fleet := groupByDomain(table, own.Domain)
	fleet.addRingLinks(&view, self)
	return view.Dial
}

// DomainPeers returns the hosts of other failure domains that a host dials. Only
// readers have any.
func DomainPeers(table *endpoint.Table, self id.Host) []endpoint.Entry {
	own, known := table.Get(self)
	if !known {
		return nil
	}
	var view View
	fleet := groupByDomain(table, own.Domain)
	view.Unreachable = fleet.unreachableDomains()
	fleet.addDomainLinks(&view, own)
	return view.Dial
}

// rankedHost is an entry with its score in rendezvous order.
type rankedHost struct {
	entry *endpoint.Entry
	score uint64
}

// newRankedHost hashes the host name alone: a host belongs to one failure domain, so
// its score is never compared with one from another domain.
func newRankedHost(entry *endpoint.Entry) rankedHost {
	return rankedHost{entry: entry, score: xxhash.Sum64String(string(entry.Host))}
}

func compareScores(a, b rankedHost) int {
	if order := cmp.Compare(b.score, a.score); order != 0 {
		return order
	}
	return cmp.Compare(a.entry.Host, b.entry.Host)
}

func hostsOf(ranked []rankedHost) []id.Host {
	hosts := make([]id.Host, 0, len(ranked))
	for _, host := range ranked {
		hosts = append(hosts, host.entry.Host)
	}
	return hosts
}

// ringDistances returns the distances at which a host in a ring of n hosts dials,
// without duplicates.
func ringDistances(n int) []int {
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
