// Package soak runs the daemons of the users' platform as separate processes on
// loopback, injects faults from outside, and checks the daemons' guarantees by what
// clients and backend servers observe:
//
//   - No order runs twice.
//   - A request rejected as not run has not run and never will.
//   - Responses are complete and belong to their request.
//   - Planned stops abort no request.
//   - Draining backend servers receive no requests, whether the store or their own
//     responses say so.
//   - Backend servers receive no more requests than the limit that they announce.
//   - Versions take effect in time.
//   - Requests are served again after the last fault.
//
// Relays in front of each daemon and the store delay, stall (in one or both
// directions), silence or reset connections. Signals pause, kill and stop processes.
// The store refuses requests and loses its history. Backend servers reject requests,
// lose responses, announce limits and drain. Versions are published singly and in
// series, and daemons are stopped singly and one after the other. Faults overlap. Half
// of the clients keep their connections until the daemon closes them. The seed determines everything except the timing of the machine.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Program: path, Folder: dir, Seed: 7, Duration: 10 * time.Second})
//	if len(report.Broken) > 0 { ... }
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"marjoramsaddle/platform/platformtest"
)

const (
	// clientsPerHost is the number of clients, each of which sends its requests one
	// after the other.
	clientsPerHost = 2
	// requestTimeout is how long a client waits for a response.
	requestTimeout = 2 * time.Second
	// settleTime is how long a host must have been without unplanned faults to count as
	// undisturbed, and applyDeadline the time within which a version takes effect. Both
	// are documented bounds.
	settleTime    = 3 * time.Second
	applyDeadline = 2 * time.Second
	// recoveryTime is the time without faults after which requests count as late, and
	// finalCallsTime is how long late requests are sent.
	recoveryTime   = 5 * time.Second
	finalCallsTime = 2 * time.Second
	// maxCallRate limits the calls per second of all clients in large fleets, so that
	// the machine is not the bottleneck.
	maxCallRate = 600
	// plannedSeedInterval: seeds that are multiples of it have planned faults only.
	plannedSeedInterval = 3
	// maxFaultInterval is the maximum time between the starts of two faults.
	maxFaultInterval = 700 * time.Millisecond
)

// Options configures the run of one seed.
type Options struct {
	// Program is the path of the daemon's executable. Folder receives the daemons'
	// settings and logs.
	Program, Folder string
	Seed            uint64
	// Hosts is the number of hosts, at least six.
	Hosts int
	// Duration is how long faults are injected.
	Duration time.Duration
}

// Run starts a fleet, injects the faults of one seed and checks the guarantees.
func Run(ctx context.Context, options Options) (Report, error) {
	report := Report{Seed: options.Seed}
	w, err := newWorld(&options)
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
	for _, h := range w.hosts {
		for j := range clientsPerHost {
			clients.Go(func() { w.client(ctx, h, j%2 == 0) })
		}
	}
	c := &faultInjector{w: w, random: rand.New(rand.NewPCG(options.Seed, 1)), began: time.Now(), plannedOnly: options.Seed%plannedSeedInterval == 0} //nolint:gosec // Runs of a seed must be reproducible.
	c.injectFaults(ctx, options.Duration)
	recoveredBy := time.Now().Add(recoveryTime)
	sleep(ctx, recoveryTime+finalCallsTime)
	stop()
	clients.Wait()
	w.recorder.checkGuarantees(&report, recoveredBy)
	report.Faults = c.log
	return report, nil
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// client sends requests to a host's daemon until the context ends, on one connection if
// keepsConnection is set.
func (w *world) client(ctx context.Context, h *host, keepsConnection bool) {
	targets := []string{"/lookup/", "/order/", "/moved/"}
	kept := platformtest.NewClient(w.address(h.localIP, portCaller))
	defer kept.Close()
	pause := time.Duration(0)
	if len(w.hosts) > len(services) {
		pause = time.Second * time.Duration(clientsPerHost*len(w.hosts)) / maxCallRate
	}
	for i := 0; ctx.Err() == nil; i++ {
		target := targets[i%len(targets)]
		one := call{id: requestID(h.name, keepsConnection, i), target: target + "x", idempotent: target != "/order/", began: time.Now()}
		method := http.MethodGet
		if !one.idempotent {
			method = http.MethodPost
		}
		if target == "/moved/" {
			one.moved = map[string]bool{}
			w.addAllowedServices(one.began, one.moved)
		}
		stoppingBefore := h.isStopping()
		callContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		var reply platformtest.Response
		var err error
		if keepsConnection {
			reply, one.reused, err = kept.Call(callContext, method, one.target, one.id, requestTimeout)
		} else {
			reply, err = platformtest.Call(callContext, w.address(h.localIP, portCaller), method, one.target, one.id, requestTimeout, "")
		}
		cancel()
		w.recorder.known.record(h.name, &reply, time.Now())
		one.duration, one.err = time.Since(one.began), err
		one.status, one.body, one.signed = reply.Status, []byte(reply.Body), reply.Signature != ""
		one.undisturbed = w.undisturbed(h, one.began)
		one.stopping, one.duringStop = !stoppingBefore && h.isStopping(), stoppingBefore
		if one.moved != nil {
			w.addAllowedServices(time.Now(), one.moved)
			if !one.undisturbed {
				one.moved[shop], one.moved[stock] = true, true
			}
		}
		w.recorder.recordCall(one)
		if err != nil || reply.Status != http.StatusOK {
			sleep(ctx, 20*time.Millisecond)
		}
		sleep(ctx, pause)
	}
}

// requestID returns the ID of a client's request, which starts with the name of the
// client's host.
func requestID(host string, keepsConnection bool, number int) string {
	return fmt.Sprintf("%s.%t-%d", host, keepsConnection, number)
}

// hostOfRequest returns the host at which the request began.
func hostOfRequest(id string) string {
	host, _, _ := strings.Cut(id, ".")
	return host
}

// addAllowedServices adds the services to which the moving route leads in any version
// that may be in effect at the given time.
func (w *world) addAllowedServices(at time.Time, services map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.movedTo) - 1; i >= 0; i-- {
		services[w.movedTo[i]] = true
		if at.Sub(w.ackedAt[i]) > applyDeadline {
			return
		}
	}
}

// undisturbed reports whether no unplanned fault affected any host from settleTime
// before began until now. A fault of one host may delay a request of another.
func (w *world) undisturbed(_ *host, began time.Time) bool {
	for _, h := range w.hosts {
		h.mu.Lock()
		disturbedUntil := h.disturbedUntil
		h.mu.Unlock()
		if began.Before(disturbedUntil.Add(settleTime)) {
			return false
		}
	}
	return true
}
