package holdings

import (
	"sync"
	"sync/atomic"

	"marjoramsaddle/core/id"
)

// Reservation is a share of an account, owned by one request, response or connection.
// Its methods are safe for concurrent use. A nil reservation is valid and holds nothing.
type Reservation struct {
	account *Account
	purpose Purpose
	client  Client

	state   atomic.Int32
	movedAt atomic.Int64

	// held, revoked, closed and position are protected by the mutex of the account.
	held     int64
	revoked  bool
	closed   bool
	position int

	// yieldMu keeps the callback from running after Release has returned.
	yieldMu  sync.Mutex
	yield    func()
	released bool
}

// Grow adds n to the reservation and reports whether the account has granted it. If it
// has not, the reservation is unchanged.
func (r *Reservation) Grow(n int64, at id.Instant) bool {
	if r == nil {
		return true
	}
	return r.account.grow(r, n, at)
}

// Shrink gives back n of the reservation.
func (r *Reservation) Shrink(n int64) {
	if r != nil {
		r.account.shrink(r, n)
	}
}

// Moved records progress, such as bytes that have arrived or were sent.
func (r *Reservation) Moved(at id.Instant) {
	if r != nil {
		r.movedAt.Store(int64(at))
	}
}

// SetState sets what the owner is doing, which counts as progress.
func (r *Reservation) SetState(state State, at id.Instant) {
	if r == nil {
		return
	}
	r.movedAt.Store(int64(at))
	r.state.Store(int32(state))
}

// State returns the state that was set last.
func (r *Reservation) State() State {
	if r == nil {
		return Running
	}
	return State(r.state.Load())
}

// Assign changes on whose behalf the reservation is held, and sets the callback.
func (r *Reservation) Assign(client Client, yield func()) {
	if r == nil {
		return
	}
	r.yieldMu.Lock()
	r.yield = yield
	r.yieldMu.Unlock()
	r.account.assign(r, client)
}

// Stalled reports whether there was no progress for some time.
func (r *Reservation) Stalled(at id.Instant) bool {
	return r != nil && at.Sub(id.Instant(r.movedAt.Load())) >= stalledAfter
}

// Held returns the size of the reservation.
func (r *Reservation) Held() int64 {
	if r == nil {
		return 0
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.held
}

// Revoked reports whether the account has asked for the reservation back.
func (r *Reservation) Revoked() bool {
	if r == nil {
		return false
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.revoked
}

// Release gives back the whole reservation. The callback is not running when Release
// returns, and is not called afterwards. Further calls do nothing.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.yieldMu.Lock()
	released := r.released
	r.released = true
	r.yieldMu.Unlock()
	if !released {
		r.account.release(r)
	}
}

// askToYield calls the callback unless the reservation has been released.
func (r *Reservation) askToYield() {
	r.yieldMu.Lock()
	defer r.yieldMu.Unlock()
	if !r.released {
		r.yield()
	}
}
