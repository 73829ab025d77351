package balance

import (
	"cmp"
	"slices"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"

	"github.com/cespare/xxhash/v2"
)

const (
	// splitMixIncrement and the constants of mix are those of SplitMix64.
	splitMixIncrement = 0x9e3779b97f4a7c15
	// maxOffset limits a random offset to the range of an int.
	maxOffset = 1 << 31
)

// table is an immutable set of endpoints, replaced as a whole.
type table struct {
	hosts    map[id.Host]*hostState
	services map[id.Service]*hostPool
}

// hostState holds one host's entry, its rank and its statistics.
type hostState struct {
	entry endpoint.Entry
	rank  uint64
	stats *hostStats
}

// hostPool holds the hosts of one service. The lists local and remote form the
// subset; all holds every host that is alive.
type hostPool struct {
	all     []*hostState
	local   []*hostState
	remote  []*hostState
	suspect []*hostState
}

func (c *Chooser) buildTable(entries []endpoint.Entry, old *table) *table {
	built := &table{
		hosts:    make(map[id.Host]*hostState, len(entries)),
		services: map[id.Service]*hostPool{},
	}
	for _, entry := range entries {
		if entry.Service == "" {
			continue
		}
		host := &hostState{entry: entry, rank: c.rank(entry.Host), stats: carryOver(old.hosts[entry.Host], entry)}
		built.hosts[entry.Host] = host
		c.addToPool(built, host)
	}
	for _, pool := range built.services {
		pool.local = topRanked(pool.local, c.subsetSize)
		pool.remote = topRanked(pool.remote, c.subsetSize)
	}
	return built
}

func (c *Chooser) addToPool(built *table, host *hostState) {
	pool := built.services[host.entry.Service]
	if pool == nil {
		pool = new(hostPool)
		built.services[host.entry.Service] = pool
	}
	switch host.entry.State {
	case endpoint.Suspect:
		pool.suspect = append(pool.suspect, host)
	case endpoint.Alive:
		pool.all = append(pool.all, host)
		if host.entry.Domain == c.localDomain {
			pool.local = append(pool.local, host)
		} else {
			pool.remote = append(pool.remote, host)
		}
	default:
		// Leaving and dead hosts stay in the table only to track the end of their
		// outstanding calls.
	}
}

// rank orders hosts differently on each daemon, so that subsets are spread evenly.
func (c *Chooser) rank(host id.Host) uint64 {
	return mix(xxhash.Sum64String(string(host)) ^ c.seed)
}

// carryOver returns the statistics of a host. A new incarnation starts without any,
// but calls that have not ended yet are still counted.
func carryOver(old *hostState, entry endpoint.Entry) *hostStats {
	if old == nil {
		return &hostStats{}
	}
	if old.entry.Incarnation == entry.Incarnation {
		return old.stats
	}
	fresh := &hostStats{}
	fresh.outstanding.Store(old.stats.outstanding.Load())
	return fresh
}

// topRanked returns the count hosts with the highest ranks.
func topRanked(hosts []*hostState, count int) []*hostState {
	slices.SortFunc(hosts, func(a, b *hostState) int { return cmp.Compare(b.rank, a.rank) })
	return hosts[:min(count, len(hosts))]
}

// firstAccepted returns the first host from an offset on, wrapping around, that
// accept allows.
func firstAccepted(hosts []*hostState, offset int, accept func(*hostState) bool) *hostState {
	for step := range hosts {
		if host := hosts[(offset+step)%len(hosts)]; accept(host) {
			return host
		}
	}
	return nil
}

// mix is the finalizer of SplitMix64.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
