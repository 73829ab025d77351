package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"marjoramsaddle/bench/process"
	"marjoramsaddle/platform/platformtest"
)

// The indexes of a host's ports in world.ports. All hosts use the same ports on
// different IP addresses.
const (
	portCaller = iota
	portHop
	portControl
	portReadiness
	portBackend
	portStore
	portCount
)

// Ports are below the ephemeral range, whose ports may be in use at any address.
// Concurrent processes use different ports, and the seeds of one process different
// addresses.
const (
	firstPort  = 20_000
	portBlocks = 2_000
)

const (
	shop  = "shop"
	stock = "stock"
	// maxHopRelays limits the hosts with a relay for requests of other daemons. Each daemon
	// has connections to most others, and a relay needs two file descriptors for each.
	maxHopRelays = 20
	// slots is the number of slots of each backend server.
	slots = 24
	// readyTimeout limits the time to start the fleet.
	readyTimeout = 10 * time.Second
	// stopGrace is the time between SIGTERM and SIGKILL, also in the daemons' settings.
	stopGrace = 6 * time.Second
)

// host is one daemon with its backend server. Other hosts reach both at the advertised
// address, where relays forward to the daemon.
type host struct {
	name, domain, service string
	localIP, advertisedIP string
	settings, log         string

	backend *platformtest.Backend
	// hop is nil at hosts beyond maxHopRelays.
	hop, control, store *relay

	mu     sync.Mutex
	daemon *process.Process
	// daemonFault and serverFault are held while a fault of the daemon, its links or its
	// backend server is active.
	daemonFault, serverFault sync.Mutex
	// disturbedUntil is the end of the latest unplanned fault of the host.
	disturbedUntil time.Time
	// drainingSince is when the backend server was registered as draining, or zero.
	drainingSince time.Time
	// failureHandler, if set, handles a third of the backend server's requests.
	failureHandler http.HandlerFunc
	// stoppedAt is when the daemon was asked to stop, or zero if it is not stopping.
	stoppedAt    time.Time
	backendCount int

	// running counts the requests at the backend server.
	running atomic.Int64

	// touch is the time in which the guarantees on versions do not bind the host, and
	// shown what its daemon has shown of them.
	touch disturbance
	shown hostVersions
}

// world holds the fleet, its store and relays, and the recorder.
type world struct {
	program  string
	ports    [portCount]int
	hosts    []*host
	store    *platformtest.Store
	beacons  *datagramRelay
	recorder *recorder

	partition   partition
	evacuations *evacuations
	versions    versionLog
	// relayError is the first error that kept a relay from forwarding a connection.
	relayError atomic.Pointer[error]
	// unstable is the time in which the store refuses some hosts or returns no old
	// changes.
	unstable disturbance
	// idleRoutes is the number of routes that no client uses.
	idleRoutes int
}

// services is the pattern in which hosts are given to the services.
var services = []string{shop, stock, shop, stock, shop, shop}

// newWorld prepares hosts in three failure domains on loopback addresses that depend
// on the seed. It starts the store, relays and backend servers, but no daemons.
func newWorld(options *Options) (*world, error) {
	w := &world{program: options.Program, store: platformtest.NewStore(), recorder: newRecorder(), evacuations: newEvacuations(), idleRoutes: options.IdleRoutes}
	for i := range w.ports {
		w.ports[i] = firstPort + os.Getpid()%portBlocks*int(portCount) + i
	}
	network := 20 + options.Seed%200
	for i := range max(len(services), options.Hosts) {
		h := &host{
			name: fmt.Sprintf("host-%d", i), domain: fmt.Sprintf("domain-%d", i%3), service: services[i%len(services)],
			localIP: fmt.Sprintf("127.%d.0.%d", network, i+1), advertisedIP: fmt.Sprintf("127.%d.1.%d", network, i+1),
		}
		h.settings, h.log = filepath.Join(options.Folder, h.name+".json"), filepath.Join(options.Folder, h.name+".log")
		w.hosts = append(w.hosts, h)
	}
	for i, h := range w.hosts {
		if err := w.prepare(h, i < maxHopRelays); err != nil {
			return nil, err
		}
	}
	var err error
	w.beacons, err = newDatagramRelay(w)
	return w, err
}

// relayFailed records that a relay could not forward a connection.
func (w *world) relayFailed(err error) { w.relayError.CompareAndSwap(nil, &err) }

func (w *world) address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, w.ports[port]) }

// prepare starts a host's relays and backend server and writes its daemon's settings.
func (w *world) prepare(h *host, hasHopRelay bool) error {
	var err error
	hopAddress := w.address(h.advertisedIP, portHop)
	if hasHopRelay {
		hopAddress = w.address(h.localIP, portHop)
		if h.hop, err = newRelay(w.address(h.advertisedIP, portHop), hopAddress, h.localIP, w.relayFailed); err != nil {
			return err
		}
	}
	if h.control, err = newRelay(w.address(h.advertisedIP, portControl), w.address(h.localIP, portControl), h.localIP, w.relayFailed); err != nil {
		return err
	}
	if h.store, err = newRelay(w.address(h.advertisedIP, portStore), w.store.Address(), h.localIP, w.relayFailed); err != nil {
		return err
	}
	settings := platformtest.Settings{
		Host: h.name, Domain: h.domain, IP: h.advertisedIP, Service: h.service,
		CallerAddress: w.address(h.localIP, portCaller), HopAddress: hopAddress, ControlAddress: w.address(h.localIP, portControl),
		ReadinessAddress: w.address(h.localIP, portReadiness), BackendAddress: w.address(h.advertisedIP, portBackend),
		StoreAddress: w.address(h.advertisedIP, portStore), Seeds: []string{w.address(w.hosts[0].advertisedIP, portControl)}, StopGrace: stopGrace,
	}
	if err := os.WriteFile(h.settings, settings.JSON(), 0o600); err != nil {
		return err
	}
	return w.replaceBackend(h)
}

// replaceBackend stops the host's backend server, if any, and starts and registers a
// new one.
func (w *world) replaceBackend(h *host) error {
	if h.backend != nil {
		w.store.Delete(platformtest.ServerPrefix + h.backend.Name)
		h.backend.Close()
	}
	h.mu.Lock()
	h.backendCount++
	h.drainingSince = time.Time{}
	name := fmt.Sprintf("i-%s-%d", h.name, h.backendCount)
	h.mu.Unlock()
	backend, err := platformtest.NewBackend(name, h.service, w.address(h.advertisedIP, portBackend))
	if err != nil {
		return err
	}
	h.backend = backend
	backend.SetHandler(func(out http.ResponseWriter, r *http.Request) { w.run(h, name, out, r) })
	w.store.Put(platformtest.ServerPrefix+name, backend.Entry(h.domain, "ready", slots))
	return nil
}

// run handles a request at a backend server.
func (w *world) run(h *host, name string, out http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	h.mu.Lock()
	failureHandler, drainingSince := h.failureHandler, h.drainingSince
	h.mu.Unlock()
	id := platformtest.RequestID(r.Header)
	one := run{service: h.service, server: name, target: r.RequestURI, drainingSince: drainingSince, evacuatedSince: w.evacuations.sinceOf(h.domain), at: time.Now()}
	one.limitKnownAt, one.leavingKnownAt = w.recorder.known.at(hostOfRequest(id), name)
	if failureHandler != nil && hashID(id)%3 == 0 {
		one.rejected = isShed(failureHandler, out, r)
		w.recorder.recordRun(id, one)
		return
	}
	defer w.recorder.recordRun(id, one)()
	if isLong(r.RequestURI) {
		w.runLong(h, name, id, out, r)
		return
	}
	time.Sleep(time.Duration(5+hashID(id)%25) * time.Millisecond)
	platformtest.Sign(out.Header(), name)
	// Writing fails only if the client has disconnected.
	_, _ = out.Write(responseBody(id))
}

// isShed handles the request with failureHandler and reports whether the response
// says that the request did not run.
func isShed(failureHandler http.HandlerFunc, out http.ResponseWriter, r *http.Request) bool {
	failureHandler(out, r)
	return platformtest.NotExecuted(out.Header())
}

func hashID(id string) uint32 {
	hash := fnv.New32a()
	// Writing to a hash cannot fail.
	_, _ = io.WriteString(hash, id)
	return hash.Sum32()
}

// responseBody returns the response body of a request, unique to its ID.
func responseBody(id string) []byte {
	size := 200
	if hashID(id)%8 == 0 {
		size = 90_000
	}
	body := make([]byte, 0, size+len(id))
	for len(body) < size {
		body = append(body, id...)
	}
	return body
}

// startDaemon starts a host's daemon.
func (w *world) startDaemon(h *host) error {
	log, err := os.OpenFile(h.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	daemon, err := process.Start(process.Spec{
		Path: w.program, Args: []string{"run", "--settings", h.settings, "--metrics-port", "0"}, Output: log,
	})
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.daemon = daemon
	h.mu.Unlock()
	h.shown.restart()
	w.loseTouch(h, ownHost, 0)
	return log.Close()
}

// awaitListening waits until the host's daemon accepts the connections of clients.
func (w *world) awaitListening(h *host) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	return h.daemon.WaitReady(ctx, func(ctx context.Context) error {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", w.address(h.localIP, portCaller))
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

func (w *world) start(ctx context.Context) error {
	w.publish()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, h := range w.hosts {
		if err := w.startDaemon(h); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.daemon.WaitReady(ctx, process.HTTPReady("http://"+w.address(h.localIP, portReadiness)+"/ready")); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) close() {
	for _, h := range w.hosts {
		if h.daemon != nil {
			h.daemon.Kill()
		}
		for _, r := range []*relay{h.hop, h.control, h.store} {
			if r != nil {
				r.close()
			}
		}
		if h.backend != nil {
			h.backend.Close()
		}
	}
	if w.beacons != nil {
		w.beacons.close()
	}
	w.store.Close()
}
