// Package soak runs the daemons of the users' platform as separate processes on
// loopback, harms them from outside, and checks their promises by what clients
// and backend servers see: no order runs twice, what is refused as not run has
// not run and never will, answers are whole and belong to their request, planned
// stops cut nothing off, leaving backend servers get nothing, versions are in
// force in time, and service returns after the last fault.
//
// Connections are delayed, stalled in one or both directions, silenced or reset
// by relays before each daemon and the store; processes are paused, killed and
// stopped by signals; the store refuses and forgets; backend servers reject,
// lose answers and leave; versions come singly and in series. Faults overlap.
// The seed decides all of it but the timing of the machine.
//
// Usage:
//
//	report, err := soak.Run(ctx, soak.Options{Program: path, Folder: dir, Seed: 7, Duration: 10 * time.Second})
//	if len(report.Broken) > 0 { ... }
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"marjoramsaddle/platform/platformtest"
)

const (
	// clientsPerHost send one request after the other.
	clientsPerHost = 2
	// patience is how long a client waits.
	patience = 2 * time.Second
	// stable is how long a host must have been unharmed to count as calm, and
	// applied the time in which a version is in force; from the pages' bounds.
	stable  = 3 * time.Second
	applied = 2 * time.Second
	// recovery is the time without faults before the last requests count, and
	// afterwards how long these are sent.
	recovery  = 5 * time.Second
	afterward = 2 * time.Second
	// plannedSeeds is the distance of the seeds that have planned work only.
	plannedSeeds = 3
	// longestStep is the most time between two faults.
	longestStep = 700 * time.Millisecond
)

// Options of a soak.
type Options struct {
	// Program is the daemon's executable, Folder takes its settings and logs.
	Program, Folder string
	Seed            uint64
	// Duration is the time with faults.
	Duration time.Duration
}

// Run plays one seed.
func Run(ctx context.Context, options Options) (Report, error) {
	report := Report{Seed: options.Seed}
	w, err := newWorld(options.Program, options.Folder, options.Seed)
	if err != nil {
		return report, fmt.Errorf("prepare the soak: %w", err)
	}
	defer w.close()
	if err := w.start(ctx); err != nil {
		return report, fmt.Errorf("start the daemons; see the logs in %s: %w", options.Folder, err)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for i, h := range w.hosts {
		for j := range clientsPerHost {
			clients.Go(func() { w.client(ctx, h, fmt.Sprintf("c%d-%d", i, j)) })
		}
	}
	c := &chaos{w: w, random: rand.New(rand.NewPCG(options.Seed, 1)), began: time.Now(), plannedOnly: options.Seed%plannedSeeds == 0} //nolint:gosec // A seed has to repeat.
	c.play(ctx, options.Duration)
	calmSince := time.Now().Add(recovery)
	sleep(ctx, recovery+afterward)
	stop()
	clients.Wait()
	w.book.check(&report, calmSince)
	report.Faults = c.log
	return report, nil
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// client sends requests to the daemon of its host until the context ends.
func (w *world) client(ctx context.Context, h *host, name string) {
	targets := []string{"/lookup/", "/order/", "/moved/"}
	for i := 0; ctx.Err() == nil; i++ {
		target := targets[i%len(targets)]
		one := call{id: fmt.Sprintf("%s-%d", name, i), target: target + "x", idempotent: target != "/order/", began: time.Now()}
		method := http.MethodGet
		if !one.idempotent {
			method = http.MethodPost
		}
		if target == "/moved/" {
			one.moved = map[string]bool{}
			w.allowed(one.began, one.moved)
		}
		stoppingBefore := h.isStopping()
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), patience)
		reply, err := platformtest.Call(call, w.address(h.own, portCaller), method, one.target, one.id, patience, "")
		cancel()
		one.took, one.err = time.Since(one.began), err
		one.status, one.body, one.signed = reply.Status, []byte(reply.Body), reply.Signature != ""
		one.calm = w.calm(h, one.began)
		one.stopping = !stoppingBefore && h.isStopping()
		if one.moved != nil {
			w.allowed(time.Now(), one.moved)
			if !one.calm {
				one.moved[shop], one.moved[stock] = true, true
			}
		}
		w.book.ended(one)
		if err != nil || reply.Status != http.StatusOK {
			sleep(ctx, 20*time.Millisecond)
		}
	}
}

// allowed adds the services that a version which may be in force at the instant
// names for the route that moves.
func (w *world) allowed(at time.Time, services map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.movedTo) - 1; i >= 0; i-- {
		services[w.movedTo[i]] = true
		if at.Sub(w.acked[i]) > applied {
			return
		}
	}
}

// calm reports whether nothing has harmed any host from shortly before the
// instant until now. What harms one host may delay a request of another.
func (w *world) calm(_ *host, began time.Time) bool {
	for _, h := range w.hosts {
		h.mu.Lock()
		troubled := h.troubled
		h.mu.Unlock()
		if began.Before(troubled.Add(stable)) {
			return false
		}
	}
	return true
}
