// Package catchup decides when a daemon whose copy of the store is outdated asks a
// further daemon for the changes, while others that it has asked have not responded.
//
// A daemon that is asked may be dead, paused or behind a connection that went silent,
// and none of these is told from a slow response at once. If daemons were asked one
// after the other, each waiting for the end of the one before, two of them would take
// longer than a version may take to come into force. So another one is asked after a
// short silence, and the first complete response wins.
//
// # Usage
//
//	round := catchup.NewRound()
//	round.Asked("10.0.0.1:80", now)
//	if at, more := round.NextAt(); more { ... } // ask another daemon at that time
//	round.Responding("10.0.0.1:80", now)        // the header of its response arrived
//	round.Busy("10.0.0.1:80", now)              // it refused because of other transfers
//	round.Failed("10.0.0.1:80", now)            // its connection failed
package catchup

import (
	"time"

	"marjoramsaddle/core/id"
)

const (
	// maxSilence is how long daemons that were asked may all be silent before another
	// one is asked. Failure domains are a few milliseconds apart, and preparing a
	// response takes some tens on a slow host.
	maxSilence = 250 * time.Millisecond
	// maxTransfer is how long a response may take after its first byte before another
	// daemon is asked. It is longer because links are scarce: a whole copy takes up to a
	// second on a slow one.
	maxTransfer = time.Second
	// busyTime is how long a daemon is not asked again after it has refused because of
	// other transfers. A transfer of a few changes takes some milliseconds; all daemons
	// that lack the changes ask the same few that have them.
	busyTime = 50 * time.Millisecond
	// MaxPending is the number of daemons that may be asked at the same time.
	MaxPending = 4
)

// Round is one effort to get the changes from any daemon that has them. It is not safe
// for concurrent use.
type Round struct {
	// pending holds until when another daemon waits for each one asked.
	pending map[string]id.Instant
	// busy holds until when daemons that have refused are not asked again.
	busy map[string]id.Instant
	// failedAt is when a daemon last failed to deliver.
	failedAt id.Instant
}

// NewRound returns a round in which no daemon has been asked.
func NewRound() *Round {
	return &Round{pending: map[string]id.Instant{}, busy: map[string]id.Instant{}}
}

// Asked records that the daemon at the address was asked.
func (r *Round) Asked(address string, now id.Instant) {
	r.pending[address] = now.Add(maxSilence)
	r.failedAt = 0
}

// Responding records that the response of a daemon has begun.
func (r *Round) Responding(address string, now id.Instant) {
	if _, found := r.pending[address]; found {
		r.pending[address] = now.Add(maxTransfer)
	}
}

// Failed records that a daemon will not deliver the changes.
func (r *Round) Failed(address string, now id.Instant) {
	delete(r.pending, address)
	r.failedAt = now
}

// Busy records that a daemon has refused because of other transfers.
func (r *Round) Busy(address string, now id.Instant) {
	r.Failed(address, now)
	r.busy[address] = now.Add(busyTime)
}

// MayAsk reports whether the daemon may be asked: it is not pending, and has not just
// refused.
func (r *Round) MayAsk(address string, now id.Instant) bool {
	_, isPending := r.pending[address]
	return !isPending && !now.Before(r.busy[address])
}

// Pending returns the number of daemons that were asked and may still deliver.
func (r *Round) Pending() int { return len(r.pending) }

// NextAt returns when to ask another daemon, or false while as many as allowed are
// pending. After a failure that is at once, otherwise when all pending ones have been
// silent or transferring for too long.
func (r *Round) NextAt() (id.Instant, bool) {
	if len(r.pending) >= MaxPending {
		return 0, false
	}
	if r.failedAt != 0 {
		return r.failedAt, true
	}
	latest := id.Instant(0)
	for _, until := range r.pending {
		latest = max(latest, until)
	}
	return latest, true
}
