package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
	"marjoramsaddle/platform"
	"marjoramsaddle/platform/platformtest"
)

// patience is how long the clients of these tests wait.
const patience = 5 * time.Second

// fleet is a store with some hosts, each with a daemon and a backend server.
// Hosts have addresses of their own in 127.0.0.0/8, because daemons use the same
// ports everywhere.
type fleet struct {
	t     *testing.T
	store *platformtest.Store
	ports [5]int
	hosts []*host
	// firstStart tells the daemons that the whole system starts.
	firstStart bool
}

type host struct {
	ip      string
	backend *platformtest.Backend
	daemon  *Daemon
	stop    context.CancelFunc
	ended   chan error
	// store is the address of the platform's store as this host is told.
	store string
}

// listed returns the backend servers that the daemon knows.
func (h *host) listed() []backend.Server {
	h.daemon.state.mu.Lock()
	defer h.daemon.state.mu.Unlock()
	return h.daemon.state.servers.All()
}

// firstHost keeps the addresses of tests that run at once apart.
var firstHost = struct {
	sync.Mutex
	next int
}{next: 10}

func newFleet(t *testing.T, services ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, store: platformtest.NewStore()}
	t.Cleanup(f.store.Close)
	t.Cleanup(f.end)
	for i := range f.ports {
		f.ports[i] = firstPort + os.Getpid()%portBlocks*len(f.ports) + i
	}
	for i, service := range services {
		f.add(fmt.Sprintf("i-%d", i), service)
	}
	return f
}

// firstPort lies below the ports that the system gives to outgoing connections.
// Those may be in use at any loopback address: a daemon met one at its start.
const (
	firstPort  = 24_000
	portBlocks = 1_500
)

func (f *fleet) address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, f.ports[port]) }

func (f *fleet) add(name, service string) {
	f.t.Helper()
	firstHost.Lock()
	ip := fmt.Sprintf("127.0.0.%d", firstHost.next)
	firstHost.next++
	firstHost.Unlock()
	server, err := platformtest.NewBackend(name, service, f.address(ip, 4))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(server.Close)
	f.hosts = append(f.hosts, &host{ip: ip, backend: server, store: f.store.Address()})
}

// list writes the entry of a backend server.
func (f *fleet) list(h *host, state string) {
	f.store.Put(platformtest.ServerPrefix+h.backend.Name, h.backend.Entry("reduit", state, 4))
}

func (f *fleet) publish(version string, routes ...map[string]any) {
	f.store.Put(platformtest.ConfigurationKey, platformtest.Configuration(version, []string{"counter", "depot"}, routes...))
}

func (f *fleet) settings(h *host) platform.Settings {
	return platform.Settings{
		Host: id.Host(h.ip), Domain: "reduit", IP: h.ip, Service: id.Service(h.backend.Service),
		CallerAddress: f.address(h.ip, 0), HopAddress: f.address(h.ip, 1), ControlAddress: f.address(h.ip, 2),
		ReadinessAddress: f.address(h.ip, 3), BackendAddress: f.address(h.ip, 4),
		StoreAddress: h.store, Seeds: []string{f.address(f.hosts[0].ip, 2)},
		StopGrace: 6 * time.Second, RetryRatio: 0.2, RetrySlack: 64, FirstStart: f.firstStart,
	}
}

func (f *fleet) start(hosts ...*host) {
	f.t.Helper()
	for _, h := range hosts {
		d, err := New(f.settings(h), 0, zap.NewNop())
		if err != nil {
			f.t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		h.daemon, h.stop, h.ended = d, stop, make(chan error, 1)
		go func() { h.ended <- d.Run(ctx, SettingsSource{}) }()
	}
}

// end stops all daemons together, which takes as long as one.
func (f *fleet) end() {
	for _, h := range f.hosts {
		if h.stop != nil {
			h.stop()
		}
	}
	for _, h := range f.hosts {
		if h.stop != nil {
			if err := <-h.ended; err != nil {
				f.t.Errorf("daemon %s: %v", h.ip, err)
			}
		}
	}
}

// serving starts everything with a safe route /stock/ and an unsafe route
// /orders/ to the first service.
func (f *fleet) serving() {
	f.t.Helper()
	f.publish("r1", f.routes("counter")...)
	for _, h := range f.hosts {
		f.list(h, "ready")
	}
	f.start(f.hosts...)
	for _, h := range f.hosts {
		f.until(func() bool { return f.ready(h) && len(h.listed()) == len(f.hosts) })
	}
}

func (f *fleet) routes(service string) []map[string]any {
	return []map[string]any{
		platformtest.Route("stock", "/stock/", "safe", service, 2*time.Second, 2),
		platformtest.Route("orders", "/orders/", "unsafe", service, 2*time.Second, 1),
	}
}

func (f *fleet) ready(h *host) bool {
	response, err := http.Get("http://" + f.address(h.ip, 3) + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// until waits for a state that the platform's bounds promise.
func (f *fleet) until(reached func() bool) {
	f.t.Helper()
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if reached() {
			return
		}
	}
	f.t.Fatal("not reached in time")
}

func (f *fleet) call(h *host, method, target, requestID string) platformtest.Response {
	f.t.Helper()
	reply, err := platformtest.Call(context.Background(), f.address(h.ip, 0), method, target, requestID, patience, "")
	if err != nil {
		f.t.Fatal(err)
	}
	return reply
}

func (f *fleet) arrivals(requestID string) int {
	count := 0
	for _, h := range f.hosts {
		for _, arrival := range h.backend.Requests() {
			if arrival.ID == requestID {
				count++
			}
		}
	}
	return count
}

// Guards the whole path on a calm day: each daemon serves each route with the
// backend server's own answer, once, and without changing the request.
func TestCalmDay(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "counter", "counter", "depot")
	f.serving()
	for i, h := range f.hosts {
		requestID := fmt.Sprintf("order-%d", i)
		reply, err := platformtest.Call(context.Background(), f.address(h.ip, 0), http.MethodPost, "/orders/a%2Fb?c=d", requestID, patience, "crate")
		is.NoErr(err)
		is.Equal(reply.Status, http.StatusOK)
		is.Equal(f.arrivals(requestID), 1)
		for _, other := range f.hosts {
			for _, arrival := range other.backend.Requests() {
				if arrival.ID != requestID {
					continue
				}
				is.Equal(reply.Body, "answer of "+other.backend.Name)
				is.Equal(reply.Signature, "signature-of-"+other.backend.Name)
				is.Equal(arrival.Target, "/orders/a%2Fb?c=d")
				is.Equal(arrival.Body, "crate")
				is.Equal(arrival.Caller, h.backend.Service)
			}
		}
		is.Equal(f.call(h, http.MethodGet, "/nowhere/", "n").Status, http.StatusNotFound)
	}
}

// Guards against a configuration or a leaving backend server that some daemon
// does not hear of, also when the store refuses that daemon.
func TestChangesReachEveryDaemon(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "counter", "counter", "depot", "depot")
	// Nobody listens there; the daemon has to follow its neighbours.
	f.hosts[1].store = f.address("127.0.0.1", 4)
	f.serving()
	f.store.DropHistory()
	f.publish("r2", f.routes("depot")...)
	for _, h := range f.hosts {
		f.until(func() bool { return h.daemon.table.Load().Version == 2 })
	}
	f.publish("r1", f.routes("counter")...)
	f.list(f.hosts[2], "draining")
	for i, h := range f.hosts {
		f.until(func() bool { return slices.ContainsFunc(h.listed(), draining) })
		is.Equal(h.daemon.table.Load().Version, id.Version(2))
		reply := f.call(h, http.MethodGet, "/stock/1", fmt.Sprint("stock-", i))
		is.Equal(reply.Body, "answer of "+f.hosts[3].backend.Name)
	}
}

func draining(server backend.Server) bool { return server.State == backend.Draining }

// Guards against a daemon that starts with nothing while the store is away:
// it takes the state from its neighbours.
func TestStartWithoutTheStore(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "counter", "counter")
	late := f.hosts[1]
	f.publish("r1", f.routes("counter")...)
	f.list(f.hosts[0], "ready")
	f.list(late, "ready")
	f.start(f.hosts[0])
	f.until(func() bool { return f.ready(f.hosts[0]) })
	f.store.Refuse(func(string) bool { return true })
	f.start(late)
	f.until(func() bool { return f.ready(late) })
	is.Equal(f.call(late, http.MethodGet, "/stock/1", "stock").Status, http.StatusOK)
}

// Guards against an order that runs twice or is promised not to have run when
// its answer is lost, and against a lookup that is not tried again.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "counter", "counter")
	f.serving()
	f.hosts[0].backend.SetHandler(platformtest.DropConnection)
	f.hosts[1].backend.SetHandler(platformtest.DropConnection)
	is.Equal(f.call(f.hosts[0], http.MethodPost, "/orders/1", "order").Status, http.StatusBadGateway)
	is.Equal(f.arrivals("order"), 1)
	is.Equal(f.call(f.hosts[0], http.MethodGet, "/stock/1", "stock").Status, http.StatusBadGateway)
	is.Equal(f.arrivals("stock"), 2)
}

// Guards against an order that ends although the backend server said that it
// has not run it and another one would.
func TestShedOrderMovesOn(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "counter", "counter")
	f.serving()
	f.hosts[0].backend.SetHandler(platformtest.Shed)
	for i := range 4 {
		reply := f.call(f.hosts[0], http.MethodPost, "/orders/1", fmt.Sprint("order-", i))
		is.Equal(reply.Status, http.StatusOK)
		is.Equal(reply.Body, "answer of "+f.hosts[1].backend.Name)
	}
	f.hosts[1].backend.SetHandler(platformtest.Shed)
	reply := f.call(f.hosts[0], http.MethodPost, "/orders/1", "refused")
	is.Equal(reply.Status, http.StatusServiceUnavailable)
	is.True(reply.RetryAfter != "")
}

// Guards against a planned stop that cuts off a request, and against clients
// being sent to a daemon that stops.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "counter", "counter")
	f.serving()
	began := make(chan struct{}, 2)
	slow := func(b *platformtest.Backend) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			began <- struct{}{}
			time.Sleep(time.Second)
			b.Respond(w)
		}
	}
	for _, h := range f.hosts {
		h.backend.SetHandler(slow(h.backend))
	}
	replies := make(chan platformtest.Response, 1)
	go func() {
		reply, _ := platformtest.Call(context.Background(), f.address(f.hosts[0].ip, 0), http.MethodPost, "/orders/1", "slow", patience, "")
		replies <- reply
	}()
	<-began
	f.hosts[0].stop()
	f.until(func() bool { return !f.ready(f.hosts[0]) })
	is.Equal((<-replies).Status, http.StatusOK)
	// Clients that have not noticed are served until the end of the notice.
	is.Equal(f.call(f.hosts[0], http.MethodGet, "/stock/1", "during").Status, http.StatusOK)
	is.NoErr(<-f.hosts[0].ended)
	f.hosts[0].ended <- nil
	is.Equal(f.call(f.hosts[1], http.MethodGet, "/stock/1", "after").Status, http.StatusOK)
}

// Guards against a backend server that left while a daemon was down being in use
// again after that daemon's restart, also when the store turns it away.
func TestRestartKnowsWhatHasLeft(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "counter", "counter", "counter")
	f.serving()
	restarted, left := f.hosts[2], f.hosts[1]
	restarted.stop()
	is.NoErr(<-restarted.ended)
	f.store.Delete(platformtest.ServerPrefix + left.backend.Name)
	f.until(func() bool { return len(f.hosts[0].listed()) == len(f.hosts)-1 })
	f.store.Refuse(func(string) bool { return true })
	before := len(left.backend.Requests())
	f.start(restarted)
	f.until(func() bool { return f.ready(restarted) })
	for i := range 50 {
		is.Equal(f.call(restarted, http.MethodGet, "/stock/1", fmt.Sprint("after-", i)).Status, http.StatusOK)
	}
	is.Equal(len(left.backend.Requests()), before)
}
