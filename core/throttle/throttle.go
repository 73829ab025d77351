// Package throttle holds back requests that would fail because a service which
// their runs call has no room. Such a request uses a slot of its own service
// and room of the called one, and is lost all the same; one that is refused
// before it runs leaves that room to others.
//
// It is the adaptive throttling of client-side load shedding: the share of
// requests let through follows the share that has lately been served.
//
// Usage:
//
//	t := throttle.New()
//	if !t.Admit(now, random) {
//		return refusal.New(refusal.Busy, refusal.NotRun)
//	}
//	t.Done(now, served)
package throttle

import (
	"math"
	"sync"
	"time"

	"marjoramsaddle/core/id"
)

const (
	// headroom is how many requests are let through for each one served. The
	// surplus finds out when there is room again.
	headroom = 1.15
	// halfLife is the time in which a result loses half of its weight. A
	// shortage lasts for seconds; a few hundred milliseconds would follow single
	// bursts.
	halfLife = time.Second
	// quorum is the number of results below which nothing is held back.
	quorum = 8
)

// Throttle is safe for concurrent use.
type Throttle struct {
	mu sync.Mutex
	// ended counts the requests that have a result or were held back, served
	// those of them that were served. Both fade.
	ended  float64
	served float64
	latest id.Instant
}

// New returns a throttle that lets everything through.
func New() *Throttle { return &Throttle{} }

// Admit reports whether a request may go on. Random is any random number.
func (t *Throttle) Admit(now id.Instant, random uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	if t.ended < quorum {
		return true
	}
	share := headroom * t.served / t.ended
	if float64(random>>11)/(1<<53) < share {
		return true
	}
	// What is held back counts as asked for, or the share would rise again with
	// each request that is.
	t.ended++
	return false
}

// Done records the result of a request that was let through: served, or failed
// because one of its calls found no room.
func (t *Throttle) Done(now id.Instant, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.ended++
	if served {
		t.served++
	}
}

func (t *Throttle) decay(now id.Instant) {
	elapsed := now.Sub(t.latest)
	if elapsed <= 0 {
		return
	}
	t.latest = now
	kept := math.Exp2(-float64(elapsed) / float64(halfLife))
	t.ended *= kept
	t.served *= kept
}
