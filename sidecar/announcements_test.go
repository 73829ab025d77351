package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/platform/platformtest"
)

const (
	// announcedLimit is the limit of these tests in requests per second, as text in
	// limitHeader.
	announcedLimit = 5.0
	limitHeader    = "5"
	// limitWindow and maxLimitedArrivals are the platform's bound: at most one and a
	// half times the limit in any four seconds, and five requests more.
	limitWindow        = 4 * time.Second
	maxLimitedArrivals = 5 + int(1.5*announcedLimit*4)
	// drainTime is the platform's bound for requests to a server that is leaving.
	drainTime = 2 * time.Second
	// manySlots lets many requests arrive before the first response.
	manySlots = 100
	// clientsPerDaemon keep the limited server busy if nothing bounds its requests.
	clientsPerDaemon = 30
)

// load sends requests to the daemons of the hosts without a pause until the returned
// function is called. It returns after all requests have ended. The IDs start with the
// name of the load and the address of the first daemon.
func (f *fleet) load(name string, hosts ...*host) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, h := range hosts {
		for client := range clientsPerDaemon {
			clients.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					requestID := fmt.Sprintf("%s-%s-%d-%d", name, h.ip, client, i)
					reply, err := platformtest.Call(context.Background(), f.address(h.ip, 0), http.MethodGet, "/stock/1", requestID, clientTimeout, "")
					if err != nil || reply.Status != http.StatusOK {
						time.Sleep(20 * time.Millisecond)
					}
				}
			})
		}
	}
	return func() {
		cancel()
		clients.Wait()
	}
}

// arrivals returns the number of requests of the named load that arrived at the host's
// backend server within the window.
func arrivals(h *host, name string, from time.Time, window time.Duration) int {
	count := 0
	for _, request := range h.backend.Requests() {
		if strings.HasPrefix(request.ID, name) && !request.At.Before(from) && request.At.Before(from.Add(window)) {
			count++
		}
	}
	return count
}

// respondAfter makes the host's backend server respond after the given time.
func respondAfter(h *host, delay time.Duration) {
	h.backend.SetHandler(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(delay)
		h.backend.Respond(w)
	})
}

// serveWithManySlots starts all hosts with manySlots slots at each backend server.
func (f *fleet) serveWithManySlots() {
	f.t.Helper()
	f.startServing()
	for _, h := range f.hosts {
		f.store.Put(platformtest.ServerPrefix+h.backend.Name, h.backend.Entry("reduit", "ready", manySlots))
		respondAfter(h, 50*time.Millisecond)
	}
}

// callUntilServedBy calls through a daemon until the backend server of the target has
// responded.
func (f *fleet) callUntilServedBy(through, target *host) {
	f.t.Helper()
	calls := 0
	f.eventually(func() bool {
		calls++
		reply := f.call(through, http.MethodGet, "/stock/1", fmt.Sprintf("warm-%s-%d", through.ip, calls))
		return reply.Body == "answer of "+target.backend.Name
	})
}

// Guards against daemons that together send a backend server more requests than the
// limit that it announces.
func TestServerLimitIsKept(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "counter", "counter")
	f.serveWithManySlots()
	limited := f.hosts[0]
	limited.backend.Announce(limitHeader, false)
	for _, h := range f.hosts {
		f.callUntilServedBy(h, limited)
	}
	from := time.Now()
	stop := f.load("load", f.hosts...)
	time.Sleep(limitWindow)
	stop()
	is.True(arrivals(limited, "load", from, limitWindow) > 0)
	is.True(arrivals(limited, "load", from, limitWindow) <= maxLimitedArrivals)
}

// Guards against a limit that the daemon beside the backend server forgets when it
// restarts, while the other daemons still know it.
func TestServerLimitSurvivesDaemonRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "counter", "counter")
	f.serveWithManySlots()
	limited, other := f.hosts[0], f.hosts[1]
	limited.backend.Announce(limitHeader, false)
	f.callUntilServedBy(other, limited)
	limited.stop()
	is.NoErr(<-limited.done)
	// No response tells the restarted daemon of the limit within the window.
	respondAfter(limited, clientTimeout)
	other.backend.SetHandler(platformtest.Shed)
	f.start(limited)
	f.eventually(func() bool { return f.ready(limited) })
	from := time.Now()
	stop := f.load("load", other)
	time.Sleep(limitWindow)
	stop()
	is.True(arrivals(limited, "load", from, limitWindow) > 0)
	is.True(arrivals(limited, "load", from, limitWindow) <= maxLimitedArrivals)
}

// Guards against requests to a backend server that announces in its responses that it
// is leaving, while the platform's list says that it is ready.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "counter", "counter", "depot")
	f.serveWithManySlots()
	leaving := f.hosts[0]
	leaving.backend.Announce("", true)
	// After this response the server serves no daemon, so the others cannot get one.
	f.callUntilServedBy(f.hosts[1], leaving)
	time.Sleep(drainTime)
	from := time.Now()
	stop := f.load("load", f.hosts...)
	time.Sleep(time.Second)
	stop()
	is.Equal(arrivals(leaving, "load", from, time.Minute), 0)
}

// Guards against a backend server that has announced that it is leaving being used
// again after its entry lapsed and returned, and after the daemon beside it restarted.
func TestLeavingServerIsNotUsedAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "counter", "counter")
	f.serveWithManySlots()
	leaving, other := f.hosts[0], f.hosts[1]
	leaving.backend.Announce("", true)
	f.callUntilServedBy(other, leaving)
	f.store.Delete(platformtest.ServerPrefix + leaving.backend.Name)
	f.eventually(func() bool { return len(other.listedServers()) == 1 })
	leaving.stop()
	is.NoErr(<-leaving.done)
	f.start(leaving)
	f.eventually(func() bool { return f.ready(leaving) })
	f.putServer(leaving, "ready")
	f.eventually(func() bool { return len(other.listedServers()) == 2 })
	time.Sleep(drainTime)
	from := time.Now()
	stop := f.load("load", other)
	time.Sleep(time.Second)
	stop()
	is.Equal(arrivals(leaving, "load", from, time.Minute), 0)
}
