// Package admission decides which calls reach the backend server of this host.
// A Gate hands out as many tickets as the backend server has slots, queues the
// calls that find none, and refuses those that would wait too long. Every
// refusal happens before a byte of the request is sent, so its outcome is
// not_run.
//
// The queue is bounded in length and in time. Calls are served by class
// (order, lookup, internal) and by arrival within a class; every eighth slot
// goes to the call whose queue deadline comes first, whatever its class. A
// call is refused on arrival when the calls ahead of it, at the measured
// service time, would keep it past its queue deadline. A queued call must also
// leave enough time before its deadline for the measured service time and its
// spread, because a late answer is wasted work.
//
// The gate reads no clock. Its owner calls Expire every few milliseconds while
// calls are queued, so that calls end at their queue deadline even when no
// ticket is returned, and slots that the ramp adds are used.
//
// Usage:
//
//	gate := admission.NewGate(20, 130, admission.WithRamp(2*time.Second))
//	ticket, refused := gate.Enter(ctx, now, document.ClassOrder, deadline, queueDeadline)
//	if refused != nil {
//		return refused
//	}
//	// Check the deadline again, then call the backend server.
//	ticket.Leave(later)
package admission

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
)

const (
	// queuePerSlot bounds the queue when no length is set. A wait of 100 ms at
	// the shortest service times of a few milliseconds needs about this many.
	queuePerSlot = 32
	// fairInterval is how often a slot goes to the earliest queue deadline
	// instead of the highest class.
	fairInterval = 8
	// serviceWeight is the weight of one sample in the mean service time.
	serviceWeight = 1.0 / 16
	// deviations is how many mean deviations above the mean a call may take
	// and still end in time. With the mean alone, calls slower than the mean
	// end late and their slots are wasted.
	deviations = 2
)

// Gate admits calls to one backend server. It is safe for concurrent use.
type Gate struct {
	mu          sync.Mutex
	slots       int
	queueLength int
	ramp        time.Duration
	started     id.Instant
	queue       queue
	running     int
	grants      uint64
	latest      id.Instant
	resynced    id.Instant
	service     time.Duration
	deviation   time.Duration
	draining    bool
	idle        chan struct{}
	// waiting holds a signal after a call was queued.
	waiting chan struct{}
}

// Option changes a gate at its creation.
type Option func(*Gate)

// WithQueueLength bounds the number of queued calls.
func WithQueueLength(calls int) Option { return func(g *Gate) { g.queueLength = calls } }

// WithRamp sets how long the slots take to grow from one to all after a start.
func WithRamp(ramp time.Duration) Option { return func(g *Gate) { g.ramp = ramp } }

// WithStarted sets when the backend server started, which begins the ramp.
func WithStarted(at id.Instant) Option { return func(g *Gate) { g.started = at } }

// NewGate returns a gate for a backend server with the given numbers of slots
// and connections. Each running call holds one connection, so the smaller
// number is the bound.
func NewGate(slots, connections int, options ...Option) *Gate {
	gate := &Gate{slots: max(1, min(slots, connections)), idle: make(chan struct{}), waiting: make(chan struct{}, 1)}
	gate.queueLength = queuePerSlot * gate.slots
	for _, option := range options {
		option(gate)
	}
	return gate
}

// Ticket is the right to have one call on the backend server.
type Ticket struct {
	gate *Gate
	// GrantedAt is when the slot was given.
	GrantedAt id.Instant
	left      atomic.Bool
}

// Release returns the slot. Only the first call has an effect.
func (t *Ticket) Release(now id.Instant) {
	if t.left.Swap(true) {
		return
	}
	t.gate.release(t, now)
}

// Acquire blocks until the call gets a slot, or refuses it as not run.
func (g *Gate) Acquire(ctx context.Context, now id.Instant, class document.Class, deadline, queueDeadline id.Instant) (*Ticket, *refusal.Error) {
	return g.AcquireRank(ctx, now, classRank(class), deadline, queueDeadline)
}

// AcquireRank is Enter for a call whose place in the queue is given by a rank.
func (g *Gate) AcquireRank(ctx context.Context, now id.Instant, rank Rank, deadline, queueDeadline id.Instant) (*Ticket, *refusal.Error) {
	if err := ctx.Err(); err != nil {
		return nil, gone(err)
	}
	ticket, waiting, reason := g.offerRank(now, rank, deadline, queueDeadline)
	switch {
	case reason != refusal.None:
		return nil, refusal.New(reason, refusal.NotRun)
	case ticket != nil:
		return ticket, nil
	}
	select {
	case <-waiting.done:
		return waiting.result()
	case <-ctx.Done():
		g.abandon(waiting)
		return nil, gone(ctx.Err())
	}
}

// Queued receives after a call was queued. Until then the gate needs no
// Expire.
func (g *Gate) Queued() <-chan struct{} { return g.waiting }

// Expire refuses the queued calls whose time has passed and uses the slots
// that the ramp has added. It returns the number of calls still queued.
func (g *Gate) Expire(now id.Instant) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observe(now)
	g.queue.removeIf(func(w *waiter) bool { return g.refuseLate(w) })
	g.dispatch()
	return g.queue.total
}

// NextDeadline returns when the first call of some class has to leave the queue, or zero
// when none is queued.
func (g *Gate) NextDeadline() id.Instant {
	g.mu.Lock()
	defer g.mu.Unlock()
	if first := g.queue.earliest(); first != nil {
		return min(first.queueDeadline, first.deadline)
	}
	return 0
}

// Resync re-checks the queued calls after a pause of the process. Calls that
// ran through the pause no longer count towards the service time.
func (g *Gate) Resync(now id.Instant) {
	g.mu.Lock()
	g.resynced = now
	g.mu.Unlock()
	g.Expire(now)
}

// SetRamp sets how long the slots take to grow after a start.
func (g *Gate) SetRamp(ramp time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ramp = ramp
}

// RestartRamp begins the cold-start ramp again.
func (g *Gate) RestartRamp(now id.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.started = now
	g.observe(now)
}

// Resize sets new numbers of slots and connections. Calls that run above the
// new bound finish.
func (g *Gate) Resize(now id.Instant, slots, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = max(1, min(slots, connections))
	g.observe(now)
	g.dispatch()
}

// Drain refuses new and queued calls as leaving. Calls that run finish.
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

// Idle returns a channel that is closed once the gate drains and no call runs.
func (g *Gate) Idle() <-chan struct{} { return g.idle }

// Load returns the numbers of running and queued calls.
func (g *Gate) Load() (running, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, g.queue.total
}

func (g *Gate) offer(now id.Instant, class document.Class, deadline, queueDeadline id.Instant) (*Ticket, *waiter, refusal.Reason) {
	return g.offerRank(now, classRank(class), deadline, queueDeadline)
}

// offerRank gives a ticket, a place in the queue or the reason of a refusal.
func (g *Gate) offerRank(now id.Instant, rank Rank, deadline, queueDeadline id.Instant) (*Ticket, *waiter, refusal.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observe(now)
	switch {
	case g.draining:
		return nil, nil, refusal.Leaving
	case !now.Before(deadline):
		return nil, nil, refusal.DeadlinePassed
	}
	g.dispatch()
	if g.queue.total == 0 && g.running < g.capacity() {
		return g.grant(), nil, refusal.None
	}
	waiting := &waiter{rank: rank, deadline: deadline, queueDeadline: queueDeadline, done: make(chan struct{})}
	if reason := g.early(waiting); reason != refusal.None {
		return nil, nil, reason
	}
	if g.queue.total >= g.queueLength && !g.displace(rank) {
		return nil, nil, refusal.QueueFull
	}
	g.queue.push(waiting)
	select {
	case g.waiting <- struct{}{}:
	default:
	}
	return nil, waiting, refusal.None
}

// early returns why the call would not get a slot in time.
func (g *Gate) early(w *waiter) refusal.Reason {
	rounds := float64(g.queue.ahead(w.rank)+1) / float64(g.capacity())
	start := g.latest.Add(time.Duration(rounds * float64(g.service)))
	if !start.Before(w.queueDeadline) || g.endsLate(start, w) {
		return refusal.QueueDeadline
	}
	return refusal.None
}

// displace refuses the newest queued call of a class below rank.
func (g *Gate) displace(rank Rank) bool {
	last := g.queue.lowest(rank)
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
	case !g.latest.Before(w.deadline):
		w.refuse(refusal.DeadlinePassed)
	case !g.latest.Before(w.queueDeadline), g.endsLate(g.latest, w):
		w.refuse(refusal.QueueDeadline)
	default:
		return false
	}
	return true
}

// dispatch gives free slots to queued calls.
func (g *Gate) dispatch() {
	for g.queue.total > 0 && g.running < g.capacity() {
		next := g.queue.first()
		if g.grants%fairInterval == fairInterval-1 {
			next = g.queue.earliest()
		}
		g.queue.remove(next)
		if g.refuseLate(next) {
			continue
		}
		next.ticket = g.grant()
		close(next.done)
	}
}

func (g *Gate) grant() *Ticket {
	g.running++
	g.grants++
	return &Ticket{gate: g, GrantedAt: g.latest}
}

func (g *Gate) release(ticket *Ticket, now id.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observe(now)
	if !ticket.GrantedAt.Before(g.resynced) {
		g.sample(max(0, now.Sub(ticket.GrantedAt)))
	}
	g.free()
}

func (g *Gate) sample(took time.Duration) {
	if g.service == 0 {
		g.service = took
		return
	}
	off := took - g.service
	g.service += time.Duration(serviceWeight * float64(off))
	g.deviation += time.Duration(serviceWeight * float64(max(off, -off)-g.deviation))
}

// endsLate reports whether a call started at the given instant would probably
// end after its deadline.
func (g *Gate) endsLate(start id.Instant, w *waiter) bool {
	return !start.Add(g.service + deviations*g.deviation).Before(w.deadline)
}

// abandon withdraws a call whose caller has gone.
func (g *Gate) abandon(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.queued {
		g.queue.remove(w)
		return
	}
	// The slot was given while the caller went away. It is no sample of the
	// service time because nothing ran.
	if w.ticket != nil {
		w.ticket.left.Store(true)
		g.free()
	}
}

func (g *Gate) free() {
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

// observe keeps the newest instant, because goroutines read the clock before
// they take the lock and may arrive out of order.
func (g *Gate) observe(now id.Instant) { g.latest = max(g.latest, now) }

// capacity returns the number of slots at this point of the ramp.
func (g *Gate) capacity() int {
	age := g.latest.Sub(g.started)
	if age >= g.ramp {
		return g.slots
	}
	return max(1, int(int64(g.slots)*int64(max(0, age))/int64(g.ramp)))
}

func gone(err error) *refusal.Error {
	if errors.Is(err, context.DeadlineExceeded) {
		return refusal.Wrap(refusal.DeadlinePassed, refusal.NotRun, err)
	}
	return refusal.Wrap(refusal.CallerGone, refusal.NotRun, err)
}
