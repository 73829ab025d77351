package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"marjoramsaddle/core/contain"
	"marjoramsaddle/core/link"
)

const (
	// maxPipelined limits the requests of one connection that are handled
	// concurrently. Further ones stay unread.
	maxPipelined = 16
	// maxBufferedBody is the size below which a request body is read in full before
	// the request is handled, so that the next request can be read meanwhile.
	maxBufferedBody = 256 << 10
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
	// closes the connection that has been idle longest.
	MaxConns int
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
	return &Server{options: options, conns: map[*serverConn]struct{}{}}
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
		conn := newServerConn(s, NewConn(inner))
		s.mu.Lock()
		s.closeLongestIdle()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go conn.serve()
	}
}

// closeLongestIdle closes the connection that has been idle longest if MaxConns is
// reached. Connections with requests in progress are never closed, so the number
// of connections can exceed MaxConns for a while. The caller holds mu.
func (s *Server) closeLongestIdle() {
	if s.options.MaxConns <= 0 || len(s.conns) < s.options.MaxConns {
		return
	}
	var longestIdle *serverConn
	for conn := range s.conns {
		since := conn.idleSince.Load()
		if since != 0 && (longestIdle == nil || since < longestIdle.idleSince.Load()) {
			longestIdle = conn
		}
	}
	if longestIdle != nil {
		// It stays in conns until it has ended, but is not selected again.
		longestIdle.idleSince.Store(0)
		_ = longestIdle.conn.Close()
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

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// serverConn is a connection that a client has opened. One goroutine reads requests
// and handles those whose body is streamed, one writes responses, and each request
// whose body is buffered is handled in its own.
type serverConn struct {
	server        *Server
	conn          *Conn
	limitedReader *io.LimitedReader
	reader        *bufio.Reader
	writer        *bufio.Writer
	// pending holds a channel for each outstanding response, in request order.
	pending chan chan *Response
	// idleSince is when the connection became idle, in Unix nanoseconds, or zero
	// while a request is in progress.
	idleSince atomic.Int64
	// unsentResponses counts the responses that are neither sent nor dropped.
	unsentResponses atomic.Int64
	// hasUnreadInput is set, before the response is queued, if part of a rejected
	// request was not read. Closing the connection would then reset it.
	hasUnreadInput atomic.Bool
	ctx            context.Context //nolint:containedctx // It lasts as long as the connection.
	cancel         context.CancelCauseFunc
}

func newServerConn(server *Server, conn *Conn) *serverConn {
	limitedReader := &io.LimitedReader{R: conn}
	c := &serverConn{
		server: server, conn: conn, limitedReader: limitedReader,
		reader:  bufio.NewReaderSize(limitedReader, bufferSize),
		writer:  bufio.NewWriterSize(conn, bufferSize),
		pending: make(chan chan *Response, maxPipelined),
	}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.idleSince.Store(time.Now().UnixNano())
	return c
}

// reserveResponse queues a channel for the next response and returns it. It marks
// the connection as active.
func (c *serverConn) reserveResponse() chan *Response {
	c.unsentResponses.Add(1)
	c.idleSince.Store(0)
	response := make(chan *Response, 1)
	c.pending <- response
	return response
}

// responseDone records that a response was sent or dropped. After the last one the
// connection is idle.
func (c *serverConn) responseDone() {
	if c.unsentResponses.Add(-1) == 0 {
		c.idleSince.Store(time.Now().UnixNano())
	}
}

// serve handles the requests of the connection until it ends.
func (c *serverConn) serve() {
	go func() {
		<-c.conn.Done()
		c.cancel(ErrPeerClosed)
	}()
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		c.writeLoop()
	}()
	err := contain.Panics(func() error {
		c.readLoop()
		return nil
	})
	if err != nil {
		c.server.reportPanic(&http.Request{}, err)
	}
	close(c.pending)
	<-writerDone
	_ = c.conn.Close()
	c.cancel(nil)
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
}

// close closes the connection. Closing with unread input would reset it and lose
// the response in transit, so such input is first read and discarded for a while.
func (c *serverConn) close() {
	if closeWriter, ok := c.conn.Conn.(interface{ CloseWrite() error }); ok && c.hasUnreadInput.Load() && closeWriter.CloseWrite() == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		// The result does not matter, since the connection is closed next.
		_, _ = io.CopyN(io.Discard, c.conn, maxLingerBytes)
	}
	_ = c.conn.Close()
}

// readLoop reads and dispatches requests until the connection ends or the server
// shuts down.
func (c *serverConn) readLoop() {
	for {
		request, err := c.readRequest()
		if err != nil {
			c.reject(err)
			return
		}
		last := request.Close || request.ProtoMajor == 1 && request.ProtoMinor == 0
		if !c.dispatch(request) || last {
			return
		}
	}
}

// readRequest reads the header of the next request. During shutdown it waits only
// shutdownReadTimeout for one.
func (c *serverConn) readRequest() (*http.Request, error) {
	limits := c.server.options.Limits()
	c.limitedReader.N = limits.HeaderBytes + bufferSize
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	if c.server.isClosing() {
		_ = c.conn.SetReadDeadline(time.Now().Add(shutdownReadTimeout))
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, errNoFurtherRequest
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		if c.limitedReader.N <= 0 {
			return nil, errRequestHeaderTooLarge
		}
		return nil, err
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	c.limitedReader.N = math.MaxInt64
	if request.Host == "" && request.ProtoAtLeast(1, 1) {
		return nil, errMissingHost
	}
	return request, nil
}

var (
	errNoFurtherRequest      = errors.New("http1: connection ended without a further request")
	errRequestHeaderTooLarge = errors.New("http1: request header exceeds the limit")
	errRequestBodyTooLarge   = errors.New("http1: request body exceeds the limit")
	errMissingHost           = errors.New("http1: request has no Host header")
)

// reject responds to malformed, oversized and late requests, none of which has
// run. A connection that ends between requests or within one gets no response.
func (c *serverConn) reject(err error) {
	status := http.StatusBadRequest
	var netErr net.Error
	switch {
	case errors.Is(err, errNoFurtherRequest), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return
	case errors.As(err, &netErr):
		if !netErr.Timeout() {
			return
		}
		status = http.StatusRequestTimeout
	case errors.Is(err, errRequestHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errRequestBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	c.hasUnreadInput.Store(true)
	c.reserveResponse() <- &Response{Status: status, Header: http.Header{"Connection": {"close"}}}
}

// dispatch starts handling a request and reports whether the next one can be read.
func (c *serverConn) dispatch(request *http.Request) bool {
	maxBodyBytes := c.server.options.Limits().BodyBytes
	if maxBodyBytes > 0 && request.ContentLength > maxBodyBytes {
		// The handler rejects it based on its Content-Length.
		c.hasUnreadInput.Store(true)
		c.reserveResponse() <- c.handle(request)
		return false
	}
	if request.Header.Get("Expect") != "" {
		// Responses to earlier requests go first, so it takes its turn among them.
		c.reserveResponse() <- &Response{Status: http.StatusContinue}
	}
	buffered, err := c.bufferBody(request)
	if err != nil {
		c.reject(err)
		return false
	}
	if buffered {
		response := c.reserveResponse()
		go func() { response <- c.handle(request) }()
		return true
	}
	// The handler may replace the body of the request.
	body, streamed := request.Body.(*streamedBody)
	c.reserveResponse() <- c.handle(request)
	return !streamed || body.discard() == nil
}

// handle calls the handler and turns a panic into a 502 response, so that one
// request cannot end the process. The request may have run before the panic.
func (c *serverConn) handle(request *http.Request) (response *Response) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	err := contain.Panics(func() error {
		response = c.server.options.Handler(ctx, request)
		return nil
	})
	if err == nil {
		return response
	}
	c.server.reportPanic(request, err)
	return &Response{Status: http.StatusBadGateway, Header: http.Header{"Connection": {"close"}}}
}

func (s *Server) reportPanic(request *http.Request, err error) {
	if s.options.OnPanic != nil {
		s.options.OnPanic(request, err)
	}
}

// writeLoop sends responses in request order. After a failed write, a nil response
// or one with "Connection: close" it closes the connection, which ends the read
// loop and cancels the requests in progress.
func (c *serverConn) writeLoop() {
	open := true
	for next := range c.pending {
		response := <-next
		if open && (response == nil || c.send(response) != nil || response.Header.Get("Connection") == "close") {
			open = false
			c.close()
		}
		if response != nil {
			response.Booking.Close()
		}
		c.responseDone()
	}
}

// send writes the response. The time allowed for it grows with the body.
func (c *serverConn) send(response *Response) error {
	if response.Status == http.StatusContinue {
		return c.sendContinue()
	}
	header := response.Header
	transferTime := time.Duration(float64(len(response.Body)) / minTransferRate * float64(time.Second))
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.server.options.Limits().IdleTimeout + transferTime))
	if response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	reason := http.StatusText(response.Status)
	if _, err := c.writer.WriteString("HTTP/1.1 " + strconv.Itoa(response.Status) + " " + reason + "\r\n"); err != nil {
		return err
	}
	if err := header.Write(c.writer); err != nil {
		return err
	}
	if _, err := c.writer.WriteString("\r\n"); err != nil {
		return err
	}
	if err := c.server.writeBody(c.ctx, c.writer, response); err != nil {
		return err
	}
	return c.writer.Flush()
}

// sendContinue asks the client for the body of a request.
func (c *serverConn) sendContinue() error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.server.options.Limits().IdleTimeout))
	if _, err := c.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return c.writer.Flush()
}

func (s *Server) writeBody(ctx context.Context, out io.Writer, response *Response) error {
	if s.options.Write != nil {
		return s.options.Write(ctx, out, response.Body, response.Booking)
	}
	_, err := out.Write(response.Body)
	return err
}
