package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/coldstart"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/route"
	"marjoramsaddle/platform"
)

//go:generate stringer -type=doubtReason -linecomment -output=coldstart_string.go

// doubtReason is why the cold time of the local backend server is in doubt.
type doubtReason int

// The reasons. Their names are labels of the counter of health checks.
const (
	// daemonStarted: the daemon may have started beside a cold backend server.
	daemonStarted doubtReason = iota // daemon_start
	// connectionLost: another process may listen at the address.
	connectionLost // connection_lost
	// domainEvacuated: backend servers may become cold without requests.
	domainEvacuated // evacuation
	// rateConfigured: the configuration has begun to limit the rate.
	rateConfigured // configuration
)

// coldWatch keeps how long the local backend server is cold and applies the rate that it
// tolerates meanwhile. Without a rate in the configuration it does nothing.
type coldWatch struct {
	d *Daemon

	mu      sync.Mutex
	state   *coldstart.State
	server  backend.Server
	listed  bool
	service route.Service
	reason  doubtReason
	// cold is whether the backend server was cold when that was last logged.
	cold bool
	// checks counts the health checks, for their request IDs.
	checks uint64
	// wake receives a signal when a health check may be needed or the state may end.
	wake chan struct{}
}

func newColdWatch(d *Daemon) *coldWatch {
	return &coldWatch{d: d, state: coldstart.New(0), wake: make(chan struct{}, 1)}
}

// update applies the configuration of the service and the entry of the local backend
// server, before requests may be sent to it.
func (c *coldWatch) update(server *backend.Server, listed bool, service route.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.d.now()
	previous, wasListed, limitedBefore := c.server, c.listed, c.service.ColdRate > 0
	c.service, c.listed = service, listed
	c.state.SetColdTime(service.ColdStart)
	if listed {
		c.server = *server
		if isNewEntry(&previous, server) {
			c.state.Listed(server.Process(), server.ColdLeft, server.ColdUntil.Add(-server.ColdLeft))
		}
		switch {
		case server.Evacuated != previous.Evacuated:
			c.doubt(domainEvacuated, now)
		case !limitedBefore && service.ColdRate > 0 && wasListed:
			c.doubt(rateConfigured, now)
		}
	}
	c.apply(now)
}

// isNewEntry reports whether the entry has been written since the previous one. The
// others are passed on again after other changes.
func isNewEntry(previous, server *backend.Server) bool {
	return previous.Process() != server.Process() || previous.Sequence != server.Sequence || previous.ColdLeft != server.ColdLeft
}

// connectionLost records that the backend server has refused or reset a connection.
func (c *coldWatch) connectionLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.service.ColdRate <= 0 || !c.listed {
		return
	}
	now := c.d.now()
	c.doubt(connectionLost, now)
	c.apply(now)
}

// doubt puts the state in doubt. The caller holds mu.
func (c *coldWatch) doubt(reason doubtReason, now id.Instant) {
	if !c.state.InDoubt(now) {
		c.reason = reason
	}
	c.state.Doubt(now)
}

// apply makes the state take effect, and logs a change. The caller holds mu.
func (c *coldWatch) apply(now id.Instant) {
	until := c.state.Until()
	c.d.localBackend.SetColdStart(c.service.ColdRate, until)
	setSignal(c.wake)
	cold := c.isCold(now)
	if cold == c.cold {
		return
	}
	c.cold = cold
	message, event := "backend server is not cold any more", "ended"
	if cold {
		message, event = "backend server is cold", "began"
	}
	c.d.metrics.Control("cold_start", event)
	c.d.logAnnouncement(c.d.log.Info, message, c.server.Process(), zap.String("source", c.state.Source().String()),
		zap.Bool("in_doubt", c.state.InDoubt(now)), zap.Duration("left", max(0, until.Sub(now))))
}

// isCold reports whether the rate of the backend server is limited. The caller holds mu.
func (c *coldWatch) isCold(now id.Instant) bool {
	return c.service.ColdRate > 0 && c.listed && now.Before(c.state.Until())
}

// left returns how long the backend server is still cold.
func (c *coldWatch) left() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.d.now()
	if !c.isCold(now) {
		return 0
	}
	return c.state.Until().Sub(now)
}

// healthCheck is a health check to be sent.
type healthCheck struct {
	path    string
	reason  doubtReason
	number  uint64
	process backend.Process
}

// run sends the health checks and ends the cold time, until the context ends.
func (c *coldWatch) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-timer.C:
		}
		if next := c.nextCheck(); next != nil {
			c.check(ctx, next)
		}
		timer.Reset(c.nextWake())
	}
}

// nextCheck returns a health check that is needed now, or nil. Nothing is sent to the
// backend servers of an evacuated failure domain.
func (c *coldWatch) nextCheck() *healthCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.d.now()
	if c.isCold(now) != c.cold {
		c.apply(now)
	}
	if !c.mayCheck() || !c.state.NeedsCheck(now) {
		return nil
	}
	c.state.Checked(now)
	c.checks++
	return &healthCheck{path: c.service.HealthPath, reason: c.reason, number: c.checks, process: c.server.Process()}
}

// mayCheck reports whether health checks may be sent. The caller holds mu.
func (c *coldWatch) mayCheck() bool {
	return c.service.ColdRate > 0 && c.service.HealthPath != "" && c.listed && !c.server.Evacuated
}

// idleWake is the time after which run looks at the state again without a signal.
const idleWake = time.Minute

// nextWake returns the time until the next health check or the end of the cold time.
func (c *coldWatch) nextWake() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.d.now()
	if !c.cold {
		return idleWake
	}
	wake := c.state.Until().Sub(now)
	if next, needed := c.state.NextCheck(now); needed && c.mayCheck() {
		wake = min(wake, next.Sub(now))
	}
	return max(time.Millisecond, wake)
}

// check sends a health check and records its result.
func (c *coldWatch) check(ctx context.Context, check *healthCheck) {
	c.d.metrics.Control("health_check", check.reason.String())
	header, headers := http.Header{}, platform.Headers{}
	headers.SetRequestID(header, "health-"+c.d.settings.Load().IP+"-"+strconv.FormatUint(check.number, 10))
	response, err := c.d.localBackend.CheckHealth(ctx, check.path, header)
	health, answered := platform.Health{}, false
	if err == nil {
		health, answered = headers.Health(response.Status, response.Header)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.d.now()
	switch {
	case c.server.Process() != check.process:
		// The entry of a new process, which has come meanwhile, tells how long it is cold.
		return
	case answered:
		c.state.Answered(backend.Process{ID: health.Server, Born: check.process.Born}, health.ColdLeft, now)
	default:
		c.d.metrics.Control("health_check", "failed")
		c.state.Doubt(now)
	}
	c.apply(now)
}
