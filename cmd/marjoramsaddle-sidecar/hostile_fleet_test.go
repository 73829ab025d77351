package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"marjoramsaddle/bench/process"
	"marjoramsaddle/platform/platformtest"
)

const (
	// localRoute leads to the backend server of the host whose daemon the clients use,
	// remoteRoute to that of the other host.
	localRoute  = "local"
	remoteRoute = "remote"
	// firstHostileNetwork and the others keep the addresses of the tests apart from each
	// other and from those of the stops.
	firstHostileNetwork     = 100
	firstLargestBodyNetwork = 150
	firstEndlessNetwork     = 160
	// hostileSlots is the number of slots of each backend server, that of a deployment.
	hostileSlots = 12
	// loadTime is the time after which an ordinary request is sent to the daemon. The
	// hostile clients stay until it is answered.
	loadTime       = 2500 * time.Millisecond
	sampleInterval = 50 * time.Millisecond
	// maxHeader and maxBody are the limits of the configuration, those of the deployments.
	maxHeader = 16 * kib
	maxBody   = 64 * mib
	// maxAttempts bounds how often an ordinary client sends its request, callerDelay is
	// its delay after a response that states none.
	maxAttempts = 10
	callerDelay = 200 * time.Millisecond
	// callerTimeout is the timeout of an ordinary request.
	callerTimeout = 2 * time.Second
)

// hostileFleet is two hosts, each a daemon in a process of its own and a backend server.
// All clients use the daemon of the first.
type hostileFleet struct {
	t     *testing.T
	store *platformtest.Store
	hosts []*stoppedHost
	// maxDescriptors holds the largest number of open file descriptors seen of each daemon.
	maxDescriptors []atomic.Int64
	// requestCount makes the IDs of ordinary requests differ.
	requestCount atomic.Int64
}

func startHostileFleet(t *testing.T, program string, network int, limits processLimits, timeout time.Duration) *hostileFleet {
	t.Helper()
	services := []string{solo, shop}
	f := &hostileFleet{t: t, store: platformtest.NewStore(), maxDescriptors: make([]atomic.Int64, len(services))}
	t.Cleanup(f.close)
	configuration := platformtest.Configuration("r1", services,
		platformtest.Route(localRoute, "/"+localRoute+"/", "safe", solo, timeout, 1),
		platformtest.Route(remoteRoute, "/"+remoteRoute+"/", "safe", shop, timeout, 1))
	platformtest.SetLimits(configuration, maxHeader, maxBody)
	f.store.Put(platformtest.ConfigurationKey, configuration)
	for i, service := range services {
		f.startHost(program, service, hostIP(network, i), limits)
	}
	ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
	defer cancel()
	for i, h := range f.hosts {
		if err := h.daemon.WaitReady(ctx, process.HTTPReady("http://"+hostAddress(h.ip, portReadiness)+"/ready")); err != nil {
			t.Fatal(err)
		}
		go f.followDescriptors(i)
	}
	for _, route := range []string{localRoute, remoteRoute} {
		f.checkOrdinary(route, "before the load")
	}
	return f
}

func (f *hostileFleet) startHost(program, service, ip string, limits processLimits) {
	f.t.Helper()
	i := len(f.hosts)
	h := &stoppedHost{ip: ip}
	f.hosts = append(f.hosts, h)
	var err error
	if h.backend, err = platformtest.NewBackend(fmt.Sprint("i-", i), service, hostAddress(ip, portBackend)); err != nil {
		f.t.Fatal(err)
	}
	h.backend.DiscardBodies()
	h.backend.SetHandler(func(w http.ResponseWriter, r *http.Request) { respondAsAsked(h.backend.Name, w, r) })
	domain := fmt.Sprint("domain-", i)
	h.settings = platformtest.Settings{
		Host: fmt.Sprint("host-", i), Domain: domain, IP: ip, Service: service,
		CallerAddress: hostAddress(ip, portCaller), HopAddress: hostAddress(ip, portHop), ControlAddress: hostAddress(ip, portControl),
		ReadinessAddress: hostAddress(ip, portReadiness), BackendAddress: h.backend.Address, StoreAddress: f.store.Address(),
		Seeds: []string{hostAddress(f.hosts[0].ip, portControl)}, StopGrace: routeTimeout,
		MemoryMB: limits.memoryMB, Descriptors: limits.descriptors,
	}
	h.file = filepath.Join(f.t.TempDir(), fmt.Sprint("host-", i, ".json"))
	if err := os.WriteFile(h.file, h.settings.JSON(), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.store.Put(platformtest.ServerPrefix+h.backend.Name, h.backend.Entry(domain, "ready", hostileSlots))
	if h.daemon, err = process.Start(process.Spec{
		Path: program, Args: []string{"run", "--settings", h.file, "--metrics-port", "0"}, Output: logFile(f.t, ip),
	}); err != nil {
		f.t.Fatal(err)
	}
}

// respondAsAsked responds after the time and with as many bytes as the query says.
func respondAsAsked(name string, w http.ResponseWriter, r *http.Request) {
	time.Sleep(queryTime(r, "takes_ms"))
	platformtest.Sign(w.Header(), name)
	// A request without the field gets an empty response.
	size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	// An error means that the daemon has gone.
	_, _ = w.Write(make([]byte, size))
}

func (f *hostileFleet) close() {
	for _, h := range f.hosts {
		if h.daemon != nil {
			h.daemon.Kill()
		}
		if h.backend != nil {
			h.backend.Close()
		}
	}
	f.store.Close()
}

// play runs the clients of the case, and ordinary requests during and after them.
func (f *hostileFleet) play(c hostileCase) {
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients, opened sync.WaitGroup
	for _, hostile := range c.clients {
		opened.Add(hostile.count)
		hostile.run(ctx, hostAddress(f.hosts[0].ip, portCaller), opened.Done, &clients)
	}
	opened.Wait()
	sleepUntil(ctx, time.Now().Add(loadTime))
	// Its connection is accepted after those that were opened before it.
	f.checkOrdinary(c.during, "during the load")
	for host := range f.hosts {
		f.sampleDescriptors(host)
	}
	cancel()
	clients.Wait()
	if c.end != nil {
		c.end()
	}
	for _, route := range []string{localRoute, remoteRoute} {
		f.checkOrdinary(route, "after the load")
	}
}

// checkOrdinary sends a GET as callers do: again after the time that a rejection states,
// a bounded number of times.
func (f *hostileFleet) checkOrdinary(route, when string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*maxAttempts*callerTimeout)
	defer cancel()
	var ends []string
	for range maxAttempts {
		id := fmt.Sprint("ordinary-", f.requestCount.Add(1))
		reply, err := platformtest.Call(ctx, hostAddress(f.hosts[0].ip, portCaller), http.MethodGet, "/"+route+"/", id, callerTimeout, "")
		if err == nil && reply.Status == http.StatusOK {
			f.t.Logf("ordinary request %s (%s): answered at attempt %d", when, route, 1+len(ends))
			return
		}
		ends = append(ends, fmt.Sprint(reply.Status, " ", err))
		sleepUntil(ctx, time.Now().Add(retryDelay(reply)))
	}
	f.t.Errorf("ordinary request %s (%s) is not answered: %s", when, route, strings.Join(ends, ", "))
}

// retryDelay returns how long a client waits after the response before it tries again.
func retryDelay(reply platformtest.Response) time.Duration {
	seconds, err := strconv.ParseFloat(reply.RetryAfter, 64)
	if err != nil {
		return callerDelay
	}
	return min(callerTimeout, time.Duration(seconds*float64(time.Second)))
}

// postLargestBody sends the largest body that the configuration allows.
func (f *hostileFleet) postLargestBody(route string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), longTimeout)
	defer cancel()
	const id = "largest-body"
	reply, err := platformtest.Call(ctx, hostAddress(f.hosts[0].ip, portCaller), http.MethodPost, "/"+route+"/", id, longTimeout, strings.Repeat("x", maxBody))
	if err != nil || reply.Status != http.StatusOK {
		f.t.Errorf("the largest body is answered %d, %v", reply.Status, err)
	}
	for _, h := range f.hosts {
		for _, request := range h.backend.Requests() {
			if request.ID == id && request.BodyBytes == maxBody {
				return
			}
		}
	}
	f.t.Error("no backend server has received the whole body")
}

// followDescriptors calls sampleDescriptors until the daemon's process ends.
func (f *hostileFleet) followDescriptors(host int) {
	for {
		f.sampleDescriptors(host)
		select {
		case <-f.hosts[host].daemon.Exited():
			return
		case <-time.After(sampleInterval):
		}
	}
}

// sampleDescriptors keeps the largest number of open file descriptors of a daemon.
func (f *hostileFleet) sampleDescriptors(host int) {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.hosts[host].daemon.PID()))
	if err != nil {
		// The process has ended, which checkLimits reports.
		return
	}
	for {
		most := f.maxDescriptors[host].Load()
		if int64(len(open)) <= most || f.maxDescriptors[host].CompareAndSwap(most, int64(len(open))) {
			return
		}
	}
}

// checkLimits checks that the daemons are alive and have stayed within their limits.
func (f *hostileFleet) checkLimits(c hostileCase) {
	f.t.Helper()
	for i, h := range f.hosts {
		usage, err := h.daemon.Usage()
		if err != nil {
			f.t.Errorf("host %d: %v", i, err)
			continue
		}
		peak, bound := usage.RSSPeakBytes, c.settings.memoryBound()
		f.t.Logf("host %d: peak of memory %.1f MB, bound %.1f MB", i, float64(peak)/mib, float64(bound)/mib)
		if peak > bound {
			f.t.Errorf("host %d: peak of memory %.1f MB exceeds %.1f MB", i, float64(peak)/mib, float64(bound)/mib)
		}
		open, openBound := f.maxDescriptors[i].Load(), int64(c.settings.descriptorBound())
		f.t.Logf("host %d: at most %d file descriptors, bound %d", i, open, openBound)
		if open > openBound {
			f.t.Errorf("host %d: %d file descriptors exceed %d", i, open, openBound)
		}
	}
}
