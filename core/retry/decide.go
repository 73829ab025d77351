// Package retry decides whether a failed attempt of a call is retried, and limits the
// retries of each service.
//
// A call is retried when another host may succeed and the retry is safe: the attempt
// did not run, or its route is idempotent. A call that carries the retry marker is
// itself a retry by an earlier hop and is not retried again, because retries at each
// hop of a chain would multiply. The attempts of a call and the retries of a service
// are bounded, and a retry never starts at or after the deadline.
//
// # Usage
//
//	budget.RecordFirstAttempt()
//	for attempt := 1; ; attempt++ {
//		refused := send(call)
//		if refused == nil {
//			return nil
//		}
//		failed := retry.Attempt{Number: attempt, Refusal: refused, Now: now, ...}
//		next := retry.Decide(failed, budget)
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
	// MaxDepth is the maximum length of a chain of calls.
	MaxDepth = 29
	// baseBackoff bounds the backoff before the first retry; each further retry doubles
	// it up to maxBackoff. It is short against the added latency that a caller notices
	// and long against a hop.
	baseBackoff = 4 * time.Millisecond
	maxBackoff  = 64 * time.Millisecond
	// fractionBits is the number of random bits used for the jitter.
	fractionBits = 32
)

// Attempt describes a failed attempt of a call.
type Attempt struct {
	// Number is the number of attempts made so far, including this one.
	Number int
	// MaxAttempts is the maximum number of attempts.
	MaxAttempts int
	// Depth is the position of the call in its chain, starting at one.
	Depth int
	// Idempotent is set if the route is idempotent.
	Idempotent bool
	// HasRetryMarker is set when the call arrived with the retry marker.
	HasRetryMarker bool
	Refusal        *refusal.Error
	Now            id.Instant
	Deadline       id.Instant
	// Random is any random number; it determines the jitter.
	Random uint64
}

// Decision is what to do after a failed attempt.
type Decision struct {
	Repeat bool
	// At is when to retry.
	At id.Instant
	// Reason is the reason to count when the call is not retried. It is the reason of
	// the attempt unless a limit of this package prevents the retry.
	Reason refusal.Reason
}

// CheckDepth refuses a call whose chain is too long.
func CheckDepth(depth int) *refusal.Error {
	if depth > MaxDepth {
		return refusal.New(refusal.DepthExceeded, refusal.NotRun)
	}
	return nil
}

// Decide returns whether and when to retry the attempt. It consumes a retry from the
// budget only if the attempt is retried.
func Decide(attempt Attempt, budget *Budget) Decision {
	at := attempt.Now.Add(backoff(attempt))
	switch {
	case attempt.Refusal == nil:
		return Decision{}
	case attempt.Depth > MaxDepth:
		return Decision{Reason: refusal.DepthExceeded}
	case attempt.HasRetryMarker, attempt.Number >= attempt.MaxAttempts, !safeToRetry(attempt), !transient(attempt.Refusal.Reason):
		return Decision{Reason: attempt.Refusal.Reason}
	case !at.Before(attempt.Deadline):
		return Decision{Reason: refusal.DeadlinePassed}
	case !budget.Take(attempt.Now):
		return Decision{Reason: refusal.RetryBudgetSpent}
	}
	return Decision{Repeat: true, At: at}
}

func safeToRetry(attempt Attempt) bool {
	return attempt.Idempotent || attempt.Refusal.Outcome == refusal.NotRun
}

// transient reports whether another host, or the same one a little later, may succeed.
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

// backoff returns a duration drawn uniformly from zero to the bound of this retry.
func backoff(attempt Attempt) time.Duration {
	bound := maxBackoff
	if doublings := max(0, attempt.Number-1); baseBackoff<<min(doublings, fractionBits) < maxBackoff {
		bound = baseBackoff << doublings
	}
	return time.Duration(attempt.Random >> fractionBits * uint64(bound) >> fractionBits)
}
