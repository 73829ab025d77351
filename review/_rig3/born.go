package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sort"
	"time"
)

func init() { cases["born"] = playBorn }

// The clock of one machine is ahead by bornJump when its target starts, and jumps back
// before the target crashes and starts again under its id.
const (
	bornJump     = 2400 * time.Millisecond
	bornFirst    = time.Second
	bornDown     = 700 * time.Millisecond
	bornLimit    = 2.0
	bornWatched  = 14 * time.Second
	limitWindow  = 4 * time.Second
	limitExcess  = 1.5
	limitSlack   = 5
	limitPassing = 500 * time.Millisecond
)

// playBorn plays a target that starts again under its id after the clock of its machine has
// jumped back, and then names a limit in all its answers.
func playBorn(record *os.File, trouble bool) verdict {
	f := newFleet(record, []spec{{"counter", "reduit"}, {"counter", "ebene"}, {"counter", "rose-hill"}, {"depot", "reduit"}})
	defer f.close(os.Getenv("KEEP_LOGS") != "")
	f.store.put("op/config", configuration(7, "counter", "counter", "depot"))
	f.startAll()
	limited := f.machines[0].target
	limited.crash()
	f.store.remove("servers/" + limited.id)
	ctx, cancel := context.WithCancel(context.Background())
	wait := f.traffic(ctx, f.machines, http.MethodGet, "/move/", 50*time.Millisecond, time.Second)
	time.Sleep(3 * time.Second)
	ahead := time.Duration(0)
	if trouble {
		ahead = bornJump
		f.note("the clock of %s is %v ahead", f.machines[0].name, ahead)
	}
	limited.id = "i-again"
	start := func(by time.Duration) {
		born := time.Now().Add(by)
		cannotRun(limited.start(born))
		f.note("target %s starts at %s, born %.3f s", limited.id, limited.address, f.since(born))
	}
	start(ahead)
	time.Sleep(bornFirst)
	limited.crash()
	f.note("target %s crashes; the clock of its machine is right", limited.id)
	time.Sleep(bornDown)
	start(0)
	time.Sleep(2 * time.Second)
	limited.mu.Lock()
	limited.limit = fmt.Sprint(bornLimit)
	limited.mu.Unlock()
	named := time.Now()
	f.note("target %s names Server-Limit: %v in all its answers from now on", limited.id, bornLimit)
	time.Sleep(bornWatched)
	cancel()
	wait()
	f.writeRecord()
	// passed holds when each machine first passed on an answer with the limit.
	passed, senders := map[string]time.Time{}, map[string]string{}
	for _, s := range f.sents {
		senders[s.id] = s.machine
		if at, found := passed[s.machine]; s.limited && (!found || s.ended.Before(at)) {
			passed[s.machine] = s.ended
		}
	}
	var counted []time.Time
	for _, r := range f.runs {
		at, found := passed[senders[r.id]]
		if r.target == limited.id && r.at.Sub(named) > stableWindow && found && r.at.Sub(at) >= limitPassing {
			counted = append(counted, r.at)
		}
	}
	sort.Slice(counted, func(i, j int) bool { return counted[i].Before(counted[j]) })
	most := 0
	for i := range counted {
		n := sort.Search(len(counted), func(j int) bool { return counted[j].Sub(counted[i]) > limitWindow }) - i
		most = max(most, n)
	}
	allowed := limitExcess*bornLimit*limitWindow.Seconds() + limitSlack
	summary := fmt.Sprintf("LIMIT: from %v after it named %v requests a second, the target got %d in the worst 4 s, summed over the %d machines that had passed on such an answer; allowed are %.0f",
		stableWindow, bornLimit, most, len(passed), allowed)
	return verdict{broken: float64(most) > allowed, summary: summary}
}
