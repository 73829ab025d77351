package soak

import (
	"sync"
	"time"
)

// partition is the failure domain that hears no beacons of the others and is not heard by
// them, if any. It is safe for concurrent use.
type partition struct {
	mu     sync.Mutex
	domain string
}

// start separates a failure domain unless another one is separated already.
func (p *partition) start(domain string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.domain != "" {
		return false
	}
	p.domain = domain
	return true
}

func (p *partition) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domain = ""
}

// separates reports whether beacons of one host do not reach the other.
func (p *partition) separates(from, to *host) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.domain != "" && (from.domain == p.domain) != (to.domain == p.domain)
}

// separateDomain stops the beacons between the host's failure domain and the others. All
// hosts still reach the store, so versions bind all of them: the side without a reader of
// the store hears of nothing newer, and must notice and read the store itself.
func separateDomain(c *faultInjector, h *host) func() {
	if !c.w.partition.start(h.domain) {
		return noCleanup
	}
	c.w.publish()
	time.Sleep(time.Duration(c.random.Int64N(int64(20 * time.Millisecond))))
	c.w.publish()
	return c.w.partition.end
}
