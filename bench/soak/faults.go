package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
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
	pending     sync.WaitGroup

	mu  sync.Mutex
	log []string
}

// fault is a kind of fault. apply starts it and returns the function that ends it.
type fault struct {
	name string
	// planned marks routine operations that must not affect requests.
	planned bool
	apply   func(c *faultInjector, h *host) (end func())
}

var faults = []fault{
	{"pause", false, pause},
	{"kill", false, kill},
	{"stop", true, stopDaemon},
	{"hop delayed", false, setHopMode(mode{delay: 30 * time.Millisecond})},
	{"hop stalled inward", false, setHopMode(mode{inward: true})},
	{"hop stalled outward", false, setHopMode(mode{outward: true})},
	{"host cut off", false, isolateHost},
	{"hop reset", false, func(_ *faultInjector, h *host) func() { h.hop.reset(); return noCleanup }},
	{"hop silent", false, func(_ *faultInjector, h *host) func() { h.hop.silence(); return noCleanup }},
	{"store silent", false, func(_ *faultInjector, h *host) func() { h.store.silence(); return noCleanup }},
	{"store cut", false, func(_ *faultInjector, h *host) func() {
		h.store.set(mode{inward: true, outward: true})
		return func() { h.store.set(mode{}) }
	}},
	{"store down", false, failStore},
	{"store forgets", false, func(c *faultInjector, _ *host) func() { c.w.store.DropHistory(); return noCleanup }},
	{"server sheds", false, failRequests(platformtest.Shed)},
	{"server loses answers", false, failRequests(platformtest.DropConnection)},
	{"server leaves", true, drainBackend},
	{"version", true, func(c *faultInjector, _ *host) func() { c.w.publish(); return noCleanup }},
	{"versions", true, publishSeries},
}

func noCleanup() {}

// injectFaults applies faults for the given duration and returns when all have ended.
func (c *faultInjector) injectFaults(ctx context.Context, duration time.Duration) {
	for end := c.began.Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		one := faults[c.random.IntN(len(faults))]
		if c.plannedOnly && !one.planned {
			continue
		}
		h := c.w.hosts[c.random.IntN(len(c.w.hosts))]
		span := 300*time.Millisecond + time.Duration(c.random.Int64N(int64(2500*time.Millisecond)))
		step := time.Duration(c.random.Int64N(int64(maxFaultInterval)))
		c.inject(ctx, one, h, span)
		sleep(ctx, step)
	}
	c.pending.Wait()
}

// inject applies a fault for the given span, unless another fault of the same host is
// active.
func (c *faultInjector) inject(ctx context.Context, one fault, h *host, span time.Duration) {
	if !h.changes.TryLock() {
		return
	}
	c.mu.Lock()
	c.log = append(c.log, fmt.Sprintf("%.1f s: %s on %s for %v", time.Since(c.began).Seconds(), one.name, h.name, span.Round(time.Millisecond)))
	c.mu.Unlock()
	c.markDisturbed(h, one, span)
	end := one.apply(c, h)
	c.pending.Go(func() {
		defer h.changes.Unlock()
		sleep(ctx, span)
		end()
		c.markDisturbed(h, one, 0)
	})
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

func pause(_ *faultInjector, h *host) func() {
	// Pausing fails only if the process has already exited.
	_ = h.daemon.Pause()
	return func() { _ = h.daemon.Resume() }
}

func kill(c *faultInjector, h *host) func() {
	h.daemon.Kill()
	return func() { c.restartDaemon(h) }
}

// restartDaemon starts the daemon again and logs a failure.
func (c *faultInjector) restartDaemon(h *host) {
	if err := c.w.startDaemon(h); err != nil {
		c.mu.Lock()
		c.log = append(c.log, fmt.Sprintf("%s did not start: %v", h.name, err))
		c.mu.Unlock()
	}
}

func stopDaemon(c *faultInjector, h *host) func() {
	h.setStopping(true)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
		defer cancel()
		if err := h.daemon.Stop(ctx); err != nil {
			c.mu.Lock()
			c.log = append(c.log, fmt.Sprintf("%s: %v", h.name, err))
			c.mu.Unlock()
		}
	}()
	return func() {
		<-stopped
		c.restartDaemon(h)
		h.setStopping(false)
	}
}

func (h *host) setStopping(stopping bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = stopping
}

func (h *host) isStopping() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopping
}

func setHopMode(to mode) func(*faultInjector, *host) func() {
	return func(_ *faultInjector, h *host) func() {
		h.hop.set(to)
		return func() { h.hop.set(mode{}) }
	}
}

func isolateHost(_ *faultInjector, h *host) func() {
	cut := mode{inward: true, outward: true}
	for _, r := range []*relay{h.hop, h.control, h.store} {
		r.set(cut)
	}
	return func() {
		for _, r := range []*relay{h.hop, h.control, h.store} {
			r.set(mode{})
		}
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
	return func() {
		time.Sleep(drainDeadline + time.Second)
		if err := c.w.replaceBackend(h); err != nil {
			c.mu.Lock()
			c.log = append(c.log, fmt.Sprintf("%s: %v", h.name, err))
			c.mu.Unlock()
		}
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
