package holdings

import (
	"slices"

	"marjoramsaddle/core/id"
)

// rank is the place of a reservation in the order of eviction; the lowest yields first.
type rank int

const (
	rankIdle rank = iota
	rankStalledReceiving
	rankStalledStreaming
	// rankProgressing yields only to a client that holds less.
	rankProgressing
	rankNever
)

// rankOf returns the place of a reservation in the order of eviction.
func rankOf(r *Reservation, at id.Instant) rank {
	state, stalled := r.State(), r.Stalled(at)
	switch state {
	case Idle:
		if at.Sub(id.Instant(r.movedAt.Load())) >= idleAfter {
			return rankIdle
		}
		return rankProgressing
	case Receiving:
		if stalled {
			return rankStalledReceiving
		}
		return rankProgressing
	case Streaming:
		if stalled {
			return rankStalledStreaming
		}
	case Running:
	}
	return rankNever
}

// victims returns the reservations that must yield so that at least missing becomes free
// for the newcomer, which claims n, or nil if that cannot be. The caller holds mu.
func (a *Account) victims(newcomer *Reservation, missing, n int64, at id.Instant) []*Reservation {
	var chosen []*Reservation
	var freed int64
	for freed < missing {
		if len(chosen) == maxVictims {
			return nil
		}
		next := a.worst(newcomer, n, at, chosen)
		if next == nil {
			return nil
		}
		chosen = append(chosen, next)
		freed += next.held
	}
	allowed := a.limit
	if newcomer.purpose != Connection {
		allowed = a.limit / revokedShare
	}
	if a.revoked+freed > allowed {
		// The owners of earlier ones have not released them yet.
		return nil
	}
	return chosen
}

// worst returns the reservation that must yield first, or nil if none must.
func (a *Account) worst(newcomer *Reservation, n int64, at id.Instant, chosen []*Reservation) *Reservation {
	var worst *Reservation
	worstRank := rankNever
	for _, r := range a.revocable {
		if r == newcomer || r.held == 0 {
			continue
		}
		rank := rankOf(r, at)
		switch {
		case rank == rankNever || rank > worstRank:
			continue
		case rank == rankProgressing && a.byClient[r.client]-r.held < a.byClient[newcomer.client]+n:
			// The client of the newcomer would then be the one that holds most.
			continue
		case slices.Contains(chosen, r):
			continue
		case worst == nil || rank < worstRank || a.yieldsBefore(r, worst):
			worst, worstRank = r, rank
		}
	}
	return worst
}

// yieldsBefore orders two reservations of the same rank: the one of the client that holds
// most yields first, then the one without progress for longest.
func (a *Account) yieldsBefore(r, other *Reservation) bool {
	held, otherHeld := a.byClient[r.client], a.byClient[other.client]
	if held != otherHeld {
		return held > otherHeld
	}
	return r.movedAt.Load() < other.movedAt.Load()
}
