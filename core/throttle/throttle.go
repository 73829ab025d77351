// Package throttle holds back requests that would fail because a service which
// their runs call has no room. Such a request uses a slot of its own service
// and room of the called one, and is lost all the same; one that is refused
// before it runs leaves that room to others.
//
// The share of requests let through falls with each failure and rises with each
// success, so that about one in ten of them fails while there is a shortage,
// and the share is back within some hundred requests after it.
//
// Usage:
//
//	t := throttle.New()
//	if !t.Admit(random) {
//		return refusal.New(refusal.Busy, refusal.NotRun)
//	}
//	t.Done(served)
package throttle

import "sync"

const (
	// failureFactor and successFactor change the share. Nine successes outweigh
	// one failure, which finds out when there is room again.
	failureFactor = 0.85
	successFactor = 1.3
	// smallestShare keeps some requests going, without which nothing would be
	// learned.
	smallestShare = 0.05
)

// Throttle is safe for concurrent use.
type Throttle struct {
	mu    sync.Mutex
	share float64
}

// New returns a throttle that lets everything through.
func New() *Throttle { return &Throttle{share: 1} }

// Admit reports whether a request may go on. Random is any random number.
func (t *Throttle) Admit(random uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(random>>11)/(1<<53) < t.share
}

// Done records the result of a request that was let through: served, or failed
// because one of its calls found no room.
func (t *Throttle) Done(served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if served {
		t.share = min(1, t.share*successFactor)
		return
	}
	t.share = max(smallestShare, t.share*failureFactor)
}
