package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"marjoramsaddle/core/holdings"
	"marjoramsaddle/core/link"
)

const (
	// maxPipelined limits the requests of one connection that are handled
	// concurrently. Further ones stay unread.
	maxPipelined = 16
	// shutdownPollInterval is how often Shutdown checks for open connections.
	shutdownPollInterval = 5 * time.Millisecond
	// shutdownReadTimeout is how long Shutdown waits for requests in transit on
	// accepted connections. On a busy host, part of it passes before the reading
	// goroutine runs.
	shutdownReadTimeout = 250 * time.Millisecond
	// lastResponseTime is the time that Shutdown keeps, after the listeners have closed at
	// the latest, for reading the requests on accepted connections and responding to them.
	lastResponseTime = shutdownReadTimeout + 50*time.Millisecond
	// lingerTimeout and maxLingerBytes limit how much of a rejected request is read
	// and discarded after its response. net/http waits as long.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
	// acceptRetryDelay is the delay after Accept has failed, for example because no
	// file descriptor was free.
	acceptRetryDelay = 20 * time.Millisecond
	// placeTimeout is how long an accepted connection may wait until others yield. Those
	// without progress do after a second.
	placeTimeout       = 1200 * time.Millisecond
	placeRetryInterval = 50 * time.Millisecond
	// minTransferRate is the minimum rate, in bytes per second, at which a client
	// must send a body or receive a response, after the time allowed for a header.
	// Even 2G mobile links are faster.
	minTransferRate = 4 << 10
)

// Handler returns the response to a request, or nil to close the connection
// without one. The context is cancelled when the connection ends.
type Handler func(ctx context.Context, r *http.Request) *Response

// ServerOptions configures a Server.
type ServerOptions struct {
	Handler Handler
	// Limits returns the limits currently in force.
	Limits func() Limits
	// MaxConns limits the open connections; zero means no limit. Accepting one more
	// closes another one in the order of holdings: idle ones first, then those whose
	// request or response makes no progress. If there is none, the new one is closed
	// after a while.
	MaxConns int
	// Account limits the bytes of requests and responses; nil means no limit.
	Account *holdings.Account
	// OnRefused is called for each request that is refused before the handler has seen
	// it, with ErrMemoryFull, ErrStalled, or what else is wrong. It may be nil.
	OnRefused func(err error)
	// OnPanic is called when the handler has panicked. It may be nil.
	OnPanic func(r *http.Request, err error)
	// Write writes the body of a response. If nil, the body is written directly.
	Write func(ctx context.Context, out io.Writer, body []byte, booking *link.Booking) error
}

// Limits limits the size of requests and the time in which they must arrive.
type Limits struct {
	// HeaderTimeout limits the time from the first byte of a request to the end of
	// its header, IdleTimeout the time between requests.
	HeaderTimeout, IdleTimeout time.Duration
	// HeaderBytes limits a header, BodyBytes a body; zero BodyBytes means no limit.
	HeaderBytes, BodyBytes int64
}

// Server serves HTTP/1.1 requests. Unlike the server of net/http, it handles
// pipelined requests concurrently and sends their responses in request order.
type Server struct {
	options ServerOptions
	// places is the account of the connections, or nil.
	places *holdings.Account

	// serveCalls waits for the calls of Serve in progress. stopAccepting makes them
	// return.
	serveCalls    sync.WaitGroup
	stopAccepting atomic.Bool

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*serverConn]struct{}
	// closing is set once Shutdown has closed the listeners.
	closing bool
}

// NewServer returns a server that accepts connections once Serve is called.
func NewServer(options ServerOptions) *Server {
	server := &Server{options: options, conns: map[*serverConn]struct{}{}}
	if options.MaxConns > 0 {
		server.places = holdings.New(int64(options.MaxConns))
	}
	return server
}

// Serve accepts connections on the listener until Shutdown is called, and then
// returns http.ErrServerClosed.
func (s *Server) Serve(listener net.Listener) error {
	if tcp, ok := listener.(*net.TCPListener); ok {
		listener = NewGracefulListener(tcp)
	}
	s.mu.Lock()
	if s.stopAccepting.Load() {
		s.mu.Unlock()
		return errors.Join(http.ErrServerClosed, listener.Close())
	}
	s.listeners = append(s.listeners, listener)
	s.serveCalls.Add(1)
	s.mu.Unlock()
	defer s.serveCalls.Done()
	for {
		inner, err := listener.Accept()
		switch {
		case err == nil:
		case s.stopAccepting.Load():
			return http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			time.Sleep(acceptRetryDelay)
			continue
		}
		if conn := s.place(inner); conn != nil {
			s.mu.Lock()
			s.conns[conn] = struct{}{}
			s.mu.Unlock()
			go conn.serve()
		}
	}
}

// place returns the accepted connection once there is room for it, or closes it and
// returns nil. Others wait in the kernel's accept queue meanwhile.
func (s *Server) place(inner net.Conn) *serverConn {
	for deadline := time.Now().Add(placeTimeout); ; time.Sleep(placeRetryInterval) {
		if conn := newServerConn(s, inner); conn != nil {
			return conn
		}
		if s.stopAccepting.Load() || time.Now().After(deadline) {
			_ = inner.Close()
			return nil
		}
	}
}

// Shutdown stops accepting connections, waits for received requests to finish, and
// closes all connections. Connections in the kernel's accept queue are served
// first, because closing the listener would reset them and the requests on them.
func (s *Server) Shutdown(ctx context.Context) error {
	s.drainListeners(ctx)
	s.mu.Lock()
	s.closing = true
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	for conn := range s.conns {
		// Unblocks readers that wait for the next request.
		_ = conn.conn.SetReadDeadline(time.Now().Add(shutdownReadTimeout))
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		openConns := len(s.conns)
		s.mu.Unlock()
		if openConns == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownPollInterval):
		}
	}
}

// drainListeners lets Serve accept the connections in the kernel's accept queue,
// closes the listeners and waits until Serve has returned. It ends lastResponseTime before
// the context's deadline, even if clients still connect.
func (s *Server) drainListeners(ctx context.Context) {
	if deadline, found := ctx.Deadline(); found {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-lastResponseTime))
		defer cancel()
	}
	s.mu.Lock()
	s.stopAccepting.Store(true)
	listeners := s.listeners
	s.mu.Unlock()
	for _, listener := range listeners {
		if graceful, ok := listener.(*GracefulListener); ok && graceful.Stop(ctx) == nil {
			continue
		}
		_ = listener.Close()
	}
	s.serveCalls.Wait()
}

// Connections returns the account of the connections, or nil if there is no limit.
func (s *Server) Connections() *holdings.Account { return s.places }

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}
