// Package balance selects the host whose backend server receives a call.
//
// A Chooser ranks the live hosts of each service by a hash of their names and its
// own, and uses a bounded subset of them: up to 16 hosts of the local failure domain
// and up to 16 of the others. For each call it draws two hosts of the local failure
// domain and takes the less loaded one. If that host is overloaded, it also draws two
// hosts of other failure domains and uses the better of those if it is less loaded.
// Load is what this daemon observes itself: outstanding calls relative to the slots,
// the rise of latency above its floor, and recent refusals. The weight of latency and
// refusals halves with each second without a new observation.
//
// A host that has started, or has returned from an ejection, gets a share of calls
// that grows over the slow start, so that many daemons do not send to it at once. A
// host with five consecutive failures is ejected for 1 s; the time doubles with each
// further ejection, up to 64 s. At most half of the subset is ejected at the same
// time.
//
// Hosts are tried in this order: alive, ejected, suspect. Leaving and dead hosts are
// never chosen.
//
// Choose takes no lock. Finished locks the statistics of one host.
//
// # Usage
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
	defaultSubsetSize = 16
	defaultSlowStart  = 10 * time.Second
	// spilloverLoad is the load of the best local host above which hosts of other
	// failure domains are considered. A load of 1 means as many outstanding calls as
	// slots, or a latency of three times its floor.
	spilloverLoad = 1.0
	// maxDraws limits how many hosts in slow start are rejected in one draw.
	maxDraws = 4
)

// Policy selects how hosts are chosen.
type Policy int

// The policies. All but LeastLoaded are baselines for measurements: they use every
// live host of the service, in turn or at random, and ignore observed load.
const (
	LeastLoaded Policy = iota // least_loaded
	RoundRobin                // round_robin
	Random                    // random
)

// ParsePolicy returns the policy with the given name. An empty name selects
// LeastLoaded. For an unknown name it returns false.
func ParsePolicy(name string) (Policy, bool) {
	for policy := LeastLoaded; policy <= Random; policy++ {
		if name == policy.String() {
			return policy, true
		}
	}
	return LeastLoaded, name == ""
}

// Chooser selects backend servers for one daemon. It is safe for concurrent use.
type Chooser struct {
	localDomain id.Domain
	seed        uint64
	policy      Policy
	subsetSize  int
	slowStart   time.Duration
	sequence    atomic.Uint64
	table       atomic.Pointer[table]
	// updateMu serialises the replacement of the table and the ejection of hosts.
	updateMu sync.Mutex
}

// Option configures a Chooser.
type Option func(*Chooser)

// WithPolicy sets the policy; the default is LeastLoaded.
func WithPolicy(policy Policy) Option { return func(c *Chooser) { c.policy = policy } }

// WithSubsetSize sets the maximum number of hosts used of the local failure domain,
// and of all others together. The minimum is 2.
func WithSubsetSize(hosts int) Option { return func(c *Chooser) { c.subsetSize = max(2, hosts) } }

// WithSlowStart sets how long it takes until a host gets its full share of calls.
func WithSlowStart(window time.Duration) Option { return func(c *Chooser) { c.slowStart = window } }

// NewChooser returns a chooser without endpoints for the daemon on host self in the
// given failure domain.
func NewChooser(self id.Host, domain id.Domain, seed uint64, options ...Option) *Chooser {
	chooser := &Chooser{localDomain: domain, subsetSize: defaultSubsetSize, slowStart: defaultSlowStart}
	// Daemons with the same seed must not draw the same hosts in the same order.
	chooser.seed = mix(xxhash.Sum64String(string(self)) + seed)
	for _, option := range options {
		option(chooser)
	}
	chooser.table.Store(&table{})
	return chooser
}

// SetEndpoints replaces the endpoints. The statistics of a host are kept while its
// incarnation stays the same.
func (c *Chooser) SetEndpoints(entries []endpoint.Entry) {
	c.updateMu.Lock()
	defer c.updateMu.Unlock()
	c.table.Store(c.buildTable(entries, c.table.Load()))
}

// Choose returns a host of the service that accepts calls and is not excluded.
func (c *Chooser) Choose(service id.Service, now id.Instant, exclude []id.Host) (endpoint.Entry, *refusal.Error) {
	if pool := c.table.Load().services[service]; pool != nil {
		if chosen := c.choose(pool, pickContext{now: now, exclude: exclude}); chosen != nil {
			return chosen.entry, nil
		}
	}
	return endpoint.Entry{}, refusal.New(refusal.NoEndpoint, refusal.NotRun)
}

// Started records the start of a call to the host.
func (c *Chooser) Started(host id.Host) {
	if state := c.table.Load().hosts[host]; state != nil {
		state.stats.outstanding.Add(1)
	}
}

// Finished records the end of a call for which Started was called, and its latency
// since then.
func (c *Chooser) Finished(host id.Host, now id.Instant, latency time.Duration, result Result) {
	state := c.table.Load().hosts[host]
	if state == nil {
		return
	}
	state.stats.callFinished()
	if now.Add(-latency) < id.Instant(state.entry.Incarnation) {
		// The call went to an earlier process of this host, so its failure must not
		// eject the new one.
		return
	}
	if state.stats.record(now, latency, result) {
		c.eject(state, now)
	}
}

// pickContext holds the inputs of one choice besides the endpoints.
type pickContext struct {
	now     id.Instant
	exclude []id.Host
}

func (p pickContext) allows(host *hostState) bool {
	return !slices.Contains(p.exclude, host.entry.Host)
}

func (p pickContext) healthy(host *hostState) bool {
	return p.allows(host) && !host.stats.ejected(p.now)
}

func (c *Chooser) choose(pool *hostPool, p pickContext) *hostState {
	var chosen *hostState
	switch c.policy {
	case RoundRobin:
		chosen = firstAccepted(pool.all, int(c.sequence.Add(1)%maxOffset), p.allows)
	case Random:
		chosen = firstAccepted(pool.all, int(c.random()%maxOffset), p.allows)
	case LeastLoaded:
		chosen = c.leastLoaded(pool, p)
	}
	if chosen != nil {
		return chosen
	}
	offset := int(c.random() % maxOffset)
	if chosen = firstAccepted(pool.all, offset, p.healthy); chosen != nil {
		return chosen
	}
	if chosen = firstAccepted(pool.all, offset, p.allows); chosen != nil {
		return chosen
	}
	return firstAccepted(pool.suspect, offset, p.allows)
}

func (c *Chooser) leastLoaded(pool *hostPool, p pickContext) *hostState {
	local, localLoad := c.lessLoadedOfTwo(pool.local, p)
	if local != nil && localLoad <= spilloverLoad {
		return local
	}
	remote, remoteLoad := c.lessLoadedOfTwo(pool.remote, p)
	if local == nil || remote != nil && remoteLoad < localLoad {
		return remote
	}
	return local
}

// lessLoadedOfTwo draws two healthy hosts and returns the less loaded one with its
// load.
func (c *Chooser) lessLoadedOfTwo(hosts []*hostState, p pickContext) (*hostState, float64) {
	if len(hosts) == 0 {
		return nil, 0
	}
	random := c.random()
	first := c.drawHealthy(hosts, random, p, nil)
	if first == nil {
		return nil, 0
	}
	second := c.drawHealthy(hosts, mix(random), p, first)
	firstLoad := c.load(first, p.now)
	if second == nil {
		return first, firstLoad
	}
	if secondLoad := c.load(second, p.now); secondLoad < firstLoad {
		return second, secondLoad
	}
	return first, firstLoad
}

// drawHealthy draws a healthy host other than the excluded one. A host in slow start
// is accepted with a probability equal to its share.
func (c *Chooser) drawHealthy(hosts []*hostState, random uint64, p pickContext, excluded *hostState) *hostState {
	usable := func(host *hostState) bool { return host != excluded && p.healthy(host) }
	var drawn *hostState
	for range maxDraws {
		drawn = firstAccepted(hosts, int(random%maxOffset), usable)
		random = mix(random)
		if drawn == nil || float64(random>>11)/(1<<53) < c.slowStartShare(drawn, p.now) {
			return drawn
		}
	}
	// Every draw is rejected when most hosts are in slow start. Their shares are no
	// guide then: the first host is used regardless, and a second one is left out.
	if excluded != nil {
		return nil
	}
	return drawn
}

// slowStartShare returns the fraction of a full load that a host gets at this point
// of its slow start.
func (c *Chooser) slowStartShare(host *hostState, now id.Instant) float64 {
	since := max(host.entry.Started, id.Instant(host.stats.ejectedUntil.Load()))
	age := now.Sub(since)
	if age >= c.slowStart {
		return 1
	}
	return max(minSlowStartShare, float64(age)/float64(c.slowStart))
}

// load returns the observed load of a host, where 1 is full.
func (c *Chooser) load(host *hostState, now id.Instant) float64 {
	slots := float64(max(1, host.entry.Slots)) * c.slowStartShare(host, now)
	return float64(host.stats.outstanding.Load())/slots + host.stats.observedLoad(now)
}

// eject ejects a host unless that would leave out more than half of the subset.
func (c *Chooser) eject(host *hostState, now id.Instant) {
	c.updateMu.Lock()
	defer c.updateMu.Unlock()
	pool := c.table.Load().services[host.entry.Service]
	if pool == nil {
		return
	}
	total, count := len(pool.local)+len(pool.remote), 0
	for _, hosts := range [][]*hostState{pool.local, pool.remote} {
		for _, other := range hosts {
			if other.stats.ejected(now) {
				count++
			}
		}
	}
	if 2*(count+1) <= total {
		host.stats.eject(now)
	}
}

// random returns the next value of a sequence determined by the seed. All goroutines
// share one atomic counter.
func (c *Chooser) random() uint64 { return mix(c.seed + c.sequence.Add(1)*splitMixIncrement) }
