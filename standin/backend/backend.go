// Package backend is a stand-in of a backend server: it has slots, a connection
// limit, a cold start and a drain, and keeps a journal of each request that
// reached it, so that "ran" and "did not run" can be verified.
//
// # Usage
//
//	server, err := backend.Start(backend.Options{Slots: 20, Connections: 130})
//	defer server.Close()
//	http.Get("http://" + server.Address() + "/stock/hammer")
//	rows := server.Journal().Rows
//
// A second listener takes faults (POST /faults), starts a drain (POST /drain)
// and reports the journal (GET /journal).
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

// The headers of requests and answers.
const (
	HeaderCallID         = "Marjoramsaddle-Call-Id"
	HeaderDeadline       = "Marjoramsaddle-Deadline"
	HeaderDraining       = "Marjoramsaddle-Draining"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderToken          = "X-Request-Token"
	HeaderBodySHA256     = "X-Body-Sha256"
)

const (
	// DefaultSlots is the number of slots of a counter target.
	DefaultSlots = 20
	// DefaultMaxConnections is the connection limit of a counter target.
	DefaultMaxConnections = 130
	anyPort               = "127.0.0.1:0"
	readHeaderTimeout     = 5 * time.Second
	// drainPoll is the interval at which Stop looks for work in progress.
	drainPoll = 5 * time.Millisecond
)

// Options are the settings of a Server. The zero value is usable.
type Options struct {
	Name           string // in each answer; empty for the address
	Address        string // empty for any port
	ControlAddress string // empty for any port
	Slots          int    // 0 for DefaultSlots
	MaxConnections int    // 0 for DefaultConnections
	ServiceTime    time.Duration
	ConnectTime    time.Duration // before the first byte of a connection is read
	ProbeTime      time.Duration // of /healthz and /loadz
	ColdStart      time.Duration
	// ColdFactor multiplies the service time during the cold start; 0 refuses
	// requests instead.
	ColdFactor int
	// StatusLag is the age of what /healthz and /loadz report.
	StatusLag time.Duration
	// JournalFile receives the journal as it grows; empty keeps it in memory only.
	JournalFile string
}

// Server is a running stand-in of a backend server.
type Server struct {
	options   Options
	address   string
	controlAt string
	public    *http.Server
	control   *http.Server
	conns     *limitListener
	slots     *slots
	journal   journal
	started   time.Time
	drainAt   atomic.Int64 // Unix nanoseconds, 0 before the drain
	inWork    atomic.Int64
	closed    chan struct{}
	closeOnce sync.Once

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
		options:   options,
		address:   listener.Addr().String(),
		controlAt: control.Addr().String(),
		conns:     &limitListener{Listener: listener, limit: int64(options.MaxConnections), connect: options.ConnectTime},
		slots:     &slots{limit: options.Slots},
		started:   time.Now(),
		closed:    make(chan struct{}),
	}
	if err := s.journal.open(options.JournalFile); err != nil {
		return nil, errors.Join(err, listener.Close(), control.Close())
	}
	if s.options.Name == "" {
		s.options.Name = s.address
	}
	s.public = serve(s.conns, s.Handler())
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
		options.Address = anyPort
	}
	if options.ControlAddress == "" {
		options.ControlAddress = anyPort
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

// Address returns the address of the routes.
func (s *Server) Address() string { return s.address }

// ControlAddress returns the address of faults, drain and journal.
func (s *Server) ControlAddress() string { return s.controlAt }

// Journal returns the requests that reached the server.
func (s *Server) Journal() Journal { return s.journalFrom(0) }

func (s *Server) journalFrom(position int) Journal {
	return Journal{DrainUnixNs: s.drainAt.Load(), Rows: s.journal.from(position)}
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

// Drain announces that the server is leaving. It still answers requests.
func (s *Server) Drain() {
	now := time.Now().UnixNano()
	if s.drainAt.CompareAndSwap(0, now) {
		s.journal.drain(now)
	}
}

func (s *Server) draining(at time.Time) bool {
	drainAt := s.drainAt.Load()
	return drainAt != 0 && at.UnixNano() >= drainAt
}

// cold reports whether the cold start lasts at a time. The time may lie before
// the start, as /healthz lags.
func (s *Server) cold(at time.Time) bool {
	return s.options.ColdStart > 0 && at.Before(s.started.Add(s.options.ColdStart))
}

// Stop drains, waits until no work is in progress or the context ends, and
// closes both listeners. The journal stays readable until then.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.inWork.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Join(ctx.Err(), s.Close())
		}
	}
	err := s.public.Shutdown(ctx)
	return errors.Join(err, s.Close())
}

// Close cuts off all connections.
func (s *Server) Close() error {
	var err error
	s.closeOnce.Do(func() {
		close(s.closed)
		err = errors.Join(s.public.Close(), s.control.Close(), s.journal.close())
	})
	return err
}

// limitListener closes connections over the limit at once.
type limitListener struct {
	net.Listener
	limit   int64
	connect time.Duration
	open    atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

// countedConn leaves the count of open connections when it closes.
type countedConn struct {
	net.Conn
	listener *limitListener
	connect  sync.Once
	once     sync.Once
}

// Read reads after the time that a new connection takes.
func (c *countedConn) Read(p []byte) (int, error) {
	c.connect.Do(func() { time.Sleep(c.listener.connect) })
	return c.Conn.Read(p)
}

// Close closes the connection and counts it as closed.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
