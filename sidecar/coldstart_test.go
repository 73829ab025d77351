package sidecar

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"marjoramsaddle/core/mirror"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/platform/platformtest"
)

const (
	// coldTime, coldRate and maxColdArrivals are a deployment's cold time, the requests
	// per second that its cold backend servers tolerate, and the platform's bound for any
	// one second.
	coldTime        = 3 * time.Second
	coldRate        = 11
	maxColdArrivals = 24
	// entryInterval is how often the stand-ins of these tests rewrite their entries, and
	// entryDelay how much later than it was written an entry reaches the store.
	entryInterval = 1500 * time.Millisecond
	entryDelay    = 500 * time.Millisecond
	coldSlots     = 6
)

// serveWithColdStart starts all hosts with a limited rate for cold backend servers, whose
// requests take 50 ms.
func (f *fleet) serveWithColdStart() {
	f.t.Helper()
	f.startServing()
	f.store.Put(platformtest.ConfigurationKey, platformtest.WithColdStart(
		platformtest.Configuration("r2", []string{"counter", "depot"}, f.routes("counter")...), coldTime, coldRate))
	for _, h := range f.hosts {
		respondAfter(h, 50*time.Millisecond)
		f.putColdEntry(h)
	}
	f.eventuallyEverywhere(func(h *host) bool { return h.daemon.table.Load().Version == 2 })
	f.eventuallyEverywhere(func(h *host) bool { return h.daemon.coldWatch.left() == 0 })
}

func (f *fleet) putColdEntry(h *host) {
	f.store.Put(platformtest.ServerPrefix+h.backend.Name, h.backend.Entry("reduit", "ready", coldSlots))
}

// writeEntries rewrites the entry of the host's backend server until the returned
// function is called. Each entry reaches the store late.
func (f *fleet) writeEntries(h *host) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			entry := h.backend.Entry("reduit", "ready", coldSlots)
			select {
			case <-done:
				return
			case <-time.After(entryDelay):
			}
			f.store.Put(platformtest.ServerPrefix+h.backend.Name, entry)
			select {
			case <-done:
				return
			case <-time.After(entryInterval - entryDelay):
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// Guards against requests above the rate of a cold backend server that has restarted
// under its ID beside a running daemon, which learns of it late, and against a server
// that stays limited after its cold time.
func TestColdServerAfterItsRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "counter", "counter")
	f.serveWithColdStart()
	restarted := f.hosts[0]
	stopLoad := f.load("load", f.hosts...)
	time.Sleep(500 * time.Millisecond)
	is.NoErr(restarted.backend.Restart(300*time.Millisecond, coldTime))
	respondAfter(restarted, 50*time.Millisecond)
	stopEntries := f.writeEntries(restarted)
	end := restarted.backend.ColdUntil()
	time.Sleep(time.Until(end.Add(2 * time.Second)))
	stopLoad()
	stopEntries()
	most, cold := restarted.backend.MostInOneSecond(end), restarted.backend.Arrivals(end.Add(-coldTime), end)
	t.Logf("cold: %d requests, %d in one second", cold, most)
	is.True(most <= maxColdArrivals)
	is.True(cold >= coldRate*2)
	is.True(restarted.backend.Arrivals(end, end.Add(2*time.Second)) >= 4*coldRate)
}

// Guards against requests above the rate of a cold backend server from a daemon that
// restarts beside it and finds an old entry of a warm server.
func TestColdServerBesideRestartedDaemon(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "counter", "counter")
	f.serveWithColdStart()
	restarted, other := f.hosts[0], f.hosts[1]
	restarted.stop()
	is.NoErr(<-restarted.done)
	stopLoad := f.load("load", other)
	is.NoErr(restarted.backend.Restart(0, 2*coldTime))
	respondAfter(restarted, 50*time.Millisecond)
	end := restarted.backend.ColdUntil()
	f.start(restarted)
	time.Sleep(time.Until(end.Add(time.Second)))
	stopLoad()
	most := restarted.backend.MostInOneSecond(end)
	t.Logf("cold: %d in one second", most)
	is.True(most > 0)
	is.True(most <= maxColdArrivals)
	is.True(restarted.backend.Arrivals(end, end.Add(time.Second)) > coldRate)
}

// Guards against health checks, and any other change, where the configuration sets no
// rate, also when the backend server restarts.
func TestNoHealthCheckWithoutRate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "counter", "counter")
	f.startServing()
	restarted := f.hosts[0]
	stopLoad := f.load("load", f.hosts...)
	time.Sleep(200 * time.Millisecond)
	is.NoErr(restarted.backend.Restart(100*time.Millisecond, coldTime))
	f.putServer(restarted, "ready")
	time.Sleep(time.Second)
	stopLoad()
	for _, h := range f.hosts {
		is.Equal(h.backend.HealthChecks(), 0)
		is.Equal(h.daemon.coldWatch.left(), time.Duration(0))
	}
	is.True(restarted.backend.MostInOneSecond(time.Now()) > maxColdArrivals)
}

// Guards against requests above the rate of a cold backend server whose failure domain
// is put back into service, and against anything sent to it before.
func TestColdServerAfterEvacuation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "counter")
	f.serveWithColdStart()
	h := f.hosts[0]
	f.store.Put(platformtest.EvacuationPrefix+"reduit", map[string]any{})
	f.eventually(func() bool { return h.evacuated() == 1 })
	time.Sleep(100 * time.Millisecond)
	before := h.backend.HealthChecks()
	stopLoad := f.load("load", h)
	// The server becomes cold meanwhile, and its entries do not say so.
	time.Sleep(time.Second)
	h.backend.SetCold(coldTime + 500*time.Millisecond)
	is.Equal(h.backend.HealthChecks(), before)
	back := time.Now()
	f.store.Delete(platformtest.EvacuationPrefix + "reduit")
	end := h.backend.ColdUntil()
	time.Sleep(time.Until(end.Add(500 * time.Millisecond)))
	stopLoad()
	for at := back; at.Before(end.Add(-time.Second)); at = at.Add(50 * time.Millisecond) {
		is.True(h.backend.Arrivals(at, at.Add(time.Second)) <= maxColdArrivals)
	}
	is.True(h.backend.Arrivals(back, end) >= 2*coldRate)
}

// Guards against requests to an address at which nothing listens that are refused for the
// rate of a cold server, and against a doubt that ends before something answers.
func TestNothingListens(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, "counter")
	core, logs := observer.New(zap.InfoLevel)
	f.log = zap.New(core)
	f.serveWithColdStart()
	h := f.hosts[0]
	h.backend.Close()
	refusals := func(reason refusal.Reason) int {
		return logs.FilterField(zap.String("reason", reason.String())).Len()
	}
	// The daemon may first see that a connection is closed, and then that nothing listens.
	f.eventually(func() bool {
		f.call(h, http.MethodGet, "/stock/1", "first")
		return refusals(refusal.ConnectFailed) > 0
	})
	before := refusals(refusal.ServerCold)
	for i := range 30 {
		reply := f.call(h, http.MethodGet, "/stock/1", "after-"+string(rune('a'+i)))
		is.Equal(reply.Status, http.StatusServiceUnavailable)
	}
	is.True(logs.FilterMessage("not answered").Len() > 30)
	is.Equal(refusals(refusal.ServerCold), before)
	time.Sleep(coldTime + 500*time.Millisecond)
	// The doubt lasts until something answers.
	is.True(h.daemon.coldWatch.left() > 0)
	is.NoErr(h.backend.Restart(0, 0))
	f.eventually(func() bool { return f.call(h, http.MethodGet, "/stock/1", "back").Status == http.StatusOK })
	f.eventually(func() bool { return h.daemon.coldWatch.left() == 0 })
}

// Guards against an entry that lengthens the cold time each time it is passed on again
// after another change, or that the store sends again.
func TestEntryIsRecordedOnce(t *testing.T) {
	is := is.New(t)
	d := newIdleDaemon(t)
	put := func(revision mirror.Revision, key string, value any) {
		data, err := json.Marshal(value)
		is.NoErr(err)
		d.storeState.apply([]mirror.Item{{Key: key, Revision: revision, Value: data}})
	}
	listed := platformtest.Backend{Name: "i-1", Service: "counter", Address: "127.0.0.1:3"}
	listed.SetCold(coldTime)
	configuration := platformtest.Configuration("r1", []string{"counter"}, platformtest.Route("stock", "/stock/", "safe", "counter", time.Second, 1))
	put(1, platformtest.ConfigurationKey, platformtest.WithColdStart(configuration, coldTime, coldRate))
	entry := listed.Entry("reduit", "ready", 4)
	put(2, platformtest.ServerPrefix+listed.Name, entry)
	d.coldWatch.state.Checked(d.now())
	d.coldWatch.state.Answered(d.coldWatch.server.Process(), 0, d.now())
	until := d.coldWatch.state.Until()
	time.Sleep(10 * time.Millisecond)
	put(3, platformtest.ServerPrefix+"i-2", (&platformtest.Backend{Service: "counter", Address: "127.0.0.2:3"}).Entry("reduit", "ready", 4))
	put(4, platformtest.ServerPrefix+listed.Name, entry)
	is.Equal(d.coldWatch.state.Until(), until)
	put(5, platformtest.ServerPrefix+listed.Name, listed.Entry("reduit", "ready", 4))
	is.True(d.coldWatch.state.Until() >= until)
}
