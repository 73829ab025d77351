package balance

import (
	"cmp"
	"slices"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"

	"github.com/cespare/xxhash/v2"
)

const (
	// golden and the constants of mix are those of SplitMix64.
	golden = 0x9e3779b97f4a7c15
	// maxDraw keeps a drawn offset within an int.
	maxDraw = 1 << 31
)

// table is an immutable set of endpoints.
type table struct {
	hosts    map[id.Host]*target
	services map[id.Service]*hostPool
}

// target is one host with what was observed of it.
type target struct {
	entry endpoint.Entry
	rank  uint64
	seen  *observed
}

// hostPool holds the hosts of one service. The lists near and far are the subset.
type hostPool struct {
	all     []*target
	near    []*target
	far     []*target
	suspect []*target
}

func (c *Chooser) build(entries []endpoint.Entry, old *table) *table {
	built := &table{
		hosts:    make(map[id.Host]*target, len(entries)),
		services: map[id.Service]*hostPool{},
	}
	for _, entry := range entries {
		if entry.Service == "" {
			continue
		}
		host := &target{entry: entry, rank: c.rank(entry.Host), seen: carry(old.hosts[entry.Host], entry)}
		built.hosts[entry.Host] = host
		c.place(built, host)
	}
	for _, pool := range built.services {
		pool.near = top(pool.near, c.subset)
		pool.far = top(pool.far, c.subset)
	}
	return built
}

func (c *Chooser) place(built *table, host *target) {
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
		if host.entry.Domain == c.domain {
			pool.near = append(pool.near, host)
		} else {
			pool.far = append(pool.far, host)
		}
	default:
		// Leaving and dead hosts stay in the table only so that the calls
		// which run there are counted down.
	}
}

// rank orders hosts differently at each daemon, so that subsets spread evenly.
func (c *Chooser) rank(host id.Host) uint64 {
	return mix(xxhash.Sum64String(string(host)) ^ c.seed)
}

// carry returns the observations of a host. A new incarnation begins without
// any, but calls that have not ended yet are still counted.
func carry(old *target, entry endpoint.Entry) *observed {
	if old == nil {
		return &observed{}
	}
	if old.entry.Incarnation == entry.Incarnation {
		return old.seen
	}
	fresh := &observed{}
	fresh.outstanding.Store(old.seen.outstanding.Load())
	return fresh
}

// top returns the hosts with the highest ranks.
func top(hosts []*target, count int) []*target {
	slices.SortFunc(hosts, func(a, b *target) int { return cmp.Compare(b.rank, a.rank) })
	return hosts[:min(count, len(hosts))]
}

// scan returns the first host that accept allows, beginning at an offset.
func scan(hosts []*target, offset int, accept func(*target) bool) *target {
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
