package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"marjoramsaddle/bench/fleet"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/idempotency"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/io/hop"
	"marjoramsaddle/io/settings"
	"marjoramsaddle/standin/authority"
	"marjoramsaddle/standin/backend"
	"marjoramsaddle/standin/platform"
)

// noRecords turns the idempotency records off, to show that the tests of records
// fail without them.
var noRecords = flag.Bool("no-records", false, "turn the idempotency records off")

// settleTime is the time after which a host counts as known to all others.
const settleTime = 500 * time.Millisecond

// testFleet is a fleet of daemons in this process, with stand-ins for the
// platform, the backend servers and the certificate authority.
type testFleet struct {
	t               testing.TB
	layout          *fleet.Layout
	platform        *platform.Server
	daemons         map[id.Host]*Daemon
	backends        map[id.Host]*backend.Server
	callerAddresses map[id.Host]string
	counterHosts    []id.Host
	publisher       *fleet.Publisher
	client          *http.Client
	cancel          map[id.Host]context.CancelFunc
	running         sync.WaitGroup
	// released is closed to let the control goroutines of killed daemons end.
	released chan struct{}
}

// newFleet starts a fleet and waits until it serves and accepts new idempotency
// keys.
func newFleet(t testing.TB, count int) *testFleet {
	t.Helper()
	is := is.New(t)
	layout, err := fleet.New(fleet.Options{Daemons: count, Operator: fleet.Clouterie, FirstPort: firstPortOfProcess(), IsPortFree: isPortFree})
	is.NoErr(err)
	f := &testFleet{
		t: t, layout: layout, daemons: map[id.Host]*Daemon{}, backends: map[id.Host]*backend.Server{},
		callerAddresses: map[id.Host]string{}, cancel: map[id.Host]context.CancelFunc{}, released: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	t.Cleanup(f.stop)
	f.platform, err = platform.Start(platform.Options{})
	is.NoErr(err)
	f.publisher = fleet.NewPublisher(f.platform.Address(), layout, 1)
	_, err = f.publisher.Publish(t.Context())
	is.NoErr(err)
	f.startBackends()
	f.startDaemons()
	f.waitReady()
	return f
}

// Fleets use ports below the system's range of ephemeral ports, which outgoing
// connections of other processes take between the choice of a port and its use. Each
// process has its own block of ports.
const (
	firstPort     = 10_000
	portBlocks    = 90
	portsPerBlock = 100
)

func firstPortOfProcess() int { return firstPort + os.Getpid()%portBlocks*portsPerBlock }

// isPortFree reports whether the port is free on loopback, for TCP and UDP.
func isPortFree(port int) bool {
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	stream, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = stream.Close()
	datagram, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = datagram.Close()
	return true
}

// startBackends starts the backend server of each host.
func (f *testFleet) startBackends() {
	is := is.New(f.t)
	for _, host := range f.layout.Hosts {
		server, err := backend.Start(backend.Options{Name: string(host.Name), Address: host.Backend.String()})
		is.NoErr(err)
		f.backends[host.Name] = server
		f.callerAddresses[host.Name] = host.Caller.String()
		if host.Service.Name == "counter" {
			f.counterHosts = append(f.counterHosts, host.Name)
		}
	}
}

func (f *testFleet) startDaemons() {
	is := is.New(f.t)
	issuer, err := authority.New()
	is.NoErr(err)
	folder := f.t.TempDir()
	is.NoErr(f.layout.Write(folder, issuer, fleet.DaemonSettings("http://"+f.platform.Address(), func(s *settings.Settings) {
		s.IdempotencyOrigin = ""
		s.Experiment = settings.Experiment{NoRecords: *noRecords, SettleMS: int(settleTime.Milliseconds())}
	})))
	for _, host := range f.layout.Hosts {
		loaded, err := settings.Load(fleet.FilesOf(folder, host).Settings)
		is.NoErr(err)
		d, err := New(loaded, zap.NewNop())
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		f.daemons[host.Name], f.cancel[host.Name] = d, cancel
		f.running.Go(func() {
			if err := d.Run(ctx); err != nil {
				f.t.Error(err)
			}
		})
	}
}

func (f *testFleet) waitReady() {
	for _, d := range f.daemons {
		f.eventually("fleet ready", func() bool {
			hostsByService := d.hostsByService.Load()
			return d.Readiness() == kernel.Serving && d.view.Load() != nil && hostsByService != nil && len((*hostsByService)["counter"]) == len(f.counterHosts)
		})
	}
	// The replicas of a key are chosen from the hosts that were known the settle
	// time before the key was created.
	time.Sleep(2*settleTime + 100*time.Millisecond)
}

func (f *testFleet) eventually(condition string, satisfied func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !satisfied(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatal("timed out waiting for: " + condition)
		}
	}
}

func (f *testFleet) stop() {
	close(f.released)
	for _, cancel := range f.cancel {
		cancel()
	}
	f.running.Wait()
	for _, server := range f.backends {
		_ = server.Close()
	}
	if f.platform != nil {
		_ = f.platform.Close()
	}
	f.client.CloseIdleConnections()
}

// kill simulates the crash of a daemon: its sockets close without a drain and its
// control goroutine blocks.
func (f *testFleet) kill(host id.Host) {
	d := f.daemons[host]
	held := make(chan struct{})
	d.queries <- func(*kernel.Kernel) {
		close(held)
		<-f.released // blocks the control goroutine
	}
	<-held
	at, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.callers.Close()
	_ = d.hopServer.Shutdown(at)
	d.transport.Close()
}

// answer is the response, or the error, that a caller receives.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	// closes is set if the response has "Connection: close".
	closes bool
}

func (a answer) outcome() string { return a.header.Get(hop.HeaderOutcome) }
func (a answer) reason() string  { return a.header.Get(hop.HeaderReason) }
func (a answer) replayed() bool  { return a.header.Get(hop.HeaderReplayed) == "true" }
func (a answer) String() string {
	return fmt.Sprint(a.status, " ", a.outcome(), " ", a.reason(), " ", a.err)
}

// order sends an order through the daemon of a host, with an idempotency key
// unless key is empty.
func (f *testFleet) order(through id.Host, key, body string) answer {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callerAddresses[through]+"/orders", io.NopCloser(bytes.NewBufferString(body)))
	if err != nil {
		return answer{err: err}
	}
	request.ContentLength = int64(len(body))
	if key != "" {
		request.Header.Set(hop.HeaderIdempotencyKey, key)
	}
	return f.do(request)
}

func (f *testFleet) do(request *http.Request) answer {
	response, err := f.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, read, err, response.Close}
}

// executions returns how many requests with the key the backend servers ran.
func (f *testFleet) executions(key string) int {
	count := 0
	for _, server := range f.backends {
		for _, row := range server.Journal().Rows {
			if row.IdempotencyKey == key && row.Ran {
				count++
			}
		}
	}
	return count
}

// executedOn returns a host whose backend server ran a request with the key.
func (f *testFleet) executedOn(key string) id.Host {
	for host, server := range f.backends {
		for _, row := range server.Journal().Rows {
			if row.IdempotencyKey == key && row.Ran {
				return host
			}
		}
	}
	return ""
}

// setServiceTime sets the service time of all backend servers, in milliseconds.
func (f *testFleet) setServiceTime(millis int) {
	for _, server := range f.backends {
		_ = server.SetFaults(backend.Faults{ExtraServiceTimeMs: millis})
	}
}

// restartBackend starts a new backend server for a host on its former address.
func (f *testFleet) restartBackend(host id.Host) {
	server, err := backend.Start(backend.Options{Name: string(host), Address: f.backends[host].Address()})
	if err != nil {
		f.t.Fatal(err)
	}
	f.backends[host] = server
}

// newKey returns a UUIDv7 of the current time.
func newKey(number int) string {
	millis := fmt.Sprintf("%012x", time.Now().UnixMilli())
	return fmt.Sprintf("%s-%s-7000-8000-%012x", millis[:8], millis[8:], number)
}

// key returns a new key and its replicas, none of which is among the excluded
// hosts.
func (f *testFleet) key(exclude ...id.Host) (string, []id.Host) {
	for number := 0; ; number++ {
		key := newKey(number)
		replicas := idempotency.Replicas(key, f.counterHosts)
		if !slices.ContainsFunc(replicas, func(host id.Host) bool { return slices.Contains(exclude, host) }) {
			return key, replicas
		}
	}
}

// newNumberedKey returns a key that differs for each number, and its replicas.
func (f *testFleet) newNumberedKey(number int) (string, []id.Host) {
	key := newKey(number)
	return key, idempotency.Replicas(key, f.counterHosts)
}

// other returns a counter host that is not among the given ones.
func (f *testFleet) other(hosts ...id.Host) id.Host {
	for _, host := range f.counterHosts {
		if !slices.Contains(hosts, host) {
			return host
		}
	}
	f.t.Fatal("no other host")
	return ""
}

func decoded(t testing.TB, a answer) backend.EchoResponse {
	t.Helper()
	var content backend.EchoResponse
	if err := json.Unmarshal(a.body, &content); err != nil {
		t.Fatalf("%v: %s", err, a)
	}
	return content
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
