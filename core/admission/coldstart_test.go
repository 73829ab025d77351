package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
)

const coldNow = id.Instant(time.Hour)

// newColdGate returns a gate with many slots whose server tolerates ten calls per second
// for the given time.
func newColdGate(cold time.Duration) *Gate {
	gate := NewGate(20, 20)
	gate.SetColdStart(coldNow, 10, coldNow.Add(cold))
	return gate
}

// work returns work of the priority; call is set for a call of a running request.
func work(priority int, call bool, wait time.Duration) Work {
	rank := RankOf(priority)
	if call {
		rank = CallRankOf(priority)
	}
	return Work{Rank: rank, Deadline: coldNow.Add(time.Minute), QueueDeadline: coldNow.Add(wait)}
}

// Guards against calls of running requests that wait behind new requests of their
// priority, and against new requests that a cold server admits before more urgent ones.
func TestColdOrder(t *testing.T) {
	is := is.New(t)
	gate := newColdGate(time.Minute)
	arriving := []Work{
		work(2, false, 5*time.Second), work(1, false, 5*time.Second), work(1, true, 5*time.Second),
		work(0, false, 5*time.Second), work(2, true, 5*time.Second),
		{Rank: rankHealthCheck, Deadline: coldNow.Add(time.Minute), QueueDeadline: coldNow.Add(5 * time.Second)},
	}
	waiters := make([]*waiter, 0, len(arriving))
	for _, w := range arriving {
		ticket, queued, reason := gate.tryAcquireWork(coldNow, w)
		is.True(ticket == nil && queued != nil)
		is.Equal(reason, refusal.None)
		waiters = append(waiters, queued)
	}
	for i, want := range []int{5, 3, 2, 1, 4, 0} {
		at := coldNow.Add(time.Duration(i+1) * 100 * time.Millisecond)
		gate.Expire(at - 1)
		is.True(waiters[want].ticket == nil)
		gate.Expire(at)
		is.True(waiters[want].ticket != nil)
		is.Equal(waiters[want].ticket.GrantedAt, at)
	}
}

// Guards against a call that waits although the cold server can't admit it in time, also
// because of more urgent ones that come later, and against a wrong time to retry at.
func TestColdRefusals(t *testing.T) {
	is := is.New(t)
	gate := newColdGate(time.Minute)
	_, first, _ := gate.tryAcquireWork(coldNow, work(1, false, 250*time.Millisecond))
	_, second, _ := gate.tryAcquireWork(coldNow, work(1, false, 250*time.Millisecond))
	is.True(first != nil && second != nil)
	late := work(1, false, 250*time.Millisecond)
	_, _, reason := gate.tryAcquireWork(coldNow, late)
	is.Equal(reason, refusal.ServerCold)
	is.Equal(gate.retryAfter(reason, late), 300*time.Millisecond)
	_, urgent, _ := gate.tryAcquireWork(coldNow, work(1, true, 250*time.Millisecond))
	is.True(urgent != nil)
	_, refused := second.result()
	is.Equal(refused.Reason, refusal.ServerCold)
	is.Equal(refused.RetryAfter, 300*time.Millisecond)
	gate.Expire(coldNow.Add(100 * time.Millisecond))
	gate.Expire(coldNow.Add(200 * time.Millisecond))
	is.True(urgent.ticket != nil && first.ticket != nil)
	// The end of the cold time comes first.
	gate = newColdGate(50 * time.Millisecond)
	_, waiting, _ := gate.tryAcquireWork(coldNow, work(1, false, 60*time.Millisecond))
	is.True(waiting != nil)
	_, _, reason = gate.tryAcquireWork(coldNow, work(0, false, 0))
	is.Equal(gate.retryAfter(reason, work(0, false, 0)), 50*time.Millisecond)
	gate.Expire(coldNow.Add(50 * time.Millisecond))
	is.True(waiting.ticket != nil)
}

// Guards against a bucket that is filled again, or emptied, whenever the end of the cold
// time changes, and against one that is full when the server becomes cold again.
func TestColdBucketIsKept(t *testing.T) {
	is := is.New(t)
	gate := newColdGate(time.Second)
	granted := 0
	for at := coldNow; at < coldNow.Add(5*time.Second); at = at.Add(10 * time.Millisecond) {
		gate.SetColdStart(at, 20, at.Add(time.Second))
		if ticket, _, _ := gate.tryAcquireWork(at, Work{Rank: 1, Deadline: at.Add(time.Minute), QueueDeadline: at}); ticket != nil {
			ticket.Release(at)
			granted++
		}
	}
	is.True(granted >= 98 && granted <= 100)
	warm := coldNow.Add(10 * time.Second)
	ticket, _, _ := gate.tryAcquireWork(warm, Work{Deadline: warm.Add(time.Minute), QueueDeadline: warm})
	is.True(ticket != nil)
	gate.SetColdStart(warm, 10, warm.Add(time.Second))
	_, _, reason := gate.tryAcquireWork(warm, Work{Deadline: warm.Add(time.Minute), QueueDeadline: warm})
	is.Equal(reason, refusal.ServerCold)
}

// Guards against grants above the rate of a cold server in any span of time, whatever the
// order of calls and of reports on the cold time.
func TestColdRateHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gate, now := NewGate(50, 50), coldNow
		rate := rapid.Float64Range(1, 40).Draw(t, "rate")
		until := now
		// grants holds the grants of the present cold time.
		var grants []id.Instant
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond / 10)
			if !now.Before(until) {
				grants = nil
			}
			if rapid.IntRange(0, 9).Draw(t, "report") == 0 {
				until = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "left")) * time.Millisecond)
				gate.SetColdStart(now, id.RequestRate(rate), until)
			}
			ticket, _, reason := gate.tryAcquireWork(now, Work{Deadline: now.Add(time.Minute), QueueDeadline: now})
			switch {
			case ticket != nil:
				ticket.Release(now)
				grants = append(grants, now)
			case reason != refusal.ServerCold || !now.Before(until):
				t.Fatalf("refused as %v", reason)
			}
			if !now.Before(until) {
				continue
			}
			for i, first := range grants {
				if allowed := rate*now.Sub(first).Seconds() + max(1, rate*burstTime.Seconds()); float64(len(grants)-i) > allowed+1e-6 {
					t.Fatalf("%d grants in %v at a rate of %v", len(grants)-i, now.Sub(first), rate)
				}
			}
		}
	})
}
