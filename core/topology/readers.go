// Package topology holds pure functions over the endpoint table: which hosts
// read the platform and which hosts are neighbours. Hosts with the same table
// reach the same result without an election.
//
// Usage:
//
//	readers := topology.Readers(table, "reduit", topology.ReadersPerDomain)
package topology

import (
	"cmp"
	"slices"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"

	"github.com/cespare/xxhash/v2"
)

// ReadersPerDomain is the number of hosts of a failure domain that read the
// platform. Two let one fail without a gap.
const ReadersPerDomain = 2

// Readers returns the count live hosts of the failure domain with the highest
// rendezvous hash, the highest first.
func Readers(table *endpoint.Table, domain id.Domain, count int) []id.Host {
	live := table.Select(func(entry endpoint.Entry) bool {
		return entry.Domain == domain && entry.State == endpoint.Alive
	})
	slices.SortStableFunc(live, func(a, b endpoint.Entry) int {
		return cmp.Compare(rendezvous(domain, b.Host), rendezvous(domain, a.Host))
	})
	hosts := make([]id.Host, 0, count)
	for _, entry := range live[:min(count, len(live))] {
		hosts = append(hosts, entry.Host)
	}
	return hosts
}

func rendezvous(domain id.Domain, host id.Host) uint64 {
	return xxhash.Sum64String("reader\x00" + string(domain) + "\x00" + string(host))
}
