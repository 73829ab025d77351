package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// run records one arrival of a request at a backend server.
type run struct {
	service, server, target string
	// limitKnownAt and leavingKnownAt are when the host at which the request began had
	// passed on that the backend server limits its requests or is leaving, or zero.
	limitKnownAt, leavingKnownAt time.Time
	// drainingSince is when the backend server was registered as draining, or zero.
	drainingSince time.Time
	// evacuatedSince is when the backend server's failure domain was evacuated, or zero.
	evacuatedSince time.Time
	at             time.Time
	// ended is when the backend server ended its work, or zero.
	ended time.Time
	// rejected is set if the backend server reported that the request did not run.
	rejected bool
}

// call records a client's request and its outcome.
type call struct {
	id, target string
	idempotent bool
	began      time.Time
	duration   time.Duration
	// undisturbed is set if no unplanned fault affected a host shortly before the call or
	// during it. stopping is set if the daemon was asked to stop during the call, and
	// duringStop if the call began while it was stopping.
	undisturbed, stopping, duringStop bool
	// stoppedAt is when the daemon was asked to stop, if stopping or duringStop is set.
	stoppedAt time.Time
	// timeout is set for long requests and calls, and isCall for calls.
	timeout time.Duration
	isCall  bool
	// reused is set if the call was sent on a connection that had carried others, and behind
	// if it was sent behind others that had not been answered.
	reused, behind bool
	status         int
	body           []byte
	signed         bool
	err            error
	// moved holds the services that may run the call; nil unless the call's route is the
	// one that moves between services.
	moved map[string]bool
	// probe is the route of a probe of the versions, versions are those that may have
	// handled it, and shown is the newest one that its host had shown before. inTouch is
	// set if versions bind the host.
	probe    addedRoute
	versions span
	shown    versionID
	inTouch  bool
	// delay is how long after the acceptance of a newer version the call was sent that an
	// older one handled.
	delay time.Duration
}

// recorder collects the calls of all clients and the runs at all backend servers.
type recorder struct {
	mu    sync.Mutex
	runs  map[string][]run
	calls []call
	// known holds what the hosts have heard of the backend servers, and limits the limits
	// that these have announced.
	known  *knowledge
	limits []limitPeriod
}

func newRecorder() *recorder { return &recorder{runs: map[string][]run{}, known: newKnowledge()} }

// recordRun records an arrival and returns the function that records its end.
func (b *recorder) recordRun(id string, one run) (end func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	index := len(b.runs[id])
	b.runs[id] = append(b.runs[id], one)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.runs[id][index].ended = time.Now()
	}
}

// executed returns how often the request has run so far.
func (b *recorder) executed(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return countExecuted(b.runs[id])
}

func countExecuted(arrivals []run) int {
	executed := 0
	for i := range arrivals {
		if !arrivals[i].rejected {
			executed++
		}
	}
	return executed
}

func (b *recorder) recordCall(one call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, one)
}

const (
	// drainDeadline is the documented time after which no request may reach a draining
	// backend server.
	drainDeadline = 2 * time.Second
	// lossSlack is the documented time after which a request that was sent counts as read.
	lossSlack = 200 * time.Millisecond
	// minRecoveredShare is the documented minimum share of requests that are served
	// after the last fault.
	minRecoveredShare = 0.25
)

// Report is the result of the run with one seed.
type Report struct {
	Seed                      uint64
	Calls, Served, Unanswered int
	// MetByStops counts the requests that a planned stop met in calm, and CallsMetByStops
	// those of them that a backend server made.
	MetByStops, CallsMetByStops int
	// Probes counts the probes of versions at hosts in touch. SlowestVersion is the
	// longest time that a version took to bind one of them, and SlowestAt when and where.
	Probes         int
	SlowestVersion time.Duration
	SlowestAt      string
	// Broken lists the violated guarantees with the requests that violated them.
	Broken []string
	Faults []string
}

// checkGuarantees adds the counts and violations to the report. It compares the
// responses that clients received with the runs at the backend servers.
func (b *recorder) checkGuarantees(report *Report, recoveredBy time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[string]*call{}
	late, lateServed := 0, 0
	for i := range b.calls {
		one := &b.calls[i]
		known[one.id] = one
		report.Calls++
		served := one.err == nil && one.status == http.StatusOK
		if served {
			report.Served++
		}
		if one.err != nil {
			report.Unanswered++
		}
		if one.undisturbed && (one.stopping || one.duringStop) {
			report.MetByStops++
			if one.isCall {
				report.CallsMetByStops++
			}
		}
		if one.began.After(recoveredBy) {
			late++
			if served {
				lateServed++
			}
		}
		if one.probe != 0 && one.inTouch {
			report.Probes++
			if one.delay > report.SlowestVersion {
				report.SlowestVersion, report.SlowestAt = one.delay, one.began.Format(time.StampMicro)+" "+one.id
			}
		}
		for _, broken := range one.broken(b.runs[one.id]) {
			report.Broken = append(report.Broken, fmt.Sprintf("%s: %s %s on %v after %v, began %s, reused connection %t, runs %d, error %v", broken,
				one.target, one.id, one.status, one.duration, one.began.Format(time.StampMicro), one.reused, len(b.runs[one.id]), one.err))
		}
	}
	for id, runs := range b.runs {
		if known[id] == nil {
			report.Broken = append(report.Broken, "unasked: "+id)
		}
		for _, one := range runs {
			if known[id] != nil && !one.leavingKnownAt.IsZero() && known[id].began.Sub(one.leavingKnownAt) > drainDeadline {
				report.Broken = append(report.Broken, fmt.Sprintf("sent to a backend server %v after its host had passed on that it leaves: %s", known[id].began.Sub(one.leavingKnownAt), id))
			}
			if known[id] != nil && known[id].undisturbed && !one.drainingSince.IsZero() && one.at.Sub(one.drainingSince) > drainDeadline {
				report.Broken = append(report.Broken, fmt.Sprintf("sent to a leaving backend server after %v: %s", one.at.Sub(one.drainingSince), id))
			}
			if known[id] != nil && known[id].undisturbed && !one.evacuatedSince.IsZero() && one.at.Sub(one.evacuatedSince) > evacuationDeadline {
				report.Broken = append(report.Broken, fmt.Sprintf("sent into an evacuated failure domain after %v: %s", one.at.Sub(one.evacuatedSince), id))
			}
		}
	}
	report.Broken = append(report.Broken, b.checkLimits()...)
	if late == 0 || float64(lateServed) < minRecoveredShare*float64(late) {
		report.Broken = append(report.Broken, fmt.Sprintf("not recovered: %d of %d served after the last fault", lateServed, late))
	}
}

// broken returns the guarantees that the call violated.
func (c *call) broken(arrivals []run) []string {
	var broken []string
	executed := 0
	for _, one := range arrivals {
		if one.rejected {
			continue
		}
		executed++
		if one.target != c.target {
			broken = append(broken, "ran with another target")
		}
		if c.moved != nil && !c.moved[one.service] {
			broken = append(broken, "ran by "+one.service+", which no version in force names")
		}
		if c.moved == nil && one.service != shop {
			broken = append(broken, "ran by a service that no version names")
		}
	}
	if !c.idempotent && executed > 1 {
		broken = append(broken, "ran twice")
	}
	broken = append(broken, c.brokenVersions(c.outcome(executed))...)
	met := c.undisturbed && (c.stopping && !c.behind || (c.stopping || c.duringStop) && c.wasRead(executed)) && !c.mayBeCutOff(arrivals)
	switch {
	case c.err != nil:
		if met {
			broken = append(broken, "cut off by a planned stop")
		}
	case met && c.brokenOff(arrivals):
		broken = append(broken, "broken off by a planned stop")
	case c.status == http.StatusOK:
		if !c.signed || !bytes.Equal(c.body, responseBody(c.id)) || executed == 0 {
			broken = append(broken, "answered with something else")
		}
	case !c.idempotent && (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests):
		if executed > 0 {
			broken = append(broken, "promised not to have run, and ran")
		}
	case c.probe == 0 && c.undisturbed && c.status == http.StatusNotFound:
		broken = append(broken, "refused a route that is in force")
	}
	return broken
}

// wasRead reports whether the daemon must have read a call that began while it was
// stopping and got no response. When a daemon closes a listener or a connection, it may
// cut off a call that has just been sent and that it has not read. One that was sent behind
// others counts as not read unless it has reached a backend server.
func (c *call) wasRead(executed int) bool {
	if isDialError(c.err) {
		return false
	}
	return executed > 0 || !c.behind && c.duration > lossSlack
}
