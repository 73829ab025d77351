// Package holdings keeps the account of a limited resource that others make this process
// hold: the bytes of their requests and responses, or their connections. Nothing is held
// without a reservation. When the account is exhausted it decides which reservation must
// yield, or that the new one is refused.
//
// Each purpose may fill the account up to a level of its own, so that large bodies leave
// room for responses, these for ordinary requests, and these for control.
//
// # Usage
//
//	account := holdings.New(46 << 20)
//	reservation, granted := account.Reserve(holdings.Request{
//		Purpose: holdings.Body, Client: "192.0.2.7", Amount: 200_000, At: now,
//		State: holdings.Receiving, Yield: func() { conn.SetReadDeadline(past) },
//	})
//	if !granted {
//		return refusal.New(refusal.MemoryFull, refusal.NotRun)
//	}
//	defer reservation.Release()
package holdings

import (
	"sync"
	"sync/atomic"
	"time"

	"marjoramsaddle/core/id"
)

//go:generate stringer -type=Purpose,State -linecomment -output=holdings_string.go

// Purpose is what a reservation is for.
type Purpose int

// The purposes. Their names appear in metrics.
const (
	Control  Purpose = iota // control
	Ordinary                // ordinary
	Response                // response
	Body                    // body
	// ReadAhead is optional, so nothing yields to it.
	ReadAhead    // read_ahead
	Connection   // connection
	purposeCount // end
)

// State is what the owner of a reservation is doing.
type State int

const (
	// Running means that the request may have begun to run, or that the owner cannot
	// yield for another reason.
	Running State = iota // running
	// Idle means that a connection is between requests.
	Idle // idle
	// Receiving means that the request is incomplete, and so has not run.
	Receiving // receiving
	// Streaming means that a response is being sent, or a body too long to buffer is being
	// passed on.
	Streaming // streaming
)

const (
	// OrdinaryBytes is the size up to which a request counts as ordinary. The orders of
	// all users are below 8 KB.
	OrdinaryBytes = 16 << 10
	// stalledAfter is the time without progress after which a reservation counts as
	// stalled. Retransmissions of a lost packet take up to 600 ms.
	stalledAfter = time.Second
	// idleAfter is the time after which an idle connection counts as idle. The request of a
	// connection that was just opened, or the next one, may be in transit.
	idleAfter = 100 * time.Millisecond
	// maxVictims bounds how many reservations yield to a single one.
	maxVictims = 8
	// revokedShare bounds the revoked reservations that their owners have not released
	// yet, as a divisor of the limit. They come on top of the limit. For connections, whose
	// descriptors are free at once, the divisor is 1.
	revokedShare = 4
	// percent is the whole of a level.
	percent = 100
)

// levels are the percentages of the account up to which each purpose may fill it.
var levels = [purposeCount]int64{
	Control: 100, Ordinary: 95, Response: 85, Body: 60, ReadAhead: 20, Connection: 100,
}

// Purposes returns all purposes.
func Purposes() []Purpose {
	all := make([]Purpose, 0, purposeCount)
	for purpose := range purposeCount {
		all = append(all, purpose)
	}
	return all
}

// Client identifies on whose behalf something is held: the remote address of a
// connection, without its port.
type Client string

// Request describes a reservation to make.
type Request struct {
	Purpose Purpose
	Client  Client
	Amount  int64
	At      id.Instant
	State   State
	// Yield is called when the account needs the reservation back. The owner must then
	// release it soon. It is called once at most, must not block and must not use the
	// account. A reservation without it is never revoked.
	Yield func()
}

// Account is the account of one resource. It is safe for concurrent use.
type Account struct {
	limit   int64
	crowded atomic.Bool

	mu sync.Mutex
	// held is what is reserved, without what has been revoked.
	held, revoked int64
	byPurpose     [purposeCount]int64
	byClient      map[Client]int64
	// revocable holds the reservations with a callback that have not been revoked.
	revocable []*Reservation
	stats     Stats
}

// Stats counts decisions since the account was made, without those on read-ahead.
type Stats struct{ Refused, Revoked uint64 }

// New returns an account of the given size.
func New(limit int64) *Account { return &Account{limit: limit, byClient: map[Client]int64{}} }

// Limit returns the size of the account.
func (a *Account) Limit() int64 { return a.limit }

// Held returns what is reserved for the purpose, including what has been revoked and is
// not released yet.
func (a *Account) Held(purpose Purpose) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byPurpose[purpose]
}

// Total returns what is reserved for all purposes.
func (a *Account) Total() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held + a.revoked
}

// Crowded reports whether the account has no room for read-ahead.
func (a *Account) Crowded() bool {
	return a != nil && a.crowded.Load()
}

// Stats returns the counts of decisions.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stats
}

// Reserve makes a reservation, or reports that the account has no room for it. A nil
// account has room for everything and returns a nil reservation.
func (a *Account) Reserve(request Request) (*Reservation, bool) {
	if a == nil {
		return nil, true
	}
	r := &Reservation{account: a, purpose: request.Purpose, client: request.Client, yield: request.Yield, position: -1}
	r.SetState(request.State, request.At)
	a.mu.Lock()
	victims, granted := a.claim(r, request.Amount, request.At)
	if granted && request.Yield != nil {
		a.addRevocable(r)
	}
	a.mu.Unlock()
	if !granted {
		return nil, false
	}
	askToYield(victims)
	return r, true
}

func (a *Account) grow(r *Reservation, n int64, at id.Instant) bool {
	a.mu.Lock()
	if r.revoked || r.closed {
		a.mu.Unlock()
		return false
	}
	victims, granted := a.claim(r, n, at)
	a.mu.Unlock()
	askToYield(victims)
	return granted
}

func askToYield(victims []*Reservation) {
	for _, victim := range victims {
		victim.askToYield()
	}
}

// claim adds n to the reservation if there is room, or if others must yield, which it
// returns. The caller holds mu.
func (a *Account) claim(r *Reservation, n int64, at id.Instant) ([]*Reservation, bool) {
	level := a.limit * levels[r.purpose] / percent
	missing := a.held + n - level
	var victims []*Reservation
	if missing > 0 {
		if r.purpose != ReadAhead {
			victims = a.victims(r, missing, n, at)
		}
		if victims == nil {
			if r.purpose != ReadAhead {
				a.stats.Refused++
			}
			return nil, false
		}
	}
	for _, victim := range victims {
		a.revoke(victim)
	}
	r.held += n
	a.addHeld(n)
	a.byPurpose[r.purpose] += n
	a.addToClient(r.client, n)
	return victims, true
}

func (a *Account) addHeld(n int64) {
	a.held += n
	a.crowded.Store(a.held > a.limit*levels[ReadAhead]/percent)
}

func (a *Account) revoke(r *Reservation) {
	r.revoked = true
	a.forgetRevocable(r)
	a.addHeld(-r.held)
	a.revoked += r.held
	a.addToClient(r.client, -r.held)
	a.stats.Revoked++
}

// assign changes the client and the callback of a reservation.
func (a *Account) assign(r *Reservation, client Client) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.revoked || r.closed {
		return
	}
	a.addToClient(r.client, -r.held)
	r.client = client
	a.addToClient(r.client, r.held)
	a.addRevocable(r)
}

func (a *Account) addRevocable(r *Reservation) {
	if r.position < 0 {
		r.position = len(a.revocable)
		a.revocable = append(a.revocable, r)
	}
}

func (a *Account) shrink(r *Reservation, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.giveBack(r, min(n, r.held))
}

func (a *Account) release(r *Reservation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.closed = true
	a.giveBack(r, r.held)
	if !r.revoked {
		a.forgetRevocable(r)
	}
}

func (a *Account) giveBack(r *Reservation, n int64) {
	r.held -= n
	a.byPurpose[r.purpose] -= n
	if r.revoked {
		a.revoked -= n
		return
	}
	a.addHeld(-n)
	a.addToClient(r.client, -n)
}

func (a *Account) addToClient(client Client, n int64) {
	if total := a.byClient[client] + n; total != 0 {
		a.byClient[client] = total
		return
	}
	delete(a.byClient, client)
}

func (a *Account) forgetRevocable(r *Reservation) {
	if r.position < 0 {
		return
	}
	last := len(a.revocable) - 1
	moved := a.revocable[last]
	a.revocable[r.position], moved.position = moved, r.position
	a.revocable[last] = nil
	a.revocable, r.position = a.revocable[:last], -1
}
