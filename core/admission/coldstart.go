package admission

import (
	"context"
	"time"

	"marjoramsaddle/core/announcement"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
)

// coldLimiter bounds the rate of granted tickets while the backend server is cold. The
// zero value sets no bound.
type coldLimiter struct {
	limiter
	// until is when the backend server stops being cold.
	until id.Instant
}

func (l *coldLimiter) active() bool { return l.rate > 0 }

// advance adds the tokens earned until now, and lifts the bound when the cold time ends.
func (l *coldLimiter) advance(now id.Instant) {
	if l.active() && !now.Before(l.until) {
		*l = coldLimiter{}
	}
	l.fill(now)
}

// SetColdStart bounds the rate at which tickets are granted until the backend server
// stops being cold. Without an instant in the future there is no such bound. The bucket
// of a server that becomes cold starts empty, so that no burst adds to the requests that
// it has got before.
func (g *Gate) SetColdStart(now id.Instant, rate id.RequestRate, until id.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advanceClock(now)
	g.cold.until = until
	limit := announcement.Limit{Announced: rate > 0 && g.latest.Before(until), Rate: announcement.RequestRate(rate)}
	g.cold.set(limit, g.latest)
	g.refuseDisplaced()
	g.dispatch()
}

// AcquireHealthCheck is Acquire for a health check, which goes before all other calls and
// is no sample of the service time.
func (g *Gate) AcquireHealthCheck(ctx context.Context, now, queueDeadline id.Instant) (*Ticket, *refusal.Error) {
	return g.AcquireWork(ctx, now, Work{Rank: rankHealthCheck, Deadline: queueDeadline, QueueDeadline: queueDeadline})
}

// coldWait returns how long it takes until the cold server tolerates the given number of
// calls, or is not cold any more.
func (g *Gate) coldWait(calls int) time.Duration {
	if !g.cold.active() {
		return 0
	}
	return min(g.cold.wait(calls), g.cold.until.Sub(g.latest))
}

// coldLate reports whether the cold server admits the call too late if it is the one at
// the given position of the queue.
func (g *Gate) coldLate(w *waiter, position int) bool {
	wait := g.coldWait(position)
	if wait <= 0 {
		return false
	}
	start := g.latest.Add(wait)
	return !start.Before(w.QueueDeadline) || g.endsLate(start, w)
}

// coldPosition returns the position at which new work would be queued at a cold server.
func (g *Gate) coldPosition(work *Work) int {
	if !g.cold.active() {
		return 0
	}
	return g.queue.ahead(work.Rank) + 1
}

// refuseDisplaced refuses the queued calls that a cold server can't admit in time behind
// those that go before them.
func (g *Gate) refuseDisplaced() {
	if !g.cold.active() {
		return
	}
	position := 1
	g.queue.removeIf(func(w *waiter) bool {
		if w.Rank == rankHealthCheck || !g.coldLate(w, position) {
			position++
			return false
		}
		w.retryAfter = g.coldWait(position)
		w.refuse(refusal.ServerCold)
		return true
	})
}

// retryAfter returns when there is capacity for work that was refused, or zero if that is
// unknown.
func (g *Gate) retryAfter(reason refusal.Reason, work Work) time.Duration {
	if reason != refusal.ServerCold {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.coldWait(g.coldPosition(&work))
}
