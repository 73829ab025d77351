package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"
)

func init() { cases["gone"] = playGone }

const (
	// goneServes is how long a target still serves after its entry is removed: drain_s and a
	// little longer.
	goneServes = drainTime + time.Second
	// orderTime is how long an order takes, the mean of the sheet.
	orderTime = 210 * time.Millisecond
	// goneWatched is how long orders are sent after the target has ended.
	goneWatched = 4 * time.Second
)

// playGone plays a drill of the store, and after it a target that leaves without reporting
// that it drains: its entry is removed, it serves on for a while, and ends.
func playGone(record *os.File, trouble bool) verdict {
	f := newFleet(record, standardSpecs())
	f.workTime = orderTime
	defer f.close(os.Getenv("KEEP_LOGS") != "")
	f.store.put(wire["configuration"], configuration(7, "counter", "counter", "depot"))
	f.startAll()
	ctx, cancel := context.WithCancel(context.Background())
	wait := f.traffic(ctx, f.machines, http.MethodPost, "/order/", 100*time.Millisecond, 2*time.Second)
	time.Sleep(3 * time.Second)
	f.drill(trouble)
	leaving := f.machines[0].target
	leaving.mu.Lock()
	leaving.silent = true
	leaving.mu.Unlock()
	revision, acked := f.store.remove("servers/" + leaving.id)
	ack := time.Now()
	if !acked {
		cannotRun(fmt.Errorf("the store has not accepted the removal"))
	}
	f.note("target %s leaves: its entry is removed at revision %d; it serves on for %v", leaving.id, revision, goneServes)
	time.Sleep(goneServes)
	f.note("target %s ends; the store is at revision %d; its calls so far: %v", leaving.id, f.store.revision(), f.store.callCounts())
	leaving.crash()
	time.Sleep(goneWatched)
	cancel()
	wait()
	f.writeRecord()
	late, last := 0, 0.0
	ranThere := map[string]bool{}
	for _, r := range f.runs {
		if r.target != leaving.id {
			continue
		}
		if after := r.at.Sub(ack); after > drainTime {
			late++
			last = max(last, after.Seconds())
			ranThere[r.id] = true
		}
	}
	lost := 0
	for _, s := range f.sents {
		if ranThere[s.id] && s.status != http.StatusOK {
			lost++
		}
	}
	summary := fmt.Sprintf("DRAIN: %d orders reached the target later than %v after the ack that it is gone, the last %.1f s after it; %d of them were at work there when it ended, and got no answer of it",
		late, drainTime, last, lost)
	return verdict{broken: late > 0, summary: summary}
}
