// Package retry decides whether a failed attempt of a call is repeated.
//
// A call is repeated when another host may do better and the repeat can do no
// harm: the attempt did not run, or its route is idempotent. A call that
// carries the retry marker is itself a repeat of an earlier hop and is not
// repeated again, because repeats at each hop of a chain would multiply. The
// attempts of a call and the repeats of a service are bounded, and a repeat
// never starts at or after the deadline.
//
// Usage:
//
//	budget.First()
//	for attempt := 1; ; attempt++ {
//		refused := send(call)
//		if refused == nil {
//			return nil
//		}
//		next := retry.Decide(retry.Attempt{Number: attempt, Refused: refused, Now: now, ...}, budget)
//		if !next.Repeat {
//			count(next.Reason)
//			return refused
//		}
//		waitUntil(next.At)
//	}
package retry

import (
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
)

const (
	// MaxDepth is the greatest length of a chain of calls.
	MaxDepth = 29
	// firstWait bounds the wait before the first repeat; each further repeat
	// doubles it up to longestWait. It is short against the added latency that
	// a caller notices and long against a hop.
	firstWait   = 4 * time.Millisecond
	longestWait = 64 * time.Millisecond
	// fractionBits is the number of random bits used for the jitter.
	fractionBits = 32
)

// Attempt describes a failed attempt of a call.
type Attempt struct {
	// Number counts the attempts made, this one included.
	Number int
	// MaxAttempts is the greatest number of attempts.
	MaxAttempts int
	// Depth is the place of the call in its chain, from one.
	Depth int
	// Idempotent is set by the route.
	Idempotent bool
	// HasRetryMarker is set when the call came with the retry marker.
	HasRetryMarker bool
	Refusal        *refusal.Error
	Now            id.Instant
	Deadline       id.Instant
	// Random is any random number; it sets the jitter.
	Random uint64
}

// Decision says what follows a failed attempt.
type Decision struct {
	Repeat bool
	// At is when to repeat.
	At id.Instant
	// Reason is counted when the call is not repeated. Where no rule of this
	// package has a reason of its own, it is the reason of the attempt.
	Reason refusal.Reason
}

// CheckDepth refuses a call whose chain is too long.
func CheckDepth(depth int) *refusal.Error {
	if depth > MaxDepth {
		return refusal.New(refusal.DepthExceeded, refusal.NotRun)
	}
	return nil
}

// Decide returns whether the attempt is repeated. It takes from the budget only
// when it is.
func Decide(attempt Attempt, budget *Budget) Decision {
	at := attempt.Now.Add(wait(attempt))
	switch {
	case attempt.Refusal == nil:
		return Decision{}
	case attempt.Depth > MaxDepth:
		return Decision{Reason: refusal.DepthExceeded}
	case attempt.HasRetryMarker, attempt.Number >= attempt.MaxAttempts, !harmless(attempt), !transient(attempt.Refusal.Reason):
		return Decision{Reason: attempt.Refusal.Reason}
	case !at.Before(attempt.Deadline):
		return Decision{Reason: refusal.DeadlinePassed}
	case !budget.Take(attempt.Now):
		return Decision{Reason: refusal.RetryBudgetSpent}
	}
	return Decision{Repeat: true, At: at}
}

func harmless(attempt Attempt) bool {
	return attempt.Idempotent || attempt.Refusal.Outcome == refusal.NotRun
}

// transient reports whether another host, or the same one a little later, may
// answer differently.
func transient(reason refusal.Reason) bool {
	switch reason {
	case refusal.Leaving, refusal.QueueFull, refusal.QueueDeadline, refusal.BackendShed, refusal.Busy,
		refusal.ConnectFailed, refusal.BackendBroken, refusal.HopBroken,
		refusal.Resyncing, refusal.FloorUnknown, refusal.NoConfiguration:
		return true
	default:
		return false
	}
}

// wait draws evenly from zero to the bound of this repeat.
func wait(attempt Attempt) time.Duration {
	bound := longestWait
	if doublings := max(0, attempt.Number-1); firstWait<<min(doublings, fractionBits) < longestWait {
		bound = firstWait << doublings
	}
	return time.Duration(attempt.Random >> fractionBits * uint64(bound) >> fractionBits)
}
