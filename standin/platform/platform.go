// Package platform simulates the configuration platform: it serves the subset of
// Consul's KV HTTP API that configuration readers and operators use.
//
// # Usage
//
//	server, err := platform.Start(platform.Options{})
//	defer server.Close()
//	http.Get("http://" + server.Address() + "/v1/kv/marjoramsaddle/manifest?index=7&wait=30s")
//
// A second listener, the control interface, sets faults (POST /faults), restores
// an earlier state (POST /restore) and reports calls (GET /counters). A call is
// counted when it arrives; a waiting watch is one call. Calls over the limit per
// wall-clock second get status 429.
package platform

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// DefaultMaxCallsPerS is the platform's limit for all readers together.
	DefaultMaxCallsPerS = 2_000
	// MaxValueBytes is the largest value of a key.
	MaxValueBytes = 1 << 20
	// anyPortAddress lets the operating system choose a free port.
	anyPortAddress    = "127.0.0.1:0"
	readHeaderTimeout = 5 * time.Second
)

// Options configures a Server. The zero value is usable.
type Options struct {
	Address        string        // of the KV API; empty for any port
	ControlAddress string        // of the control interface; empty for any port
	MaxCallsPerS   int           // 0 for DefaultCallsPerS
	HostListLag    time.Duration // delay before a host list's change is visible
}

// Server is a running simulated platform.
type Server struct {
	store          *store
	callCounters   *callCounters
	callsPerS      int
	address        string
	controlServer  *http.Server
	controlAddress string
	closed         chan struct{}
	closeOnce      sync.Once

	mu           sync.Mutex
	faults       Faults
	faultsChange chan struct{}
	kvServer     *http.Server // nil while connections are refused
}

// Start listens on both addresses and serves until Close.
func Start(options Options) (*Server, error) {
	s := &Server{
		store:        newStore(options.HostListLag),
		callCounters: newCallCounters(),
		callsPerS:    options.MaxCallsPerS,
		closed:       make(chan struct{}),
		faultsChange: make(chan struct{}),
	}
	if s.callsPerS == 0 {
		s.callsPerS = DefaultMaxCallsPerS
	}
	if err := s.listen(options.Address); err != nil {
		return nil, err
	}
	if err := s.listenControl(options.ControlAddress); err != nil {
		return nil, errors.Join(err, s.kvServer.Close())
	}
	return s, nil
}

func (s *Server) listen(address string) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.kvServer = serve(listener, s.Handler())
	return nil
}

func (s *Server) listenControl(address string) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	s.controlAddress = listener.Addr().String()
	s.controlServer = serve(listener, s.ControlHandler())
	return nil
}

func listen(address string) (net.Listener, error) {
	if address == "" {
		address = anyPortAddress
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s; choose a free address: %w", address, err)
	}
	return listener, nil
}

// serve runs a server on the listener until the server is closed.
func serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	return server
}

// Address returns the address of the KV API.
func (s *Server) Address() string { return s.address }

// ControlAddress returns the address of the control interface.
func (s *Server) ControlAddress() string { return s.controlAddress }

// Counters returns the calls counted so far.
func (s *Server) Counters() Counters { return s.callCounters.snapshot() }

// Put stores a value without counting a call and returns its modify index.
func (s *Server) Put(key string, value []byte) uint64 {
	return s.store.put(key, value, 0, false, 0)
}

// Restore resets the store to the state at an index, like a restored backup.
func (s *Server) Restore(index uint64) error { return s.store.restore(index) }

// SetFaults replaces all faults.
func (s *Server) SetFaults(faults Faults) error {
	if err := faults.check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	faults.setAt = time.Now()
	if faults.HostListLagMs != nil {
		s.store.setHostLag(time.Duration(*faults.HostListLagMs) * time.Millisecond)
	}
	s.faults = faults
	close(s.faultsChange)
	s.faultsChange = make(chan struct{})
	return s.applyOutage()
}

// applyOutage opens or closes the KV listener as the faults require. The caller
// holds s.mu.
func (s *Server) applyOutage() error {
	select {
	case <-s.closed:
		return errors.New("platform is closed; start another one")
	default:
	}
	refuse := s.faults.Outage == OutageRefuse
	if refuse && s.kvServer != nil {
		err := s.kvServer.Close()
		s.kvServer = nil
		return err
	}
	if !refuse && s.kvServer == nil {
		return s.listen(s.address)
	}
	return nil
}

// currentFaults returns the faults and a channel that is closed when they change
// next.
func (s *Server) currentFaults() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.faultsChange
}

// Close ends waiting watches and closes both listeners.
func (s *Server) Close() error {
	var err error
	s.closeOnce.Do(func() {
		close(s.closed)
		s.mu.Lock()
		defer s.mu.Unlock()
		err = s.controlServer.Close()
		if s.kvServer != nil {
			err = errors.Join(err, s.kvServer.Close())
		}
	})
	return err
}
