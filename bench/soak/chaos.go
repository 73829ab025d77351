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

// chaos draws faults and applies them.
type chaos struct {
	w      *world
	random *rand.Rand
	began  time.Time
	// plannedOnly leaves the fleet calm, so that the promises for calm hosts are
	// checked all the while.
	plannedOnly bool
	ends        sync.WaitGroup

	mu  sync.Mutex
	log []string
}

// fault is one kind of trouble. It returns what ends it.
type fault struct {
	name string
	// planned faults harm nobody.
	planned bool
	apply   func(c *chaos, h *host) (end func())
}

var faults = []fault{
	{"pause", false, pause},
	{"kill", false, kill},
	{"stop", true, stopDaemon},
	{"hop delayed", false, throughHop(mode{delay: 30 * time.Millisecond})},
	{"hop stalled inward", false, throughHop(mode{inward: true})},
	{"hop stalled outward", false, throughHop(mode{outward: true})},
	{"host cut off", false, cutOff},
	{"hop reset", false, func(_ *chaos, h *host) func() { h.hop.reset(); return nothing }},
	{"hop silent", false, func(_ *chaos, h *host) func() { h.hop.silence(); return nothing }},
	{"store silent", false, func(_ *chaos, h *host) func() { h.store.silence(); return nothing }},
	{"store cut", false, func(_ *chaos, h *host) func() {
		h.store.set(mode{inward: true, outward: true})
		return func() { h.store.set(mode{}) }
	}},
	{"store down", false, storeDown},
	{"store forgets", false, func(c *chaos, _ *host) func() { c.w.store.DropHistory(); return nothing }},
	{"server sheds", false, failing(platformtest.Shed)},
	{"server loses answers", false, failing(platformtest.DropConnection)},
	{"server leaves", true, leave},
	{"version", true, func(c *chaos, _ *host) func() { c.w.publish(); return nothing }},
	{"versions", true, versions},
}

func nothing() {}

// play applies faults until the time is over, and returns when all have ended.
func (c *chaos) play(ctx context.Context, duration time.Duration) {
	for end := c.began.Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		one := faults[c.random.IntN(len(faults))]
		if c.plannedOnly && !one.planned {
			continue
		}
		h := c.w.hosts[c.random.IntN(len(c.w.hosts))]
		span := 300*time.Millisecond + time.Duration(c.random.Int64N(int64(2500*time.Millisecond)))
		step := time.Duration(c.random.Int64N(int64(longestStep)))
		c.strike(ctx, one, h, span)
		sleep(ctx, step)
	}
	c.ends.Wait()
}

// strike applies a fault unless another one of the same host that changes its
// process or relays still lasts.
func (c *chaos) strike(ctx context.Context, one fault, h *host, span time.Duration) {
	if !h.changes.TryLock() {
		return
	}
	c.mu.Lock()
	c.log = append(c.log, fmt.Sprintf("%.1f s: %s on %s for %v", time.Since(c.began).Seconds(), one.name, h.name, span.Round(time.Millisecond)))
	c.mu.Unlock()
	c.trouble(h, one, span)
	end := one.apply(c, h)
	c.ends.Go(func() {
		defer h.changes.Unlock()
		sleep(ctx, span)
		end()
		c.trouble(h, one, 0)
	})
}

func (c *chaos) trouble(h *host, one fault, span time.Duration) {
	if one.planned {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := time.Now().Add(span); until.After(h.troubled) {
		h.troubled = until
	}
}

func pause(_ *chaos, h *host) func() {
	// A process that has ended meanwhile cannot be paused.
	_ = h.daemon.Pause()
	return func() { _ = h.daemon.Resume() }
}

func kill(c *chaos, h *host) func() {
	h.daemon.Kill()
	return func() { c.relaunch(h) }
}

// relaunch starts the daemon again.
func (c *chaos) relaunch(h *host) {
	if err := c.w.launch(h); err != nil {
		c.mu.Lock()
		c.log = append(c.log, fmt.Sprintf("%s did not start: %v", h.name, err))
		c.mu.Unlock()
	}
}

func stopDaemon(c *chaos, h *host) func() {
	h.setStopping(true)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		if err := h.daemon.Stop(ctx); err != nil {
			c.mu.Lock()
			c.log = append(c.log, fmt.Sprintf("%s: %v", h.name, err))
			c.mu.Unlock()
		}
	}()
	return func() {
		<-stopped
		c.relaunch(h)
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

func throughHop(to mode) func(*chaos, *host) func() {
	return func(_ *chaos, h *host) func() {
		h.hop.set(to)
		return func() { h.hop.set(mode{}) }
	}
}

func cutOff(_ *chaos, h *host) func() {
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

func storeDown(c *chaos, _ *host) func() {
	c.w.store.Refuse(func(string) bool { return true })
	return func() { c.w.store.Refuse(nil) }
}

func failing(how http.HandlerFunc) func(*chaos, *host) func() {
	return func(_ *chaos, h *host) func() {
		h.setFails(how)
		return func() { h.setFails(nil) }
	}
}

func (h *host) setFails(how http.HandlerFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fails = how
}

// leave lists the backend server as leaving, serves on for a while, and then
// puts a new one in its place.
func leave(c *chaos, h *host) func() {
	c.w.store.Put(platformtest.ServerPrefix+h.backend.Name, h.backend.Entry(h.domain, "draining", slots))
	h.mu.Lock()
	h.draining = time.Now()
	h.mu.Unlock()
	return func() {
		time.Sleep(drainBound + time.Second)
		if err := c.w.replace(h); err != nil {
			c.mu.Lock()
			c.log = append(c.log, fmt.Sprintf("%s: %v", h.name, err))
			c.mu.Unlock()
		}
	}
}

// versions writes a series of versions.
func versions(c *chaos, _ *host) func() {
	for range 5 {
		c.w.publish()
		time.Sleep(60 * time.Millisecond)
	}
	return nothing
}
