package load

import (
	"context"
	"runtime"
	"sync"
	"syscall"
	"time"
)

const (
	// timerError is the wait that a timer of the runtime can exceed: an idle
	// process waits in whole milliseconds. Nanosleep ends within 0.1 ms.
	timerError = 2 * time.Millisecond
	// spinBelow is the wait under which nothing sleeps, as a sleep of the system
	// takes longer than that.
	spinBelow = 100 * time.Microsecond
)

// Run sends each call at its arrival, whether or not earlier calls have ended,
// and returns the records in the order of the calls. Calls that arrive after the
// context ends are not sent.
func Run(ctx context.Context, calls []Call, caller *Caller) []Record {
	records := make([]Record, len(calls))
	start := time.Now()
	sent := 0
	var group sync.WaitGroup
	// A thread of its own is not delayed by the goroutines of earlier calls.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
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
	if wait := time.Until(at) - timerError; wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	if wait := time.Until(at); wait >= spinBelow {
		span := syscall.NsecToTimespec(int64(wait))
		// An interrupted sleep only sends the call early.
		_ = syscall.Nanosleep(&span, nil)
	}
	return ctx.Err() == nil
}
