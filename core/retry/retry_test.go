package retry

import (
	"testing"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against retries that execute a request twice, outlive its deadline or multiply
// along a chain, and against wrong reasons in the counters.
func TestDecide(t *testing.T) {
	const second = id.Instant(time.Second)
	tests := []struct {
		name   string
		change func(*Attempt)
		want   refusal.Reason
	}{
		{"not run", func(*Attempt) {}, refusal.None},
		{"idempotent", func(a *Attempt) { a.Idempotent, a.Refusal = true, refusal.New(refusal.HopBroken, refusal.Unknown) }, refusal.None},
		{"unknown outcome", func(a *Attempt) { a.Refusal = refusal.New(refusal.HopBroken, refusal.Unknown) }, refusal.HopBroken},
		{"ran", func(a *Attempt) { a.Refusal = refusal.New(refusal.BackendBroken, refusal.Ran) }, refusal.BackendBroken},
		{"marked", func(a *Attempt) { a.HasRetryMarker = true }, refusal.Leaving},
		{"attempts used", func(a *Attempt) { a.Number = 3 }, refusal.Leaving},
		{"not transient", func(a *Attempt) { a.Refusal = refusal.New(refusal.RecordUnavailable, refusal.NotRun) }, refusal.RecordUnavailable},
		{"deadline", func(a *Attempt) { a.Deadline = a.Now }, refusal.DeadlinePassed},
		{"wait passes the deadline", func(a *Attempt) { a.Deadline, a.Random = a.Now+1, 1<<63 }, refusal.DeadlinePassed},
		{"depth", func(a *Attempt) { a.Depth = MaxDepth + 1 }, refusal.DepthExceeded},
		{"deepest", func(a *Attempt) { a.Depth = MaxDepth }, refusal.None},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			attempt := Attempt{
				Number: 1, MaxAttempts: 3, Depth: 1, Now: second, Deadline: 2 * second,
				Refusal: refusal.New(refusal.Leaving, refusal.NotRun),
			}
			test.change(&attempt)
			decision := Decide(attempt, NewBudget(10))
			is.Equal(decision.Reason, test.want)
			is.Equal(decision.Repeat, test.want == refusal.None)
			spent := NewBudget(0)
			is.True(!Decide(attempt, spent).Repeat)
		})
	}
	is.New(t).Equal(CheckDepth(MaxDepth+1).Reason, refusal.DepthExceeded)
}

// Guards against more retries than the budget allows, whatever the sequence of calls:
// a share of first attempts plus the burst, plus one retry per second.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.IntRange(1, 20).Draw(t, "percent")
		budget, now := NewBudget(share), id.Instant(time.Hour)
		start := now
		firstAttempts, retries := 0, 0
		for range rapid.IntRange(1, 50).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 300).Draw(t, "firsts") {
				budget.RecordFirstAttempt()
				firstAttempts++
			}
			for range rapid.IntRange(0, 100).Draw(t, "retries") {
				if budget.Take(now) {
					retries++
				}
			}
			byShare := float64(firstAttempts*share)/percent + burst
			byMinimum := now.Sub(start).Seconds() + 1
			// Retries that the minimum allows also consume tokens of the share, so the
			// sum is an upper bound.
			if float64(retries) > byShare+byMinimum {
				t.Fatalf("%d retries of %d calls in %v", retries, firstAttempts, now.Sub(start))
			}
		}
	})
	busy, retries := NewBudget(10), 0
	for call := range 100_000 {
		busy.RecordFirstAttempt()
		if busy.Take(id.Instant(time.Hour).Add(time.Duration(call) * 10 * time.Millisecond)) {
			retries++
		}
	}
	// At 100 calls/s for 1,000 s, the minimum of 1/s must not add to the 10%.
	is.New(t).True(retries <= 10_000+2*burst+1)
	is.New(t).True(retries >= 10_000)
}
