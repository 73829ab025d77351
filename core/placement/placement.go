// Package placement chooses the backend server of a request by the time at
// which its answer is expected.
//
// The daemon beside a backend server tells its load: with each answer and, at
// short intervals, to all daemons. Between two reports a chooser adds what it
// has sent itself. The expected time of an answer is the wait for a slot plus
// the time that the backend server takes, plus a penalty for leaving the own
// failure domain, which grows with the size of the answer.
//
// Many choosers act on the same reports. Each request therefore considers only
// a few backend servers, drawn at random, and takes the best of them.
//
// Usage:
//
//	chooser := placement.New("reduit", seed)
//	chooser.SetServers(table.All())
//	chooser.Report(placement.Report{Server: "i-7f3a", Running: 12, Slots: 18, At: now})
//	chosen, ok := chooser.Choose(placement.Request{Service: "counter", Now: now})
//	chooser.Started(chosen.Server.ID, now)
//	chooser.Finished(chosen.Server.ID, placement.Served, later)
package placement

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
)

//go:generate stringer -type=Result -linecomment -output=placement_string.go

const (
	// draws is the number of backend servers that a request considers. Two are
	// enough among equal servers; a third finds the fast ones more often.
	draws = 3
	// assumedService is the service time while no backend server of a service has
	// told its own. It only has to be alike for all.
	assumedService = 100 * time.Millisecond
	// tryInterval is how long a daemon leaves a backend server without a request
	// at most, if it has free slots: what is never tried is never known.
	tryInterval = 2 * time.Second
	// farPenalty is added for another failure domain, whose network is slower.
	farPenalty = 5 * time.Millisecond
	// farLargePenalty is added for long answers instead, because the links
	// between failure domains are the scarce ones.
	farLargePenalty = 400 * time.Millisecond
	// busyShare is the wait expected of a server whose slots are all in use, as a
	// part of its service time; busyPower lets it fall off with free slots.
	busyShare = 0.5
	busyPower = 4
	// failureCost is what a failed attempt costs, in service times: it takes a
	// repeat at best, and the rest of the client's time when the server hangs.
	failureCost = 8
	// failing is the share of failed requests from which a server is not tried for
	// the sake of trying.
	failing = 0.2
	// coldFactor is how much slower a backend server is right after its start.
	coldFactor = 2.0
	// strikeLimit is the number of failures in a row after which a backend
	// server is passed over.
	strikeLimit = 3
	// firstPass is how long it is passed over first; each further failure
	// doubles it up to longestPass.
	firstPass   = 500 * time.Millisecond
	longestPass = 4 * time.Second
	// refusedPass is how long a backend server is passed over whose daemon has
	// refused for want of room.
	refusedPass = 20 * time.Millisecond
	// silentAfter is the least time without a report after which a daemon may be
	// cut off, silentPeriods the number of its periods; single reports are lost.
	silentAfter   = time.Second
	silentPeriods = 3
	// reportLife is how long a report of a load counts, at least and in periods.
	reportLife        = 2 * time.Second
	reportLifePeriods = 4
)

// Result is how an attempt ended.
type Result int

// The results.
const (
	// Served is an answer of the backend server.
	Served Result = iota // served
	// Refused is a refusal for want of room.
	Refused // refused
	// Failed is a fault of the backend server or of the way there.
	Failed // failed
	// Neutral says nothing about the backend server.
	Neutral // neutral
)

// Report is what the daemon beside a backend server tells of it.
type Report struct {
	Server  backend.ID
	Running int
	Queued  int
	Slots   int
	Service time.Duration
	// Failures is the share of the latest requests that the server has failed.
	Failures float64
	// LinkWait is the time until the long answers that the host has still to
	// send have left, Transfer the time that one of them takes.
	LinkWait time.Duration
	Transfer time.Duration
	// Period is the time in which the daemon reports again, zero if that is not
	// said.
	Period time.Duration
	// Leaving is set when neither daemon nor backend server takes new work.
	Leaving bool
	// At is when the report arrived.
	At id.Instant
}

// Request is what a choice depends on.
type Request struct {
	Service id.Service
	Large   bool
	Now     id.Instant
	Exclude []backend.ID
	// Local is the backend server of this host, which needs no link.
	Local backend.ID
}

// Choice is the chosen backend server.
type Choice struct {
	Server backend.Server
	// Expected is the time until the answer.
	Expected time.Duration
	// Wait is the part of Expected that passes before a slot is free.
	Wait time.Duration
}

// Chooser is safe for concurrent use.
type Chooser struct {
	mu       sync.Mutex
	domain   id.Domain
	random   *rand.Rand
	servers  map[backend.ID]*state
	services map[id.Service][]*state
}

type state struct {
	server backend.Server
	report Report
	// pending counts the own requests under way, sent those since the report.
	pending int
	sent    int
	// started is when this daemon last sent a request there.
	started id.Instant
	strikes int
	passed  id.Instant
}

// New returns a chooser for a daemon in the given failure domain.
func New(domain id.Domain, seed uint64) *Chooser {
	return &Chooser{
		domain:   domain,
		random:   rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // Load is spread with it, nothing is secured.
		servers:  map[backend.ID]*state{},
		services: map[id.Service][]*state{},
	}
}

// SetServers replaces the listed backend servers. What is known of a server is
// kept while it is the same process.
func (c *Chooser) SetServers(servers []backend.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.servers
	c.servers = make(map[backend.ID]*state, len(servers))
	c.services = map[id.Service][]*state{}
	for _, server := range servers {
		one := known[server.ID]
		if one == nil || one.server.Born != server.Born {
			one = &state{}
		}
		one.server = server
		c.servers[server.ID] = one
		if server.State == backend.Ready {
			c.services[server.Service] = append(c.services[server.Service], one)
		}
	}
}

// Report takes in the load of a backend server.
func (c *Chooser) Report(report Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := c.servers[report.Server]
	if one == nil || report.At < one.report.At {
		return
	}
	if report.Period == 0 {
		report.Period = one.report.Period
	}
	one.report = report
	one.sent = 0
}

// Started records that a request goes to the backend server.
func (c *Chooser) Started(server backend.ID, now id.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if one := c.servers[server]; one != nil {
		one.started = now
		one.pending++
		one.sent++
	}
}

// Finished records the end of a request that Started announced.
func (c *Chooser) Finished(server backend.ID, result Result, now id.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := c.servers[server]
	if one == nil {
		return
	}
	one.pending = max(0, one.pending-1)
	switch result {
	case Served:
		one.strikes = 0
	case Refused:
		one.passed = max(one.passed, now.Add(refusedPass))
	case Failed:
		one.strikes++
		if over := one.strikes - strikeLimit; over >= 0 {
			one.passed = now.Add(min(longestPass, firstPass<<min(over, 8)))
		}
	case Neutral:
	}
}

// Choose returns the best of a few backend servers of the service.
func (c *Chooser) Choose(request Request) (Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates := c.candidates(request)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	if request.Large {
		// A long answer must not leave the failure domain only because the draw
		// holds no backend server of it.
		return c.best(candidates, len(candidates), request), true
	}
	if untried := untried(candidates, request.Now); untried != nil {
		return c.estimate(untried, request), true
	}
	return c.best(candidates, draws, request), true
}

// untried returns a server with free slots that has had no request of this
// daemon for a while.
func untried(candidates []*state, now id.Instant) *state {
	for _, one := range candidates {
		free := one.report.Running+one.report.Queued < one.server.Slots/2
		if free && one.report.Failures < failing && now.Sub(one.started) >= tryInterval {
			return one
		}
	}
	return nil
}

// typical returns the mean service time of the known servers of a service.
func (c *Chooser) typical(service id.Service) time.Duration {
	sum, count := time.Duration(0), 0
	for _, one := range c.services[service] {
		if one.report.Service > 0 {
			sum += one.report.Service
			count++
		}
	}
	if count == 0 {
		return assumedService
	}
	return sum / time.Duration(count)
}

// candidates returns the servers that are neither excluded nor passed over. A
// server that is passed over is still better than none.
func (c *Chooser) candidates(request Request) []*state {
	var fit, passed []*state
	for _, one := range c.services[request.Service] {
		switch {
		case excluded(one.server.ID, request.Exclude):
		case one.report.Leaving && one.known(request.Now):
		case request.Now.Before(one.passed), one.silent(request.Now):
			passed = append(passed, one)
		default:
			fit = append(fit, one)
		}
	}
	if len(fit) == 0 {
		return passed
	}
	return fit
}

// silent reports whether the daemon beside the server has told nothing for a
// while, though it did before.
func (s *state) silent(now id.Instant) bool {
	return s.report.At > 0 && now.Sub(s.report.At) > max(silentAfter, silentPeriods*s.report.Period)
}

// known reports whether the latest report still counts.
func (s *state) known(now id.Instant) bool {
	return s.report.At > 0 && now.Sub(s.report.At) < max(reportLife, reportLifePeriods*s.report.Period)
}

func excluded(server backend.ID, exclude []backend.ID) bool {
	for _, other := range exclude {
		if other == server {
			return true
		}
	}
	return false
}

func (c *Chooser) best(candidates []*state, count int, request Request) Choice {
	count = min(count, len(candidates))
	var best Choice
	for i := range count {
		j := i + c.random.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
		choice := c.estimate(candidates[i], request)
		if i == 0 || choice.Expected < best.Expected {
			best = choice
		}
	}
	return best
}

// failureCost returns what the failures of the server add to the time of a good
// answer.
func (s *state) failureCost(service time.Duration, now id.Instant) time.Duration {
	if !s.known(now) {
		return 0
	}
	return time.Duration(failureCost * s.report.Failures * float64(service))
}

// estimate returns when the backend server would answer.
func (c *Chooser) estimate(one *state, request Request) Choice {
	service := one.report.Service
	if service == 0 {
		service = c.typical(request.Service)
	}
	load, slots := one.pending, max(1, one.server.Slots)
	if one.known(request.Now) {
		load = max(one.report.Running+one.report.Queued+one.sent, one.pending)
		slots = max(1, one.report.Slots)
	}
	if request.Now.Before(one.server.ColdUntil) {
		service = time.Duration(coldFactor * float64(service))
	}
	var wait time.Duration
	if over := load + 1 - slots; over > 0 {
		wait = time.Duration(float64(over) / float64(slots) * float64(service))
	}
	// Reports are a little old, so the last slots of a server may be taken.
	used := float64(min(load, slots)) / float64(slots)
	busy := time.Duration(busyShare * math.Pow(used, busyPower) * float64(service))
	expected := wait + service + busy + one.failureCost(service, request.Now)
	if request.Large && one.server.ID != request.Local {
		expected = max(expected, one.report.LinkWait+time.Duration(one.sent)*one.report.Transfer) + one.report.Transfer
	}
	if one.server.Domain != c.domain {
		expected += farPenalty
		if request.Large {
			expected += farLargePenalty
		}
	}
	return Choice{Server: one.server, Expected: expected, Wait: wait}
}
