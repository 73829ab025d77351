package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"marjoramsaddle/core/announcement"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
)

// limitScript runs the commands of testdata/limit.txt on one gate. The argument at is
// in milliseconds.
type limitScript struct {
	gate    *Gate
	waiting []*waiter
}

func (s *limitScript) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	var milliseconds int64
	d.ScanArgs(t, "at", &milliseconds)
	now := id.Instant(0).Add(time.Duration(milliseconds) * time.Millisecond)
	switch d.Cmd {
	case "gate":
		slots := 0
		d.ScanArgs(t, "slots", &slots)
		s.gate, s.waiting = NewGate(slots, slots), nil
	case "limit":
		limit := announcement.Limit{}
		if d.HasArg("rate") {
			limit.Announced = true
			var rate int
			d.ScanArgs(t, "rate", &rate)
			limit.Rate = announcement.RequestRate(rate)
		}
		s.gate.SetLimit(now, limit)
	case "call":
		return s.call(t, d, now)
	case "expire":
		s.gate.Expire(now)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return s.ended()
}

// call makes the given number of calls that may wait for the given time, and returns
// how they end.
func (s *limitScript) call(t *testing.T, d *datadriven.TestData, now id.Instant) string {
	t.Helper()
	count, wait := 1, int64(0)
	d.MaybeScanArgs(t, "count", &count)
	d.MaybeScanArgs(t, "wait", &wait)
	var results []string
	for range count {
		ticket, queued, reason := s.gate.tryAcquireRank(now, 0, now.Add(time.Minute), now.Add(time.Duration(wait)*time.Millisecond))
		switch {
		case ticket != nil:
			ticket.Release(now)
			results = append(results, "granted")
		case queued != nil:
			s.waiting = append(s.waiting, queued)
			results = append(results, "queued")
		default:
			results = append(results, reason.String())
		}
	}
	return strings.Join(results, " ") + "\n"
}

// ended returns how the queued calls have ended since the previous command.
func (s *limitScript) ended() string {
	var results []string
	remaining := s.waiting[:0]
	for _, w := range s.waiting {
		select {
		case <-w.done:
			if w.ticket != nil {
				w.ticket.Release(w.ticket.GrantedAt)
				results = append(results, fmt.Sprintf("granted at %v", w.ticket.GrantedAt.Sub(0)))
			} else {
				results = append(results, w.reason.String())
			}
		default:
			remaining = append(remaining, w)
		}
	}
	s.waiting = remaining
	return strings.Join(append(results, fmt.Sprintf("queued %d", len(remaining))), "\n") + "\n"
}

// Guards against more requests than a limit allows, and against calls that wait for a
// limit although it will not admit them in time.
func TestLimit(t *testing.T) {
	script := &limitScript{}
	datadriven.RunTest(t, "testdata/limit.txt", script.run)
}

// Guards against grants above the limit in any span of time, whatever the order of
// calls, changes of the limit and pauses.
func TestLimitHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gate := NewGate(50, 50)
		rate := announcement.RequestRate(rapid.Float64Range(0, 200).Draw(t, "rate"))
		now := id.Instant(0)
		gate.SetLimit(now, announcement.Limit{Announced: true, Rate: rate})
		var grants []id.Instant
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond / 10)
			if ticket, _, reason := gate.tryAcquireRank(now, 0, now.Add(time.Minute), now); ticket != nil {
				grants = append(grants, now)
				ticket.Release(now)
			} else if reason != refusal.ServerLimited {
				t.Fatalf("refused as %v", reason)
			}
		}
		applied := max(float64(rate), float64(minRate))
		for first := range grants {
			for last := first; last < len(grants); last++ {
				span := grants[last].Sub(grants[first]).Seconds()
				if allowed := applied*span + max(1, applied*burstTime.Seconds()); float64(last-first+1) > allowed+1e-6 {
					t.Fatalf("%d grants in %v s at a limit of %v", last-first+1, span, rate)
				}
			}
		}
	})
}
