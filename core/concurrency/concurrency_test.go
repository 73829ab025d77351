package concurrency

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"marjoramsaddle/core/id"
)

// Guards against a limit outside of its bounds and against requests that are counted
// twice or never, whatever the order of events, changes of the slots and pauses.
func TestLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := New(rapid.IntRange(-1, 20).Draw(t, "slots"))
		now := id.Instant(time.Hour)
		var running []id.Instant
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 100_000).Draw(t, "elapsed")) * time.Microsecond)
			switch event := rapid.IntRange(0, 100).Draw(t, "event"); {
			case event == 0:
				limit.SetCeiling(rapid.IntRange(0, 20).Draw(t, "ceiling"))
			case event == 1:
				now = now.Add(10 * time.Second)
				limit.Pause(now)
			case event < 60 && len(running) < limit.Value():
				limit.Begin(now)
				running = append(running, now)
			case len(running) > 0:
				i := rapid.IntRange(0, len(running)-1).Draw(t, "ended")
				limit.End(running[i], now, Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")))
				running = append(running[:i], running[i+1:]...)
			}
			if value := limit.Value(); value < 1 || value > limit.Ceiling() || limit.Settled() > limit.Ceiling() {
				t.Fatalf("limit %d, settled %d of %d", value, limit.Settled(), limit.Ceiling())
			}
			if len(limit.running) != len(running) {
				t.Fatalf("%d requests in progress, want %d", len(limit.running), len(running))
			}
		}
	})
}

// backendStub runs as many requests as the limit admits and ends each after the time
// that service returns.
type backendStub struct {
	limit   *Limit
	now     id.Instant
	running []id.Instant
	service func(running int) time.Duration
	// lowest is the lowest value of the limit so far.
	lowest int
}

// run keeps the backend server full for the given time.
func (b *backendStub) run(d time.Duration) {
	for until := b.now.Add(d); b.now.Before(until); b.now = b.now.Add(ms) {
		for i := 0; i < len(b.running); {
			if b.now.Sub(b.running[i]) < b.service(len(b.running)) {
				i++
				continue
			}
			b.limit.End(b.running[i], b.now, Served)
			b.running = append(b.running[:i], b.running[i+1:]...)
		}
		for len(b.running) < b.limit.Value() {
			started := b.now + id.Instant(len(b.running))
			b.limit.Begin(started)
			b.running = append(b.running, started)
		}
		b.lowest = min(b.lowest, b.limit.Value())
	}
}

func newStub(slots int, service func(running int) time.Duration) *backendStub {
	return &backendStub{limit: New(slots), now: id.Instant(time.Hour), service: service, lowest: slots}
}

// Guards against any step down, even for a moment, while there is no sign that service
// times depend on the load: all slots in use all the time, and then slow for 3 s.
func TestNoTrialWithoutSign(t *testing.T) {
	is := is.New(t)
	factor := time.Duration(1)
	stub := newStub(12, func(int) time.Duration { return 100 * ms * factor })
	stub.run(30 * s)
	factor = 4
	stub.run(3 * s)
	factor = 1
	stub.run(30 * s)
	is.Equal(stub.lowest, 12)
}

// slowing returns a backend server that has slowed down at full concurrency after
// requests at low concurrency.
func slowing(t *testing.T) *backendStub {
	t.Helper()
	stub := newStub(12, func(running int) time.Duration {
		return 100 * ms * time.Duration(max(6, running)*max(6, running)) / 36
	})
	for range 12 {
		stub.limit.Begin(stub.now)
		stub.limit.End(stub.now, stub.now.Add(100*ms), Served)
		stub.now = stub.now.Add(200 * ms)
	}
	return stub
}

// Guards against a limit that does not follow a backend server which slows down beyond
// half of its slots, and against one that remains low after the server has recovered.
func TestLimitFollowsSlowdownAndRecovery(t *testing.T) {
	is := is.New(t)
	stub := slowing(t)
	stub.run(20 * s)
	is.True(stub.limit.Settled() <= 9)
	stub.service = func(int) time.Duration { return 100 * ms }
	stub.run(60 * s)
	is.Equal(stub.limit.Settled(), 12)
}

// Guards against conclusions from samples that span a pause, explicit or noticed only
// by the time that has passed.
func TestPauseEndsTrial(t *testing.T) {
	for _, announced := range []bool{true, false} {
		is := is.New(t)
		stub := slowing(t)
		for stub.limit.trial == nil {
			stub.run(10 * ms)
		}
		stub.now = stub.now.Add(20 * s)
		if announced {
			stub.limit.Pause(stub.now)
			is.Equal(stub.limit.interrupted, nil)
		}
		before := stub.limit.serviceTime
		started := stub.running[0]
		stub.limit.End(started, stub.now, Served)
		stub.running = stub.running[1:]
		is.Equal(stub.limit.trial, nil)
		if announced {
			is.Equal(stub.limit.serviceTime, before)
		}
	}
}

// Guards against a limit learned under other announced slots.
func TestSetCeilingStartsAnew(t *testing.T) {
	is := is.New(t)
	stub := slowing(t)
	stub.run(20 * s)
	is.True(stub.limit.Settled() < 12)
	stub.limit.SetCeiling(12)
	is.True(stub.limit.Settled() < 12)
	stub.limit.SetCeiling(8)
	is.Equal(stub.limit.Value(), 8)
}
