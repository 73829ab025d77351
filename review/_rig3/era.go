package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"
)

func init() { cases["era"] = playEra }

// The times of the drill, after the fleet is ready.
const (
	// eraCopyAge is how old the copy is from which the store comes back.
	eraCopyAge = 10 * time.Second
	// eraAway is how long the store is away.
	eraAway = time.Second
	// eraWatched is how long after the ack of the configuration requests are sent.
	eraWatched = 12 * time.Second
)

// The timeouts of the routes of downloads.
const (
	pullTimeout      = 2 * time.Second
	catalogueTimeout = 800 * time.Millisecond
)

// configuration returns a configuration whose route /move/ leads to the service.
func configuration(version int, service string, services ...string) map[string]any {
	resources := []any{
		map[string]any{"resource_type": "routes", "metadata": map[string]any{"name": "catalogue"}, "spec": map[string]any{
			"host": hostName, "prefix": "/catalogue/", wire["kind"]: "download", "service": service, "timeout_s": catalogueTimeout.Seconds(), "aim_s": 0.4, "priority": 2, "max_attempts": 2,
		}},
		map[string]any{"resource_type": "routes", "metadata": map[string]any{"name": "order"}, "spec": map[string]any{
			"host": hostName, "prefix": "/order/", wire["kind"]: "unsafe", "service": service, "timeout_s": 1.0, "aim_s": 0.5, "priority": 1, "max_attempts": 2,
		}},
		map[string]any{"resource_type": "routes", "metadata": map[string]any{"name": "pull"}, "spec": map[string]any{
			"host": hostName, "prefix": "/pull/", wire["kind"]: "download", "service": service, "timeout_s": pullTimeout.Seconds(), "aim_s": 1.0, "priority": 2, "max_attempts": 2,
		}},
		map[string]any{"resource_type": "routes", "metadata": map[string]any{"name": "move"}, "spec": map[string]any{
			"host": hostName, "prefix": "/move/", wire["kind"]: "safe", "service": service, "timeout_s": 1.0, "aim_s": 0.5, "priority": 1, "max_attempts": 2,
		}},
		map[string]any{"resource_type": "limits", "metadata": map[string]any{"name": "limits"}, "spec": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 5.0, "idle_timeout_s": 30.0,
		}},
	}
	for _, name := range services {
		resources = append(resources, map[string]any{"resource_type": "services", "metadata": map[string]any{"name": name}, "spec": map[string]any{
			"max_connections": 130, wire["health"]: "/health",
		}})
	}
	return map[string]any{"version": fmt.Sprintf("r%d", version), "resources": resources}
}

// standardSpecs are the machines of a small deployment: ten targets of one service and three
// of another, in three zones.
func standardSpecs() []spec {
	zones := []string{"reduit", "ebene", "rose-hill"}
	var specs []spec
	for i := range 13 {
		service := "counter"
		if i >= 10 {
			service = "depot"
		}
		specs = append(specs, spec{service, zones[i%3]})
	}
	return specs
}

// playEra plays a drill of the store, and a configuration after it.
func playEra(record *os.File, trouble bool) verdict {
	f := newFleet(record, standardSpecs())
	defer f.close(os.Getenv("KEEP_LOGS") != "")
	f.store.put(wire["configuration"], configuration(7, "counter", "counter", "depot"))
	f.startAll()
	f.note("all daemons are ready; configuration r7 sends /move/ to counter")
	ctx, cancel := context.WithCancel(context.Background())
	wait := f.traffic(ctx, f.machines, http.MethodGet, "/move/", 200*time.Millisecond, time.Second)
	time.Sleep(3 * time.Second)
	f.drill(trouble)
	revision, acked := f.store.put(wire["configuration"], configuration(8, "depot", "counter", "depot"))
	ack := time.Now()
	if !acked {
		cannotRun(fmt.Errorf("the store has not accepted the configuration"))
	}
	f.note("configuration r8, which sends /move/ to depot, is acknowledged at revision %d", revision)
	for range 4 {
		time.Sleep(eraWatched / 4)
		f.note("the store is at revision %d; its calls so far: %v", f.store.revision(), f.store.callCounts())
	}
	cancel()
	wait()
	f.writeRecord()
	late, lateRuns, machines, lastLate := 0, 0, map[string]bool{}, 0.0
	runs := f.runsOf()
	for _, s := range f.sents {
		after := s.at.Sub(ack)
		if after <= configApply {
			continue
		}
		late++
		for _, r := range runs[s.id] {
			if r.service == "counter" {
				lateRuns++
				machines[s.machine] = true
				lastLate = max(lastLate, after.Seconds())
			}
		}
	}
	summary := fmt.Sprintf("CONFIG: of %d requests sent later than %v after the ack of r8, %d were run by the old service, from %d of %d machines, the last sent %.1f s after the ack",
		late, configApply, lateRuns, len(machines), len(f.machines), lastLate)
	return verdict{broken: lateRuns > 0, summary: summary}
}

// drill plays a drill of the store, if there is to be one, and waits until the core is
// stable again.
func (f *fleet) drill(trouble bool) {
	saved := f.store.copyNow()
	f.note("the copy of the store is made at revision %d", saved.revision)
	time.Sleep(eraCopyAge - eraAway)
	if trouble {
		f.note("the store is away at revision %d", f.store.revision())
		f.store.leave()
		time.Sleep(eraAway)
		f.store.comeBack(&saved)
		f.note("the store is back from the copy, at revision %d, with the next era", f.store.revision())
	} else {
		time.Sleep(eraAway)
	}
	time.Sleep(stableWindow + 200*time.Millisecond)
}
