package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"marjoramsaddle/bench/process"
	"marjoramsaddle/platform/platformtest"
)

// The ports of a host, the same on all of them.
const (
	portCaller = iota
	portHop
	portControl
	portReadiness
	portBackend
	portStore
	portCount
)

// Ports lie below those that the system gives to outgoing connections, which may
// be in use at any address. Experiments at the same time differ in their ports,
// and the seeds of one experiment in their addresses.
const (
	firstPort  = 20_000
	portBlocks = 2_000
)

const (
	shop  = "shop"
	stock = "stock"
	// slots of a backend server.
	slots = 8
	// readyTimeout bounds the start of the fleet.
	readyTimeout = 10 * time.Second
	// grace is the time between SIGTERM and SIGKILL that the daemons are told.
	grace = 6 * time.Second
)

// host is one daemon with its backend server. Other hosts reach both under the
// announced address, where relays stand before the daemon.
type host struct {
	name, domain, service string
	own, announced        string
	settings, log         string

	backend             *platformtest.Backend
	hop, control, store *relay

	mu      sync.Mutex
	daemon  *process.Process
	changes sync.Mutex
	// troubled is until when the host counts as harmed from outside.
	troubled time.Time
	// draining is since when the backend server is listed as leaving.
	draining time.Time
	// fails makes the backend server fail a part of its requests.
	fails    http.HandlerFunc
	stopping bool
	born     int
}

// world is the fleet and everything around it.
type world struct {
	program string
	ports   [portCount]int
	hosts   []*host
	store   *platformtest.Store
	beacons *datagrams
	book    *book

	mu      sync.Mutex
	version int
	// movedTo is the service of the route that moves, by version; acked says when
	// the store took the version.
	movedTo []string
	acked   []time.Time
}

// newWorld prepares hosts in three failure domains on loopback addresses that
// the seed picks, and starts nothing but the stand-ins.
func newWorld(program, folder string, seed uint64) (*world, error) {
	w := &world{program: program, store: platformtest.NewStore(), book: newBook()}
	for i := range w.ports {
		w.ports[i] = firstPort + os.Getpid()%portBlocks*int(portCount) + i
	}
	net := 20 + seed%200
	for i, service := range []string{shop, stock, shop, stock, shop, shop} {
		h := &host{
			name: fmt.Sprintf("host-%d", i), domain: fmt.Sprintf("domain-%d", i%3), service: service,
			own: fmt.Sprintf("127.%d.0.%d", net, i+1), announced: fmt.Sprintf("127.%d.1.%d", net, i+1),
		}
		h.settings, h.log = filepath.Join(folder, h.name+".json"), filepath.Join(folder, h.name+".log")
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		if err := w.prepare(h); err != nil {
			return nil, err
		}
	}
	var err error
	w.beacons, err = newDatagrams(w)
	return w, err
}

func (w *world) address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, w.ports[port]) }

// prepare starts the relays and the backend server of a host, and writes its
// settings.
func (w *world) prepare(h *host) error {
	var err error
	if h.hop, err = newRelay(w.address(h.announced, portHop), w.address(h.own, portHop)); err != nil {
		return err
	}
	if h.control, err = newRelay(w.address(h.announced, portControl), w.address(h.own, portControl)); err != nil {
		return err
	}
	if h.store, err = newRelay(w.address(h.announced, portStore), w.store.Address()); err != nil {
		return err
	}
	settings := platformtest.Settings{
		Host: h.name, Domain: h.domain, IP: h.own, Service: h.service,
		CallerAddress: w.address(h.own, portCaller), HopAddress: w.address(h.own, portHop), ControlAddress: w.address(h.own, portControl),
		ReadinessAddress: w.address(h.own, portReadiness), BackendAddress: w.address(h.announced, portBackend),
		StoreAddress: w.address(h.announced, portStore), Seeds: []string{w.address(w.hosts[0].announced, portControl)}, StopGrace: grace,
	}
	if err := os.WriteFile(h.settings, settings.JSON(), 0o600); err != nil {
		return err
	}
	return w.replace(h)
}

// replace starts a new backend server in place of the former one and lists it.
func (w *world) replace(h *host) error {
	if h.backend != nil {
		w.store.Delete(platformtest.ServerPrefix + h.backend.Name)
		h.backend.Close()
	}
	h.mu.Lock()
	h.born++
	h.draining = time.Time{}
	name := fmt.Sprintf("i-%s-%d", h.name, h.born)
	h.mu.Unlock()
	backend, err := platformtest.NewBackend(name, h.service, w.address(h.announced, portBackend))
	if err != nil {
		return err
	}
	h.backend = backend
	backend.SetHandler(func(out http.ResponseWriter, r *http.Request) { w.run(h, name, out, r) })
	w.store.Put(platformtest.ServerPrefix+name, backend.Entry(h.domain, "ready", slots))
	return nil
}

// run is what a backend server does with a request.
func (w *world) run(h *host, name string, out http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	fails, draining := h.fails, h.draining
	h.mu.Unlock()
	id := platformtest.RequestID(r.Header)
	if fails != nil && sum(id)%3 == 0 {
		w.book.ran(id, run{service: h.service, target: r.RequestURI, draining: draining, at: time.Now(), rejected: isShed(fails, out, r)})
		return
	}
	w.book.ran(id, run{service: h.service, target: r.RequestURI, draining: draining, at: time.Now()})
	time.Sleep(time.Duration(5+sum(id)%25) * time.Millisecond)
	platformtest.Sign(out.Header(), name)
	// A client that has gone needs no answer.
	_, _ = out.Write(content(id))
}

// isShed lets the backend server fail the request, and reports whether it says
// that the request has not run.
func isShed(fails http.HandlerFunc, out http.ResponseWriter, r *http.Request) bool {
	fails(out, r)
	return platformtest.NotExecuted(out.Header())
}

func sum(id string) uint32 {
	hash := fnv.New32a()
	// Writing to a hash cannot fail.
	_, _ = io.WriteString(hash, id)
	return hash.Sum32()
}

// content is the answer to a request, which nobody else's request has.
func content(id string) []byte {
	size := 200
	if sum(id)%8 == 0 {
		size = 90_000
	}
	body := make([]byte, 0, size+len(id))
	for len(body) < size {
		body = append(body, id...)
	}
	return body
}

// launch starts the daemon of a host.
func (w *world) launch(h *host) error {
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
	return log.Close()
}

func (w *world) start(ctx context.Context) error {
	w.publish()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, h := range w.hosts {
		if err := w.launch(h); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.daemon.WaitReady(ctx, process.HTTPReady("http://"+w.address(h.own, portReadiness)+"/ready")); err != nil {
			return err
		}
	}
	return nil
}

// publish writes the next version, in which one route moves to the other
// service.
func (w *world) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	moved := shop
	if w.version%2 == 0 {
		moved = stock
	}
	w.store.Put(platformtest.ConfigurationKey, platformtest.Configuration(fmt.Sprint("r", w.version), []string{shop, stock},
		platformtest.Route("lookup", "/lookup/", "safe", shop, 2*time.Second, 2),
		platformtest.Route("order", "/order/", "unsafe", shop, 2*time.Second, 1),
		platformtest.Route("moved", "/moved/", "safe", moved, 2*time.Second, 2),
	))
	w.movedTo = append(w.movedTo, moved)
	w.acked = append(w.acked, time.Now())
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
