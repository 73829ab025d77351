// Package balance selects the host whose backend server gets a call.
//
// A Chooser ranks the live hosts of each service by a hash of their names and
// its own, and keeps a bounded subset: up to 16 hosts of the own failure
// domain and up to 16 of the others. For a call it draws two hosts of the own
// failure domain and takes the less loaded one. When that host is overloaded,
// it also draws two hosts of other failure domains and takes a less loaded one
// there. Load is what this daemon observes itself: outstanding calls relative
// to the slots, the rise of the latency above its floor, and recent refusals.
// Latency and refusals lose half of their weight each second without news.
//
// A host that has started, or has returned from an ejection, gets a share that
// grows over the slow start, so many daemons do not turn to it at once. A host
// with five failures in a row is ejected for 1 s, doubled with each further
// ejection up to 64 s. At most half of the subset is ejected at once.
//
// Hosts are tried in this order: alive, ejected, suspect. Leaving and dead
// hosts are never chosen.
//
// Choose takes no lock. Finished locks the observations of one host.
//
// Usage:
//
//	chooser := balance.NewChooser("counter-reduit-1", "reduit", seed)
//	chooser.SetEndpoints(table.All())
//	entry, refused := chooser.Choose("counter", now, tried)
//	if refused != nil {
//		return refused
//	}
//	chooser.Started(entry.Host)
//	chooser.Finished(entry.Host, later, later.Sub(now), balance.ResultOf(err))
package balance

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"

	"github.com/cespare/xxhash/v2"
)

//go:generate stringer -type=Policy,Result -linecomment -output=balance_string.go

const (
	defaultSubset    = 16
	defaultSlowStart = 10 * time.Second
	// spillLoad is the load of the best local host above which hosts of other
	// failure domains are considered. One means as many outstanding calls as
	// slots, or a latency of three times its floor.
	spillLoad = 1.0
	// draws bounds how often a slow-starting host is passed over.
	draws = 4
)

// Policy selects how hosts are chosen.
type Policy int

// The policies. All but LeastLoaded are baselines for measurements; they use
// every live host of the service in turn or at random, without observations.
const (
	LeastLoaded Policy = iota // least_loaded
	RoundRobin                // round_robin
	Random                    // random
)

// ParsePolicy returns the policy with the given name. The empty name is
// LeastLoaded.
func ParsePolicy(name string) (Policy, bool) {
	for policy := LeastLoaded; policy <= Random; policy++ {
		if name == policy.String() {
			return policy, true
		}
	}
	return LeastLoaded, name == ""
}

// Chooser selects backend servers for one daemon. It is safe for concurrent
// use.
type Chooser struct {
	domain    id.Domain
	seed      uint64
	policy    Policy
	subset    int
	slowStart time.Duration
	draw      atomic.Uint64
	table     atomic.Pointer[table]
	// changing guards the replacement of the table and the count of ejections.
	changing sync.Mutex
}

// Option changes a chooser at its creation.
type Option func(*Chooser)

// WithPolicy selects a policy other than LeastLoaded.
func WithPolicy(policy Policy) Option { return func(c *Chooser) { c.policy = policy } }

// WithSubsetSize bounds the hosts used of the own failure domain, and of all the
// others together.
func WithSubsetSize(hosts int) Option { return func(c *Chooser) { c.subset = max(2, hosts) } }

// WithSlowStart sets how long a host takes to get its full share.
func WithSlowStart(span time.Duration) Option { return func(c *Chooser) { c.slowStart = span } }

// NewChooser returns a chooser without endpoints for the daemon on host self.
func NewChooser(self id.Host, own id.Domain, seed uint64, options ...Option) *Chooser {
	chooser := &Chooser{domain: own, subset: defaultSubset, slowStart: defaultSlowStart}
	// Daemons with the same seed must not draw the same hosts in the same order.
	chooser.seed = mix(xxhash.Sum64String(string(self)) + seed)
	for _, option := range options {
		option(chooser)
	}
	chooser.table.Store(&table{})
	return chooser
}

// SetEndpoints replaces the endpoints. Observations of a host are kept while
// its incarnation stays the same.
func (c *Chooser) SetEndpoints(entries []endpoint.Entry) {
	c.changing.Lock()
	defer c.changing.Unlock()
	c.table.Store(c.build(entries, c.table.Load()))
}

// Choose returns a host of the service that takes work and is not excluded.
func (c *Chooser) Choose(service id.Service, now id.Instant, exclude []id.Host) (endpoint.Entry, *refusal.Error) {
	if pool := c.table.Load().services[service]; pool != nil {
		if chosen := c.choose(pool, pick{now: now, exclude: exclude}); chosen != nil {
			return chosen.entry, nil
		}
	}
	return endpoint.Entry{}, refusal.New(refusal.NoEndpoint, refusal.NotRun)
}

// Started records that a call goes to the host.
func (c *Chooser) Started(host id.Host) {
	if known := c.table.Load().hosts[host]; known != nil {
		known.seen.outstanding.Add(1)
	}
}

// Finished records the end of a call that Started announced. Latency is the
// time since then.
func (c *Chooser) Finished(host id.Host, now id.Instant, latency time.Duration, result Result) {
	known := c.table.Load().hosts[host]
	if known == nil {
		return
	}
	known.seen.finish()
	if now.Add(-latency) < id.Instant(known.entry.Incarnation) {
		// The call went to an earlier process of this host. Its failure must not
		// eject the new one.
		return
	}
	if known.seen.record(now, latency, result) {
		c.eject(known, now)
	}
}

// pick is what one choice depends on besides the endpoints.
type pick struct {
	now     id.Instant
	exclude []id.Host
}

func (p pick) allows(host *target) bool { return !slices.Contains(p.exclude, host.entry.Host) }

func (p pick) healthy(host *target) bool { return p.allows(host) && !host.seen.ejected(p.now) }

func (c *Chooser) choose(pool *hostPool, p pick) *target {
	var chosen *target
	switch c.policy {
	case RoundRobin:
		chosen = scan(pool.all, int(c.draw.Add(1)%maxDraw), p.allows)
	case Random:
		chosen = scan(pool.all, int(c.random()%maxDraw), p.allows)
	case LeastLoaded:
		chosen = c.leastLoaded(pool, p)
	}
	if chosen != nil {
		return chosen
	}
	offset := int(c.random() % maxDraw)
	if chosen = scan(pool.all, offset, p.healthy); chosen != nil {
		return chosen
	}
	if chosen = scan(pool.all, offset, p.allows); chosen != nil {
		return chosen
	}
	return scan(pool.suspect, offset, p.allows)
}

func (c *Chooser) leastLoaded(pool *hostPool, p pick) *target {
	near, nearLoad := c.better(pool.near, p)
	if near != nil && nearLoad <= spillLoad {
		return near
	}
	far, farLoad := c.better(pool.far, p)
	if near == nil || far != nil && farLoad < nearLoad {
		return far
	}
	return near
}

// better draws two healthy hosts and returns the less loaded one.
func (c *Chooser) better(hosts []*target, p pick) (*target, float64) {
	if len(hosts) == 0 {
		return nil, 0
	}
	random := c.random()
	first := c.sample(hosts, random, p, nil)
	if first == nil {
		return nil, 0
	}
	second := c.sample(hosts, mix(random), p, first)
	firstLoad := c.load(first, p.now)
	if second == nil {
		return first, firstLoad
	}
	if secondLoad := c.load(second, p.now); secondLoad < firstLoad {
		return second, secondLoad
	}
	return first, firstLoad
}

// sample draws a healthy host other than the given one. A host in slow start
// is accepted with a probability equal to its share.
func (c *Chooser) sample(hosts []*target, random uint64, p pick, other *target) *target {
	usable := func(host *target) bool { return host != other && p.healthy(host) }
	var drawn *target
	for range draws {
		drawn = scan(hosts, int(random%maxDraw), usable)
		random = mix(random)
		if drawn == nil || float64(random>>11)/(1<<53) < c.share(drawn, p.now) {
			return drawn
		}
	}
	// Passing over every draw happens when most hosts are in slow start; then
	// the share says nothing about the others.
	if other != nil {
		return nil
	}
	return drawn
}

// share is the part of a full load that a host gets during its slow start.
func (c *Chooser) share(host *target, now id.Instant) float64 {
	since := max(host.entry.Started, id.Instant(host.seen.ejectedUntil.Load()))
	age := now.Sub(since)
	if age >= c.slowStart {
		return 1
	}
	return max(minimumShare, float64(age)/float64(c.slowStart))
}

// load is the observed load of a host; one is full.
func (c *Chooser) load(host *target, now id.Instant) float64 {
	slots := float64(max(1, host.entry.Slots)) * c.share(host, now)
	return float64(host.seen.outstanding.Load())/slots + host.seen.strain(now)
}

// eject takes a host out of use unless half of its subset is out already.
func (c *Chooser) eject(host *target, now id.Instant) {
	c.changing.Lock()
	defer c.changing.Unlock()
	pool := c.table.Load().services[host.entry.Service]
	if pool == nil {
		return
	}
	total, out := len(pool.near)+len(pool.far), 0
	for _, hosts := range [][]*target{pool.near, pool.far} {
		for _, other := range hosts {
			if other.seen.ejected(now) {
				out++
			}
		}
	}
	if 2*(out+1) <= total {
		host.seen.eject(now)
	}
}

// random returns the next value of a sequence fixed by the seed. One atomic
// addition serves all goroutines.
func (c *Chooser) random() uint64 { return mix(c.seed + c.draw.Add(1)*golden) }
