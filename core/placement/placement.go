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
// a few backend servers, drawn at random from the own failure domain and from
// the others, and takes the best of them. The work of a choice does not depend
// on the size of the fleet.
//
// What is never tried is never known. A small share of the requests goes to
// servers that are without work, so that each is tried by some daemon of the
// fleet every few seconds.
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
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
)

//go:generate stringer -type=Result -linecomment -output=placement_string.go

const (
	// strikeLimit is the number of failures in a row after which a backend
	// server is passed over.
	strikeLimit = 3
	// firstPass is how long it is passed over first; each further failure
	// doubles it up to longestPass.
	firstPass   = 500 * time.Millisecond
	longestPass = 4 * time.Second
	// refusedShare is how long a backend server is passed over whose daemon has
	// refused for want of room, in service times. With five slots or more one is
	// free by then on average.
	refusedShare = 0.2
	// sentKept bounds the requests of this daemon that are counted on top of a
	// report; slots are fewer.
	sentKept = 256
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
	// FailureRate is the share of the latest requests that the server has failed.
	FailureRate float64
	// LinkWait is the time until the long answers that the host has still to
	// send have left, Transfer the time that one of them takes.
	LinkWait     time.Duration
	TransferTime time.Duration
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
	// QueueWait is the part of Expected that passes before a slot is free.
	QueueWait time.Duration
}

// Chooser is safe for concurrent use.
type Chooser struct {
	mu       sync.Mutex
	domain   id.Domain
	random   *rand.Rand
	servers  map[backend.ID]*state
	services map[id.Service]*group
	// heard is when the latest report of any server was made, and domains when the
	// latest one of each failure domain was.
	heard   id.Instant
	domains map[id.Domain]*id.Instant
}

type state struct {
	server backend.Server
	report Report
	// pending counts the own requests under way.
	pending int
	// sent holds when the own requests left that the report does not count.
	sent []id.Instant
	// started is when this daemon last sent a request there.
	started id.Instant
	strikes int
	passed  id.Instant
	// domainHeard is when the latest report of the server's failure domain was
	// made.
	domainHeard *id.Instant
	// grouped is set while the server is one of the group of its service.
	grouped bool
}

// New returns a chooser for a daemon in the given failure domain.
func New(domain id.Domain, seed uint64) *Chooser {
	return &Chooser{
		domain:   domain,
		random:   rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // Load is spread with it, nothing is secured.
		servers:  map[backend.ID]*state{},
		services: map[id.Service]*group{},
		domains:  map[id.Domain]*id.Instant{},
	}
}

// SetServers replaces the listed backend servers. What is known of a server is
// kept while it is the same process.
func (c *Chooser) SetServers(servers []backend.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.servers
	c.servers = make(map[backend.ID]*state, len(servers))
	former := c.services
	c.services = make(map[id.Service]*group, len(former))
	for i := range servers {
		server := &servers[i]
		one := known[server.ID]
		if one == nil || one.server.Born != server.Born {
			one = &state{}
		}
		one.server, one.grouped = *server, false
		one.domainHeard = c.heardOf(server.Domain)
		c.servers[server.ID] = one
		if server.State == backend.Ready {
			c.groupOf(server.Service, former).add(one, server.Domain == c.domain)
		}
	}
}

func (c *Chooser) heardOf(domain id.Domain) *id.Instant {
	if c.domains[domain] == nil {
		c.domains[domain] = new(id.Instant)
	}
	return c.domains[domain]
}

// groupOf returns the group of the service, which goes on with the trials of its
// former one.
func (c *Chooser) groupOf(service id.Service, former map[id.Service]*group) *group {
	known := c.services[service]
	if known != nil {
		return known
	}
	known = &group{}
	if before := former[service]; before != nil {
		known.trials = before.trials
	} else {
		known.trials.cursor = c.random.Uint32()
	}
	c.services[service] = known
	return known
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
	if group := c.services[one.server.Service]; group != nil && one.grouped {
		group.told.replace(one.report.Service, report.Service)
	}
	c.heard = max(c.heard, report.At)
	*one.domainHeard = max(*one.domainHeard, report.At)
	one.report = report
	one.sent = slices.DeleteFunc(one.sent, func(at id.Instant) bool { return at <= report.At })
}

// Started records that a request goes to the backend server.
func (c *Chooser) Started(server backend.ID, now id.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if one := c.servers[server]; one != nil {
		one.started = now
		one.pending++
		if len(one.sent) < sentKept {
			one.sent = append(one.sent, now)
		}
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
		pass := time.Duration(refusedShare * float64(c.serviceTime(one)))
		one.passed = max(one.passed, now.Add(pass))
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
	group := c.services[request.Service]
	if group == nil {
		return Choice{}, false
	}
	if !request.Large {
		if one := c.trial(group, &request); one != nil {
			return c.estimate(one, &request), true
		}
	}
	return c.best(group, &request)
}
