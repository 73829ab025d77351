// Package admission limits the calls that reach the backend server of this host.
//
// A Gate grants as many tickets as the backend server has slots, at no higher rate than
// the server accepts (see SetLimit) or tolerates while it is cold (see SetColdStart), queues the calls that get none, and refuses those
// that would wait too long. Every refusal happens before a byte of the request is sent,
// so its outcome is not_run.
//
// The queue is bounded in length and in time. Calls are served by class (order, lookup,
// internal) or rank and in order of arrival within it. Calls made by running requests rank
// before new requests of the same priority (see CallRankOf). Every eighth slot goes to the call
// with the earliest queue deadline, regardless of rank; at a cold server, where there are far
// fewer slots than calls, the order is strict. A call is refused on arrival if
// the calls ahead of it, at the measured service time, would delay it past its queue
// deadline. A queued call must also leave enough time before its deadline for the
// measured service time and its deviation, because a late response is wasted work.
//
// The gate reads no clock. Its owner calls Expire every few milliseconds while calls are
// queued, so that calls end at their queue deadline even if no ticket is released, and
// so that slots added by the ramp are used.
//
// # Usage
//
//	gate := admission.NewGate(20, 130, admission.WithRamp(2*time.Second))
//	class := document.ClassOrder
//	ticket, refused := gate.Acquire(ctx, now, class, deadline, queueDeadline)
//	if refused != nil {
//		return refused
//	}
//	// Check the deadline again, then call the backend server.
//	ticket.Release(later)
package admission

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"marjoramsaddle/core/announcement"
	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
)

const (
	// queuePerSlot sets the default queue length. A wait of 100 ms at the shortest
	// service times of a few milliseconds needs about this many calls.
	queuePerSlot = 32
	// fairnessInterval is how often a slot goes to the earliest queue deadline instead
	// of the highest class.
	fairnessInterval = 8
	// serviceTimeWeight is the weight of one sample in the mean service time.
	serviceTimeWeight = 1.0 / 16
	// deviationFactor is the number of mean deviations above the mean that a call is
	// expected to take. With the mean alone, calls slower than the mean end late and
	// their slots are wasted.
	deviationFactor = 2
)

// Gate admits calls to one backend server. It is safe for concurrent use.
type Gate struct {
	mu              sync.Mutex
	slots           int
	queueLength     int
	ramp            time.Duration
	startedAt       id.Instant
	queue           queue
	limiter         limiter
	cold            coldLimiter
	running         int
	grants          uint64
	latest          id.Instant
	resyncedAt      id.Instant
	meanServiceTime time.Duration
	meanDeviation   time.Duration
	draining        bool
	idle            chan struct{}
	// queued receives a signal when a call is queued.
	queued chan struct{}
}

// Option configures a gate.
type Option func(*Gate)

// WithQueueLength bounds the number of queued calls.
func WithQueueLength(calls int) Option { return func(g *Gate) { g.queueLength = calls } }

// WithRamp sets the time in which the slots grow from one to all after a start.
func WithRamp(ramp time.Duration) Option { return func(g *Gate) { g.ramp = ramp } }

// WithStarted sets when the backend server started, which starts the ramp.
func WithStarted(at id.Instant) Option { return func(g *Gate) { g.startedAt = at } }

// NewGate returns a gate for a backend server with the given numbers of slots and
// connections. Each running call holds one connection, so the smaller number is the
// limit.
func NewGate(slots, connections int, options ...Option) *Gate {
	gate := &Gate{slots: max(1, min(slots, connections)), idle: make(chan struct{}), queued: make(chan struct{}, 1)}
	gate.queueLength = queuePerSlot * gate.slots
	for _, option := range options {
		option(gate)
	}
	return gate
}

// Ticket is the right to run one call on the backend server.
type Ticket struct {
	gate *Gate
	// GrantedAt is when the slot was granted.
	GrantedAt id.Instant
	// check is set for a health check, which is no sample of the service time.
	check    bool
	released atomic.Bool
}

// Release returns the slot. Further calls have no effect.
func (t *Ticket) Release(now id.Instant) {
	if t.released.Swap(true) {
		return
	}
	t.gate.release(t, now)
}

// Acquire blocks until the call gets a slot, or refuses it with the outcome not_run.
func (g *Gate) Acquire(ctx context.Context, now id.Instant, class document.Class, deadline, queueDeadline id.Instant) (*Ticket, *refusal.Error) {
	return g.AcquireRank(ctx, now, classRank(class), deadline, queueDeadline)
}

// AcquireRank is Acquire for a call that is queued by rank instead of class.
func (g *Gate) AcquireRank(ctx context.Context, now id.Instant, rank Rank, deadline, queueDeadline id.Instant) (*Ticket, *refusal.Error) {
	return g.AcquireWork(ctx, now, Work{Rank: rank, Deadline: deadline, QueueDeadline: queueDeadline})
}

// Work is a call that waits for a slot.
type Work struct {
	Rank          Rank
	Deadline      id.Instant
	QueueDeadline id.Instant
}

// AcquireWork is Acquire for the given work.
func (g *Gate) AcquireWork(ctx context.Context, now id.Instant, work Work) (*Ticket, *refusal.Error) {
	if err := ctx.Err(); err != nil {
		return nil, contextRefusal(err)
	}
	ticket, waiting, reason := g.tryAcquireWork(now, work)
	switch {
	case reason != refusal.None:
		return nil, &refusal.Error{Reason: reason, Outcome: refusal.NotRun, RetryAfter: g.retryAfter(reason, work)}
	case ticket != nil:
		return ticket, nil
	}
	select {
	case <-waiting.done:
		return waiting.result()
	case <-ctx.Done():
		g.abandon(waiting)
		return nil, contextRefusal(ctx.Err())
	}
}

// Queued returns a channel that receives when a call has been queued. While no call is
// queued, Expire need not be called.
func (g *Gate) Queued() <-chan struct{} { return g.queued }

// Expire refuses the queued calls whose time has passed and grants the slots added by
// the ramp. It returns the number of calls still queued.
func (g *Gate) Expire(now id.Instant) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advanceClock(now)
	g.queue.removeIf(func(w *waiter) bool { return g.refuseLate(w) })
	g.dispatch()
	return g.queue.total
}

// NextDeadline returns when Expire next has something to do: the deadline of the queued
// call that expires first among the oldest of each class, or the instant at which the
// limit of the rate allows the next ticket. It returns zero if no call is queued.
func (g *Gate) NextDeadline() id.Instant {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := g.queue.earliestDeadline()
	if first == nil {
		return 0
	}
	next := min(first.QueueDeadline, first.Deadline)
	if g.running < g.capacity() && !g.canGrant() {
		next = min(next, g.latest.Add(max(g.limiter.wait(1), g.coldWait(1))))
	}
	return next
}

// Resync re-checks the queued calls after the process was paused. The service times of
// calls that ran during the pause are not measured.
func (g *Gate) Resync(now id.Instant) {
	g.mu.Lock()
	g.resyncedAt = now
	g.mu.Unlock()
	g.Expire(now)
}

// SetRamp sets the time in which the slots grow after a start.
func (g *Gate) SetRamp(ramp time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ramp = ramp
}

// RestartRamp restarts the cold-start ramp.
func (g *Gate) RestartRamp(now id.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startedAt = now
	g.advanceClock(now)
}

// Resize sets the numbers of slots and connections. Calls running above the new limit
// are allowed to finish.
func (g *Gate) Resize(now id.Instant, slots, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = max(1, min(slots, connections))
	g.advanceClock(now)
	g.dispatch()
}

// SetLimit bounds the rate at which tickets are granted by the limit that the backend
// server announces.
func (g *Gate) SetLimit(now id.Instant, limit announcement.Limit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advanceClock(now)
	g.limiter.set(limit, g.latest)
	g.dispatch()
}

// Drain refuses new and queued calls as leaving. Running calls finish.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return
	}
	g.draining = true
	g.queue.removeIf(func(w *waiter) bool {
		w.refuse(refusal.Leaving)
		return true
	})
	g.closeWhenIdle()
}

// Idle returns a channel that is closed once the gate is draining and no call runs.
func (g *Gate) Idle() <-chan struct{} { return g.idle }

// Load returns the numbers of running and queued calls.
func (g *Gate) Load() (running, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, g.queue.total
}

// Granted returns the number of tickets granted so far.
func (g *Gate) Granted() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grants
}

func (g *Gate) tryAcquire(now id.Instant, class document.Class, deadline, queueDeadline id.Instant) (*Ticket, *waiter, refusal.Reason) {
	return g.tryAcquireRank(now, classRank(class), deadline, queueDeadline)
}

func (g *Gate) tryAcquireRank(now id.Instant, rank Rank, deadline, queueDeadline id.Instant) (*Ticket, *waiter, refusal.Reason) {
	return g.tryAcquireWork(now, Work{Rank: rank, Deadline: deadline, QueueDeadline: queueDeadline})
}

// tryAcquireWork returns a ticket, a queued waiter or the reason of a refusal.
func (g *Gate) tryAcquireWork(now id.Instant, work Work) (*Ticket, *waiter, refusal.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advanceClock(now)
	switch {
	case g.draining:
		return nil, nil, refusal.Leaving
	case !now.Before(work.Deadline):
		return nil, nil, refusal.DeadlinePassed
	}
	g.dispatch()
	if g.queue.total == 0 && g.canGrant() {
		return g.grant(work.Rank), nil, refusal.None
	}
	queued := &waiter{Work: work, done: make(chan struct{})}
	if reason := g.lateReason(queued); reason != refusal.None {
		return nil, nil, reason
	}
	if g.queue.total >= g.queueLength && !g.evictBelow(work.Rank) {
		return nil, nil, refusal.QueueFull
	}
	g.queue.push(queued)
	g.refuseDisplaced()
	select {
	case g.queued <- struct{}{}:
	default:
	}
	return nil, queued, refusal.None
}

// lateReason returns why the call would not get a slot in time, or None.
func (g *Gate) lateReason(w *waiter) refusal.Reason {
	if w.Rank == rankHealthCheck {
		return refusal.None
	}
	if g.coldLate(w, g.coldPosition(&w.Work)) {
		return refusal.ServerCold
	}
	position := g.queue.ahead(w.Rank) + 1
	if wait := g.limiter.wait(position); wait > 0 {
		start := g.latest.Add(wait)
		if !start.Before(w.QueueDeadline) || g.endsLate(start, w) {
			return refusal.ServerLimited
		}
	}
	rounds := float64(position) / float64(g.capacity())
	start := g.latest.Add(time.Duration(rounds * float64(g.meanServiceTime)))
	if !start.Before(w.QueueDeadline) || g.endsLate(start, w) {
		return refusal.QueueDeadline
	}
	return refusal.None
}

// evictBelow refuses the newest queued call of the lowest rank below the given one.
func (g *Gate) evictBelow(rank Rank) bool {
	last := g.queue.newestBelow(rank)
	if last == nil {
		return false
	}
	g.queue.remove(last)
	last.refuse(refusal.QueueFull)
	return true
}

// refuseLate refuses a queued call that can no longer be served in time.
func (g *Gate) refuseLate(w *waiter) bool {
	switch {
	case !g.latest.Before(w.Deadline):
		w.refuse(refusal.DeadlinePassed)
	case !g.latest.Before(w.QueueDeadline), g.endsLate(g.latest, w):
		w.refuse(refusal.QueueDeadline)
	default:
		return false
	}
	return true
}

// canGrant reports whether a slot is free and the limits of the rate allow its use.
func (g *Gate) canGrant() bool {
	return g.running < g.capacity() && g.limiter.allows() && g.cold.allows()
}

// dispatch grants free slots to queued calls.
func (g *Gate) dispatch() {
	for g.queue.total > 0 && g.canGrant() {
		next := g.next()
		g.queue.remove(next)
		if g.refuseLate(next) {
			continue
		}
		next.ticket = g.grant(next.Rank)
		close(next.done)
	}
}

// next returns the queued call that gets the next slot.
func (g *Gate) next() *waiter {
	switch best := g.queue.oldestOfBestRank(); {
	case g.cold.active():
		return best
	case g.grants%fairnessInterval == fairnessInterval-1:
		return g.queue.earliestDeadline()
	default:
		return best
	}
}

func (g *Gate) grant(rank Rank) *Ticket {
	g.limiter.take()
	g.cold.take()
	g.running++
	g.grants++
	return &Ticket{gate: g, GrantedAt: g.latest, check: rank == rankHealthCheck}
}

func (g *Gate) release(ticket *Ticket, now id.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advanceClock(now)
	if !ticket.check && !ticket.GrantedAt.Before(g.resyncedAt) {
		g.sample(max(0, now.Sub(ticket.GrantedAt)))
	}
	g.freeSlot()
}

func (g *Gate) sample(took time.Duration) {
	if g.meanServiceTime == 0 {
		g.meanServiceTime = took
		return
	}
	off := took - g.meanServiceTime
	g.meanServiceTime += time.Duration(serviceTimeWeight * float64(off))
	g.meanDeviation += time.Duration(serviceTimeWeight * float64(max(off, -off)-g.meanDeviation))
}

// endsLate reports whether a call started at the given instant would probably
// end after its deadline.
func (g *Gate) endsLate(start id.Instant, w *waiter) bool {
	if w.Rank == rankHealthCheck {
		// Health checks take far less time than other calls.
		return false
	}
	return !start.Add(g.meanServiceTime + deviationFactor*g.meanDeviation).Before(w.Deadline)
}

// abandon removes a call whose caller has gone.
func (g *Gate) abandon(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.queued {
		g.queue.remove(w)
		return
	}
	// The slot was granted while the caller disconnected. It is not a sample of the
	// service time because nothing ran.
	if w.ticket != nil {
		w.ticket.released.Store(true)
		g.limiter.giveBack()
		g.cold.giveBack()
		g.freeSlot()
	}
}

func (g *Gate) freeSlot() {
	g.running--
	g.dispatch()
	g.closeWhenIdle()
}

func (g *Gate) closeWhenIdle() {
	if !g.draining || g.running > 0 {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

// advanceClock keeps the latest instant, because goroutines read the clock before they
// take the lock and may arrive out of order.
func (g *Gate) advanceClock(now id.Instant) {
	g.latest = max(g.latest, now)
	g.limiter.fill(g.latest)
	g.cold.advance(g.latest)
}

// capacity returns the number of usable slots at this point of the ramp.
func (g *Gate) capacity() int {
	age := g.latest.Sub(g.startedAt)
	if age >= g.ramp {
		return g.slots
	}
	return max(1, int(int64(g.slots)*int64(max(0, age))/int64(g.ramp)))
}

func contextRefusal(err error) *refusal.Error {
	if errors.Is(err, context.DeadlineExceeded) {
		return refusal.Wrap(refusal.DeadlinePassed, refusal.NotRun, err)
	}
	return refusal.Wrap(refusal.CallerGone, refusal.NotRun, err)
}
