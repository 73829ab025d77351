package soak

import (
	"sync"
	"time"

	"marjoramsaddle/platform/platformtest"
)

const (
	// evacuationDeadline is the documented time after which no request may reach the
	// backend servers of an evacuated failure domain.
	evacuationDeadline = 5 * time.Second
	// minEvacuationDuration covers the deadline and some time in which it binds.
	minEvacuationDuration = evacuationDeadline + 2*time.Second
)

// evacuations holds the failure domains that the operators have taken out of service. It
// is safe for concurrent use.
type evacuations struct {
	mu    sync.Mutex
	since map[string]time.Time
	// active counts the overlapping evacuations of a failure domain.
	active map[string]int
}

func newEvacuations() *evacuations {
	return &evacuations{since: map[string]time.Time{}, active: map[string]int{}}
}

// sinceOf returns when the failure domain was evacuated; zero if it is in service.
func (e *evacuations) sinceOf(domain string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.since[domain]
}

// evacuate takes the failure domain of the host out of service.
func evacuate(c *faultInjector, h *host) func() {
	e := c.w.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active[h.domain]++; e.active[h.domain] == 1 {
		c.w.store.Put(platformtest.EvacuationPrefix+h.domain, map[string]any{})
		e.since[h.domain] = time.Now()
	}
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.active[h.domain]--; e.active[h.domain] == 0 {
			delete(e.since, h.domain)
			c.w.store.Delete(platformtest.EvacuationPrefix + h.domain)
		}
	}
}
