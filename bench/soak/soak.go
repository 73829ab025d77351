// Package soak runs the daemons of the users' platform as separate processes on
// loopback, injects faults from outside, and checks the daemons' guarantees by what
// clients and backend servers observe:
//
//   - No order runs twice.
//   - A request rejected as not run has not run and never will.
//   - Responses are complete and belong to their request.
//   - Planned stops abort no request, whether a client, another daemon or a backend server
//     has sent it, and break off no work in progress.
//   - Draining backend servers receive no requests, whether the store or their own
//     responses say so.
//   - The backend servers of evacuated failure domains receive no requests.
//   - Backend servers receive no more requests than the limit that they announce.
//   - Versions take effect in time at each host in touch, and never go back.
//   - Requests are served again after the last fault.
//
// Relays in front of each daemon and the store delay, stall (in one or both
// directions), silence or reset connections, or drop the beacons between a failure domain
// and the others. Signals pause, kill and stop processes.
// The store refuses requests, loses its history, and comes back from a copy. Backend servers reject requests,
// lose responses, announce limits and drain. Failure domains are evacuated. Versions are
// published singly and in series, and daemons are stopped singly and one after the other.
// Faults overlap. Half of the clients keep their connections until the daemon closes them.
// The seed determines everything except the timing of the machine.
//
// A run for versions publishes versions all the time, each of which adds a route, drops
// another and moves a third. Its faults are those that may delay a version, and clients
// probe the routes that have just been added or dropped.
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
	// IdleRoutes is the number of routes in each configuration that no client uses.
	IdleRoutes int
	// Versions publishes versions all the time and only injects faults that may delay a
	// version. Each host is probed for routes that versions have just added or dropped.
	Versions bool
	// Drills adds drills, in which the store comes back from a copy, to the faults.
	Drills bool
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
		if options.Versions {
			clients.Go(func() { w.probeVersions(ctx, h, options.Seed) })
			continue
		}
		for _, keepsConnection := range []bool{true, false} {
			clients.Go(func() { w.longClient(ctx, h, keepsConnection) })
		}
		clients.Go(func() { w.pipeliningClient(ctx, h) })
	}
	if options.Versions {
		clients.Go(func() { w.publishVersions(ctx, options.Seed) })
	}
	c := &faultInjector{w: w, random: rand.New(rand.NewPCG(options.Seed, 1)), began: time.Now(), plannedOnly: !options.Versions && options.Seed%plannedSeedInterval == 0, faults: faultsOf(&options)} //nolint:gosec // Runs of a seed must be reproducible.
	if options.Versions {
		c.fleetInterval = versionFleetInterval
	}
	c.injectFaults(ctx, options.Duration)
	recoveredBy := time.Now().Add(recoveryTime)
	sleep(ctx, recoveryTime+finalCallsTime)
	stop()
	clients.Wait()
	if err := w.relayError.Load(); err != nil {
		return report, fmt.Errorf("a relay could not forward a connection, so what clients saw says nothing of the daemons; use fewer hosts: %w", *err)
	}
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
	sender := w.newSender(h, keepsConnection)
	defer sender.close()
	pause := time.Duration(0)
	if len(w.hosts) > len(services) {
		pause = time.Second * time.Duration(clientsPerHost*len(w.hosts)) / maxCallRate
	}
	for i := 0; ctx.Err() == nil; i++ {
		target := targets[i%len(targets)]
		one := call{id: requestID(h.name, keepsConnection, i), target: target + "x", idempotent: target != "/order/", timeout: requestTimeout}
		method := http.MethodGet
		if !one.idempotent {
			method = http.MethodPost
		}
		w.observe(h, &one, requestTimeout, sender, method)
		if target == "/moved/" {
			one.moved = w.versions.services(w.versions.inForce(one.began, applyDeadline))
			if !one.undisturbed {
				one.moved[shop], one.moved[stock] = true, true
			}
		}
		w.recorder.recordCall(one)
		if one.err != nil || one.status != http.StatusOK {
			sleep(ctx, 20*time.Millisecond)
		}
		sleep(ctx, pause)
	}
}

const (
	// probeInterval is the time between two probes of a host.
	probeInterval = 60 * time.Millisecond
	// minPublishInterval and maxPublishInterval limit the time between two versions.
	minPublishInterval = 50 * time.Millisecond
	maxPublishInterval = 900 * time.Millisecond
	// quietInterval is a time without a version in which connections between the daemons
	// stay idle. One in quietShare intervals lasts that long.
	quietInterval = settleTime + time.Second
	quietShare    = 8
)

// publishVersions publishes versions at random intervals until the context ends, in
// series with quiet times between them.
func (w *world) publishVersions(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // Runs of a seed must be reproducible.
	for ctx.Err() == nil {
		interval := minPublishInterval + time.Duration(random.Int64N(int64(maxPublishInterval-minPublishInterval)))
		if random.IntN(quietShare) == 0 {
			interval = quietInterval
		}
		sleep(ctx, interval)
		w.publish()
	}
}

// probeVersions sends requests on routes that versions have just added or dropped.
func (w *world) probeVersions(ctx context.Context, h *host, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(hashID(h.name)))) //nolint:gosec // Runs of a seed must be reproducible.
	for i := 0; ctx.Err() == nil; i++ {
		route := w.versions.randomProbe(random)
		one := call{
			id: fmt.Sprintf("%s.probe-%d", h.name, i), target: route.prefix() + "x", idempotent: true, began: time.Now(), probe: route,
		}
		boot := h.shown.currentBoot()
		callContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		reply, err := platformtest.Call(callContext, w.address(h.localIP, portCaller), http.MethodGet, one.target, one.id, requestTimeout, "")
		cancel()
		one.duration, one.err = time.Since(one.began), err
		one.status, one.body, one.signed = reply.Status, []byte(reply.Body), reply.Signature != ""
		one.versions = w.versions.inForce(one.began, w.applyBound(one.began))
		one.inTouch = !h.touch.within(one.began)
		if of := one.outcome(w.recorder.executed(one.id)); of != unclear {
			one.delay = w.versions.delay(route.newestAllowing(of, one.versions.newest), one.began)
		}
		one.shown = h.shown.shownBefore(one.began, boot)
		if err == nil && reply.Status == http.StatusOK {
			h.shown.record(route, time.Now(), boot)
		}
		w.recorder.known.record(h.name, &reply, time.Now())
		w.recorder.recordCall(one)
		sleep(ctx, probeInterval)
	}
}

// requestID returns the ID of a client's request, which starts with the name of the
// client's host.
func requestID(host string, keepsConnection bool, number int) string {
	return fmt.Sprintf("%s.%t-%d", host, keepsConnection, number)
}

// hostOfRequest returns the host at which the request or call began.
func hostOfRequest(id string) string {
	if _, caller, isCall := strings.Cut(id, callMark); isCall {
		return caller
	}
	host, _, _ := strings.Cut(id, ".")
	return host
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
