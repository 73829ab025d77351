package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"marjoramsaddle/platform/platformtest"
)

// faultInjector picks faults and hosts at random and applies the faults.
type faultInjector struct {
	w      *world
	random *rand.Rand
	began  time.Time
	// plannedOnly skips all faults but planned ones, so that the guarantees for
	// undisturbed hosts are checked throughout the run.
	plannedOnly bool
	faults      []fault
	// fleetInterval is the minimum time between two faults that put all hosts out of
	// touch.
	fleetInterval time.Duration
	pending       sync.WaitGroup

	mu  sync.Mutex
	log []string
}

// scope is the part of a host that a fault affects. Faults of different scopes overlap
// on one host.
type scope int

const (
	daemonScope scope = iota
	serverScope
)

// fault is a kind of fault. apply starts it and returns the function that ends it.
type fault struct {
	name string
	// planned marks routine operations that must not affect requests.
	planned bool
	scope   scope
	// reach says whom the fault puts out of touch. versions marks the faults that runs
	// for versions inject as well.
	reach    reach
	versions bool
	// hopLink marks the faults that need a relay for requests of other daemons.
	hopLink bool
	// minDuration extends the faults that show only after some time.
	minDuration time.Duration
	apply       func(c *faultInjector, h *host) (end func())
}

func (f *fault) disturbsFleet() bool { return f.reach == allHosts || f.reach == storeUnstable }

// minLimitDuration covers the time until a limit must be kept and one window.
const minLimitDuration = settleTime + limitWindow

var faults = []fault{
	{name: "pause", versions: true, apply: pause},
	{name: "kill", versions: true, apply: kill},
	{name: "stop", planned: true, versions: true, apply: stopDaemon},
	{name: "stops in series", planned: true, versions: true, apply: stopSeries},
	{name: "reload", planned: true, versions: true, reach: noHost, apply: reload},
	{name: "hop delayed", hopLink: true, apply: setHopMode(mode{delay: 30 * time.Millisecond})},
	{name: "hop stalled inward", hopLink: true, apply: setHopMode(mode{inward: true})},
	{name: "hop stalled outward", hopLink: true, apply: setHopMode(mode{outward: true})},
	{name: "host cut off", versions: true, hopLink: true, apply: isolateHost},
	{name: "hop reset", hopLink: true, apply: func(_ *faultInjector, h *host) func() { h.hop.reset(); return noCleanup }},
	{name: "hop silent", hopLink: true, apply: func(_ *faultInjector, h *host) func() { h.hop.silence(); return noCleanup }},
	{name: "store silent", versions: true, reach: allHosts, apply: func(_ *faultInjector, h *host) func() { h.store.silence(); return noCleanup }},
	{name: "store cut", versions: true, apply: cutStore},
	{name: "store down", versions: true, reach: allHosts, apply: failStore},
	{name: "store forgets", versions: true, reach: storeUnstable, apply: func(c *faultInjector, _ *host) func() { c.w.store.DropHistory(); return noCleanup }},
	{name: "server sheds", reach: noHost, scope: serverScope, apply: failRequests(platformtest.Shed)},
	{name: "server loses answers", reach: noHost, scope: serverScope, apply: failRequests(platformtest.DropConnection)},
	{name: "server leaves", reach: noHost, planned: true, scope: serverScope, apply: drainBackend},
	{name: "server announces that it leaves", reach: noHost, planned: true, scope: serverScope, apply: announceLeaving},
	{name: "server limits its requests", reach: noHost, planned: true, scope: serverScope, minDuration: minLimitDuration, apply: limitRequests},
	{name: "server limits its requests", reach: noHost, planned: true, scope: serverScope, minDuration: minLimitDuration, apply: limitRequests},
	{name: "entry lapses", reach: noHost, scope: serverScope, apply: lapseEntry},
	{name: "domain evacuated", reach: noHost, planned: true, scope: serverScope, minDuration: minEvacuationDuration, apply: evacuate},
	{name: "version", reach: noHost, planned: true, scope: serverScope, apply: func(c *faultInjector, _ *host) func() { c.w.publish(); return noCleanup }},
	{name: "versions", reach: noHost, planned: true, scope: serverScope, apply: publishSeries},
}

func noCleanup() {}

// injectFaults applies faults for the given duration and returns when all have ended.
func (c *faultInjector) injectFaults(ctx context.Context, duration time.Duration) {
	var fleetDisturbedAt time.Time
	for end := c.began.Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		one := c.faults[c.random.IntN(len(c.faults))]
		if c.plannedOnly && !one.planned || one.disturbsFleet() && time.Since(fleetDisturbedAt) < c.fleetInterval {
			continue
		}
		if one.disturbsFleet() {
			fleetDisturbedAt = time.Now()
		}
		h := c.w.hosts[c.random.IntN(len(c.w.hosts))]
		span := 300*time.Millisecond + time.Duration(c.random.Int64N(int64(2500*time.Millisecond)))
		step := time.Duration(c.random.Int64N(int64(maxFaultInterval)))
		c.inject(ctx, one, h, max(span, one.minDuration))
		sleep(ctx, step)
	}
	c.pending.Wait()
}

// inject applies a fault for the given span, unless another fault of the same scope is
// active on the host.
func (c *faultInjector) inject(ctx context.Context, one fault, h *host, span time.Duration) {
	if one.hopLink && h.hop == nil {
		return
	}
	active := h.faultLock(one.scope)
	if !active.TryLock() {
		return
	}
	c.logf("%s on %s for %v", one.name, h.name, span.Round(time.Millisecond))
	c.markDisturbed(h, one, span)
	c.w.loseTouch(h, one.reach, span)
	end := one.apply(c, h)
	c.pending.Go(func() {
		defer active.Unlock()
		sleep(ctx, span)
		end()
		c.markDisturbed(h, one, 0)
		c.w.loseTouch(h, one.reach, 0)
	})
}

func (h *host) faultLock(of scope) *sync.Mutex {
	if of == serverScope {
		return &h.serverFault
	}
	return &h.daemonFault
}

func (c *faultInjector) markDisturbed(h *host, one fault, span time.Duration) {
	if one.planned {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := time.Now().Add(span); until.After(h.disturbedUntil) {
		h.disturbedUntil = until
	}
}

func pause(c *faultInjector, h *host) func() {
	// Pausing fails only if the process has already exited.
	_ = h.daemon.Pause()
	c.w.recorder.known.forgetAll(h.name)
	return func() {
		_ = h.daemon.Resume()
		c.w.recorder.known.forgetAll(h.name)
	}
}

func kill(c *faultInjector, h *host) func() {
	h.daemon.Kill()
	return func() { c.restartDaemon(h) }
}

// restartDaemon starts the daemon again and logs a failure.
func (c *faultInjector) restartDaemon(h *host) {
	c.w.recorder.known.forgetAll(h.name)
	if err := c.w.startDaemon(h); err != nil {
		c.logf("%s did not start: %v", h.name, err)
	}
}

func (c *faultInjector) logf(format string, arguments ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, fmt.Sprintf("%.1f s: ", time.Since(c.began).Seconds())+fmt.Sprintf(format, arguments...))
}

// seriesLength is the number of daemons that stopSeries stops, and seriesInterval the
// time between two of them, in which the previous one has not ended.
const (
	seriesLength   = 3
	seriesInterval = 400 * time.Millisecond
)

// stopSeries stops the daemons of several hosts one after the other.
func stopSeries(c *faultInjector, h *host) func() {
	first := slices.Index(c.w.hosts, h)
	ends := []func(){stopDaemon(c, h)}
	for i := 1; i < seriesLength; i++ {
		next := c.w.hosts[(first+i)%len(c.w.hosts)]
		if !next.daemonFault.TryLock() {
			continue
		}
		time.Sleep(seriesInterval)
		c.logf("stop on %s in the series", next.name)
		end := stopDaemon(c, next)
		ends = append(ends, func() {
			defer next.daemonFault.Unlock()
			end()
		})
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// reload writes the settings file again and signals the daemon.
func reload(c *faultInjector, h *host) func() {
	data, err := os.ReadFile(h.settings)
	if err == nil {
		err = os.WriteFile(h.settings, data, 0o600)
	}
	if err = errors.Join(err, h.daemon.Reload()); err != nil {
		c.logf("reload of %s: %v", h.name, err)
	}
	return noCleanup
}

func stopDaemon(c *faultInjector, h *host) func() {
	h.setStopping(time.Now())
	c.w.loseTouch(h, ownHost, stopGrace)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
		defer cancel()
		if err := h.daemon.Stop(ctx); err != nil {
			c.logf("%s: %v", h.name, err)
		}
	}()
	return func() {
		<-stopped
		c.restartDaemon(h)
		if err := c.w.awaitListening(h); err != nil {
			c.logf("%s does not listen after its restart: %v", h.name, err)
		}
		h.setStopping(time.Time{})
	}
}

// setStopping records since when the host's daemon is stopping; zero means it is not.
func (h *host) setStopping(since time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stoppedAt = since
}

// stoppingSince returns when the host's daemon was asked to stop, or zero if it is not
// stopping.
func (h *host) stoppingSince() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stoppedAt
}

func setHopMode(to mode) func(*faultInjector, *host) func() {
	return func(c *faultInjector, h *host) func() {
		h.hop.set(to)
		c.w.recorder.known.forgetLimits(h.name)
		return func() {
			h.hop.set(mode{})
			c.w.recorder.known.forgetLimits(h.name)
		}
	}
}

func isolateHost(c *faultInjector, h *host) func() {
	cut := mode{inward: true, outward: true}
	links := slices.DeleteFunc([]*relay{h.hop, h.control, h.store}, func(r *relay) bool { return r == nil })
	for _, r := range links {
		r.set(cut)
	}
	c.w.recorder.known.forgetLimits(h.name)
	return func() {
		for _, r := range links {
			r.set(mode{})
		}
		c.w.recorder.known.forgetLimits(h.name)
	}
}

func failStore(c *faultInjector, _ *host) func() {
	c.w.store.Refuse(func(string) bool { return true })
	return func() { c.w.store.Refuse(nil) }
}

func failRequests(how http.HandlerFunc) func(*faultInjector, *host) func() {
	return func(_ *faultInjector, h *host) func() {
		h.setFailureHandler(how)
		return func() { h.setFailureHandler(nil) }
	}
}

func (h *host) setFailureHandler(how http.HandlerFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failureHandler = how
}

// drainBackend registers the backend server as draining, lets it serve beyond
// drainDeadline and then replaces it by a new one.
func drainBackend(c *faultInjector, h *host) func() {
	c.w.store.Put(platformtest.ServerPrefix+h.backend.Name, h.backend.Entry(h.domain, "draining", slots))
	h.mu.Lock()
	h.drainingSince = time.Now()
	h.mu.Unlock()
	return func() { c.replaceLeaving(h) }
}

// announceLeaving makes the backend server announce that it is leaving, while its entry
// in the store says that it is ready.
func announceLeaving(c *faultInjector, h *host) func() {
	h.backend.Announce("", true)
	return func() { c.replaceLeaving(h) }
}

func (c *faultInjector) replaceLeaving(h *host) {
	time.Sleep(drainDeadline + time.Second)
	for end := time.Now().Add(maxFinishingTime); h.running.Load() > 0 && time.Now().Before(end); {
		time.Sleep(stallPollInterval)
	}
	if err := c.w.replaceBackend(h); err != nil {
		c.logf("%s: %v", h.name, err)
	}
}

// limitRequests makes the backend server announce a limit of a few requests a second.
func limitRequests(c *faultInjector, h *host) func() {
	rate := float64(1+c.random.IntN(250)) / 10
	period := limitPeriod{server: h.backend.Name, rate: rate, from: time.Now()}
	h.backend.Announce(strconv.FormatFloat(rate, 'f', -1, 64), false)
	return func() {
		period.until = time.Now()
		h.backend.Announce("", false)
		c.w.recorder.recordLimit(period)
	}
}

// lapseEntry removes the entry of a backend server that serves on, and writes it again.
func lapseEntry(c *faultInjector, h *host) func() {
	c.w.store.Delete(platformtest.ServerPrefix + h.backend.Name)
	return func() {
		c.w.store.Put(platformtest.ServerPrefix+h.backend.Name, h.backend.Entry(h.domain, "ready", slots))
	}
}

// publishSeries publishes five versions in quick succession.
func publishSeries(c *faultInjector, _ *host) func() {
	for range 5 {
		c.w.publish()
		time.Sleep(60 * time.Millisecond)
	}
	return noCleanup
}
