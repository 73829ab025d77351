// Package backend simulates a backend server with slots, a connection limit, a cold
// start and a drain. It keeps a journal of each request that reached it, so that
// tests can verify which requests ran and which did not.
//
// # Usage
//
//	server, err := backend.Start(backend.Options{Slots: 20, Connections: 130})
//	defer server.Close()
//	http.Get("http://" + server.Address() + "/stock/hammer")
//	rows := server.Journal().Rows
//
// A second listener, the control interface, sets faults (POST /faults), starts a
// drain (POST /drain) and reports the journal (GET /journal).
package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The headers of requests and responses.
const (
	HeaderCallID         = "Marjoramsaddle-Call-Id"
	HeaderDeadline       = "Marjoramsaddle-Deadline"
	HeaderDraining       = "Marjoramsaddle-Draining"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderToken          = "X-Request-Token"
	HeaderBodySHA256     = "X-Body-Sha256"
)

const (
	// DefaultSlots is the number of slots of a backend server of the service counter.
	DefaultSlots = 20
	// DefaultMaxConnections is the connection limit of a backend server of counter.
	DefaultMaxConnections = 130
	anyPortAddress        = "127.0.0.1:0"
	readHeaderTimeout     = 5 * time.Second
	// drainPollInterval is the interval at which Stop checks for active requests.
	drainPollInterval = 5 * time.Millisecond
)

// Options configures a Server. The zero value is usable.
type Options struct {
	Name           string // reported in responses; empty for the address
	Address        string // empty for any port
	ControlAddress string // empty for any port
	Slots          int    // 0 for DefaultSlots
	MaxConnections int    // 0 for DefaultConnections
	ServiceTime    time.Duration
	ConnectTime    time.Duration // delay before the first read of a connection
	ProbeTime      time.Duration // delay of /healthz and /loadz
	ColdStart      time.Duration
	// ColdFactor multiplies the service time during the cold start. With 0, requests
	// are rejected instead.
	ColdFactor int
	// StatusLag is the age of the state that /healthz and /loadz report.
	StatusLag time.Duration
	// JournalFile is the file to which the journal is appended; empty keeps the
	// journal in memory only.
	JournalFile string
}

// Server is a running simulated backend server.
type Server struct {
	options        Options
	address        string
	controlAddress string
	publicServer   *http.Server
	control        *http.Server
	conns          *limitListener
	slots          *slots
	journal        journal
	started        time.Time
	drainStart     atomic.Int64 // Unix nanoseconds, 0 before the drain
	activeRequests atomic.Int64
	closed         chan struct{}
	closeOnce      sync.Once

	mu     sync.Mutex
	faults Faults
}

// Start listens on both addresses and serves until Stop or Close.
func Start(options Options) (*Server, error) {
	options = withDefaults(options)
	listener, err := listen(options.Address)
	if err != nil {
		return nil, err
	}
	control, err := listen(options.ControlAddress)
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	s := &Server{
		options:        options,
		address:        listener.Addr().String(),
		controlAddress: control.Addr().String(),
		conns:          &limitListener{Listener: listener, limit: int64(options.MaxConnections), connect: options.ConnectTime},
		slots:          &slots{limit: options.Slots},
		started:        time.Now(),
		closed:         make(chan struct{}),
	}
	if err := s.journal.open(options.JournalFile); err != nil {
		return nil, errors.Join(err, listener.Close(), control.Close())
	}
	if s.options.Name == "" {
		s.options.Name = s.address
	}
	s.publicServer = serve(s.conns, s.Handler())
	s.control = serve(control, s.ControlHandler())
	return s, nil
}

func withDefaults(options Options) Options {
	if options.Slots == 0 {
		options.Slots = DefaultSlots
	}
	if options.MaxConnections == 0 {
		options.MaxConnections = DefaultMaxConnections
	}
	if options.Address == "" {
		options.Address = anyPortAddress
	}
	if options.ControlAddress == "" {
		options.ControlAddress = anyPortAddress
	}
	return options
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s; choose a free address: %w", address, err)
	}
	return listener, nil
}

func serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	return server
}

// Address returns the address of the service and its health endpoints.
func (s *Server) Address() string { return s.address }

// ControlAddress returns the address of the control interface.
func (s *Server) ControlAddress() string { return s.controlAddress }

// Journal returns the requests that reached the server.
func (s *Server) Journal() Journal { return s.journalFrom(0) }

func (s *Server) journalFrom(position int) Journal {
	return Journal{DrainUnixNs: s.drainStart.Load(), Rows: s.journal.rowsFrom(position)}
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(faults Faults) error {
	if err := faults.check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	return nil
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Drain announces that the server is about to stop. Requests are still served.
func (s *Server) Drain() {
	now := time.Now().UnixNano()
	if s.drainStart.CompareAndSwap(0, now) {
		s.journal.recordDrain(now)
	}
}

func (s *Server) isDraining(at time.Time) bool {
	drainStart := s.drainStart.Load()
	return drainStart != 0 && at.UnixNano() >= drainStart
}

// isColdStart reports whether the cold start lasts at the given time, which may lie
// before the start of the server, as /healthz lags.
func (s *Server) isColdStart(at time.Time) bool {
	return s.options.ColdStart > 0 && at.Before(s.started.Add(s.options.ColdStart))
}

// Stop drains, waits until no request is active or the context ends, and closes
// both listeners. Until then the control interface still serves the journal.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.activeRequests.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Join(ctx.Err(), s.Close())
		}
	}
	err := s.publicServer.Shutdown(ctx)
	return errors.Join(err, s.Close())
}

// Close closes both listeners and all connections at once.
func (s *Server) Close() error {
	var err error
	s.closeOnce.Do(func() {
		close(s.closed)
		err = errors.Join(s.publicServer.Close(), s.control.Close(), s.journal.close())
	})
	return err
}

// limitListener accepts connections and immediately closes those over the limit.
type limitListener struct {
	net.Listener
	limit     int64
	connect   time.Duration
	openCount atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openCount.Add(1) <= l.limit {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		l.openCount.Add(-1)
		_ = conn.Close()
	}
}

// countedConn is a connection that counts towards the limit until it is closed.
type countedConn struct {
	net.Conn
	listener  *limitListener
	connect   sync.Once
	closeOnce sync.Once
}

// Read delays the first read by the listener's connect time.
func (c *countedConn) Read(p []byte) (int, error) {
	c.connect.Do(func() { time.Sleep(c.listener.connect) })
	return c.Conn.Read(p)
}

// Close closes the connection and counts it as closed.
func (c *countedConn) Close() error {
	c.closeOnce.Do(func() { c.listener.openCount.Add(-1) })
	return c.Conn.Close()
}
