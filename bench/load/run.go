package load

import (
	"context"
	"sync"
	"time"
)

// spinBelow is the wait under which the scheduler does not sleep, as a sleep
// of the system takes longer than that.
const spinBelow = 100 * time.Microsecond

// Run sends each call at its arrival, whether or not earlier calls have ended,
// and returns the records in the order of the calls. Calls that arrive after the
// context ends are not sent.
func Run(ctx context.Context, calls []Call, caller *Caller) []Record {
	records := make([]Record, len(calls))
	start := time.Now()
	sent := 0
	var group sync.WaitGroup
	for i, call := range calls {
		arrival := start.Add(call.At)
		if !sleepUntil(ctx, arrival) {
			break
		}
		sent++
		group.Go(func() { records[i] = caller.Do(context.WithoutCancel(ctx), call, arrival) })
	}
	group.Wait()
	return records[:sent]
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait < spinBelow {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
