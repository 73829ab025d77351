// Package placement chooses the backend server of a request by its expected
// latency.
//
// Each daemon reports the load of the backend server next to it, with every
// response and, at short intervals, to all daemons. Between two reports a chooser
// adds the requests that it has sent itself. The expected latency is the wait for
// a slot plus the service time, plus a penalty for leaving the local failure
// domain, which is larger for large responses.
//
// Many choosers act on the same reports. Each request therefore samples a few
// backend servers at random, from the local and from other failure domains, and
// takes the best of them. The cost of a choice does not depend on the size of the
// fleet.
//
// The state of an idle server is unknown, so a small share of the requests probes
// idle servers. Each of them is probed by some daemon every few seconds.
//
// # Usage
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
	// ejectionThreshold is the number of consecutive failures after which a backend
	// server is ejected. An ejected server still serves as a last resort.
	ejectionThreshold = 3
	// firstEjection is the length of the first ejection; each further failure doubles
	// it up to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
	// refusedEjectionShare is how long a backend server is ejected after its daemon
	// refused a request for lack of capacity, in service times. With five slots or
	// more, one is free by then on average.
	refusedEjectionShare = 0.2
	// rateLimitMemory is how long a server that has refused a request for its rate counts
	// as limited. Cold times are some seconds long, and requests that wait for a server
	// that is not cold any more are served at once.
	rateLimitMemory = time.Second
	// maxSentSinceReport bounds the requests of this daemon that are counted on top
	// of a report; servers have fewer slots.
	maxSentSinceReport = 256
)

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	// Served means that the backend server responded.
	Served Result = iota // served
	// Refused means that the request was refused for lack of capacity.
	Refused // refused
	// Failed means that the backend server or the path to it failed.
	Failed // failed
	// Neutral results count neither for nor against the backend server.
	Neutral // neutral
)

// Report is the load of a backend server, reported by the daemon next to it.
type Report struct {
	Server  backend.ID
	Running int
	Queued  int
	Slots   int
	Service time.Duration
	// FailureRate is the share of recent requests that the server has failed.
	FailureRate float64
	// LinkWait is the time until the host's link has sent all pending large
	// responses, TransferTime the time that one of them takes.
	LinkWait     time.Duration
	TransferTime time.Duration
	// Period is the time until the daemon reports again, or zero if unknown.
	Period time.Duration
	// Leaving is set when the daemon or the backend server accepts no new work.
	Leaving bool
	// At is when the report was made, on the clock of this daemon.
	At id.Instant
}

// Request holds the properties of a request that determine the choice.
type Request struct {
	Service id.Service
	// Large is set when a large response is expected.
	Large bool
	Now   id.Instant
	// Exclude lists the servers that must not receive the request.
	Exclude []backend.ID
	// Local is the backend server on this host, which is reached without a link.
	Local backend.ID
}

// Choice is the chosen backend server with its estimate.
type Choice struct {
	Server backend.Server
	// Expected is the time until the response is expected.
	Expected time.Duration
	// QueueWait is the part of Expected that the request waits for a slot.
	QueueWait time.Duration
	// RateLimited is set if the server is cold, so that requests wait for its rate
	// whether or not it has a free slot.
	RateLimited bool
}

// Chooser chooses among the backend servers of all services. It is safe for
// concurrent use.
type Chooser struct {
	mu       sync.Mutex
	domain   id.Domain
	random   *rand.Rand
	servers  map[backend.ID]*serverState
	services map[id.Service]*group
	// latestReport is when the latest report of any server was made, and
	// domainLatestReports the same for each failure domain.
	latestReport        id.Instant
	domainLatestReports map[id.Domain]*id.Instant
}

type serverState struct {
	server backend.Server
	report Report
	// inFlight counts the requests of this daemon that have not finished.
	inFlight int
	// sentSinceReport holds the start times of this daemon's requests that the
	// latest report does not include.
	sentSinceReport []id.Instant
	// lastRequestAt is when this daemon last sent a request to the server.
	lastRequestAt       id.Instant
	consecutiveFailures int
	// rateLimitedUntil is when a cold server that has refused a request for its rate is
	// expected to serve at the full rate again.
	rateLimitedUntil id.Instant
	ejectedUntil     id.Instant
	// domainLatestReport is when the latest report of the server's failure domain
	// was made. It is shared by all servers of the domain.
	domainLatestReport *id.Instant
	// inGroup is set while the server belongs to the group of its service.
	inGroup bool
}

// New returns a chooser for a daemon in the given failure domain. Daemons use
// different seeds, so that they sample and probe in different orders.
func New(domain id.Domain, seed uint64) *Chooser {
	return &Chooser{
		domain:              domain,
		random:              rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // Load is spread with it, nothing is secured.
		servers:             map[backend.ID]*serverState{},
		services:            map[id.Service]*group{},
		domainLatestReports: map[id.Domain]*id.Instant{},
	}
}

// SetServers replaces the listed backend servers. The state of a server is kept unless
// its process has restarted.
func (c *Chooser) SetServers(servers []backend.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.servers
	c.servers = make(map[backend.ID]*serverState, len(servers))
	former := c.services
	c.services = make(map[id.Service]*group, len(former))
	for i := range servers {
		server := &servers[i]
		state := known[server.ID]
		if state == nil || state.server.Born != server.Born {
			state = &serverState{}
		}
		state.server, state.inGroup = *server, false
		state.domainLatestReport = c.latestReportOf(server.Domain)
		c.servers[server.ID] = state
		if server.AcceptsNew() {
			c.groupOf(server.Service, former).add(state, server.Domain == c.domain)
		}
	}
}

func (c *Chooser) latestReportOf(domain id.Domain) *id.Instant {
	if c.domainLatestReports[domain] == nil {
		c.domainLatestReports[domain] = new(id.Instant)
	}
	return c.domainLatestReports[domain]
}

// groupOf returns the group of the service and creates it if needed. A new group
// keeps the probe schedule that the service had before the last SetServers.
func (c *Chooser) groupOf(service id.Service, former map[id.Service]*group) *group {
	existing := c.services[service]
	if existing != nil {
		return existing
	}
	existing = &group{}
	if before := former[service]; before != nil {
		existing.probes = before.probes
	} else {
		existing.probes.cursor = c.random.Uint32()
	}
	c.services[service] = existing
	return existing
}

// Report applies a load report, unless a newer one of the same server is known.
func (c *Chooser) Report(report Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.servers[report.Server]
	if state == nil || report.At < state.report.At {
		return
	}
	if report.Period == 0 {
		report.Period = state.report.Period
	}
	if group := c.services[state.server.Service]; group != nil && state.inGroup {
		group.serviceTimes.replace(state.report.Service, report.Service)
	}
	c.latestReport = max(c.latestReport, report.At)
	*state.domainLatestReport = max(*state.domainLatestReport, report.At)
	state.report = report
	state.sentSinceReport = slices.DeleteFunc(state.sentSinceReport, func(at id.Instant) bool { return at <= report.At })
}

// Started records that this daemon sends a request to the backend server.
func (c *Chooser) Started(server backend.ID, now id.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state := c.servers[server]; state != nil {
		state.lastRequestAt = now
		state.inFlight++
		if len(state.sentSinceReport) < maxSentSinceReport {
			state.sentSinceReport = append(state.sentSinceReport, now)
		}
	}
}

// Finished records the end of a request that was passed to Started.
func (c *Chooser) Finished(server backend.ID, result Result, now id.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.servers[server]
	if state == nil {
		return
	}
	state.inFlight = max(0, state.inFlight-1)
	switch result {
	case Served:
		state.consecutiveFailures = 0
	case Refused:
		ejection := time.Duration(refusedEjectionShare * float64(c.serviceTime(state)))
		state.ejectedUntil = max(state.ejectedUntil, now.Add(ejection))
	case Failed:
		state.consecutiveFailures++
		if over := state.consecutiveFailures - ejectionThreshold; over >= 0 {
			state.ejectedUntil = now.Add(min(maxEjection, firstEjection<<min(over, 8)))
		}
	case Neutral:
	}
}

// RefusedCold records that a cold server has no capacity until the given instant. Until
// then it is only chosen as a last resort.
func (c *Chooser) RefusedCold(server backend.ID, until, now id.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.servers[server]
	if state == nil {
		return
	}
	state.ejectedUntil = max(state.ejectedUntil, min(until, now.Add(maxEjection)))
	state.rateLimitedUntil = max(state.rateLimitedUntil, now.Add(rateLimitMemory))
}

// Choose returns the best of a few sampled backend servers of the service. It returns
// false if no server may receive the request.
func (c *Chooser) Choose(request Request) (Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	group := c.services[request.Service]
	if group == nil {
		return Choice{}, false
	}
	if !request.Large {
		if state := c.nextProbe(group, &request); state != nil {
			return c.estimate(state, &request), true
		}
	}
	return c.bestOfSample(group, &request)
}
