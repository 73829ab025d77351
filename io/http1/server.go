package http1

import (
	"bufio"
	"bytes"
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
	// pipelineDepth bounds the requests of one connection that are worked on at
	// a time; further ones wait in the connection.
	pipelineDepth = 16
	// wholeBody is the size up to which a request body is read before the
	// request is handled, so that the next request can be read meanwhile.
	wholeBody = 256 << 10
	// shutdownPoll is how often Shutdown looks whether connections have ended.
	shutdownPoll = 5 * time.Millisecond
	// shutdownRead is how long Shutdown waits for requests that are on their way
	// on connections that the kernel or the server has accepted. A busy host may
	// take a part of it to run the goroutine that reads.
	shutdownRead = 250 * time.Millisecond
	// lingerTime and lingerBytes bound what is taken of a refused request after
	// its answer. net/http lingers as long.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
	// acceptPause is how long no connection is accepted after a failure, such as
	// want of descriptors.
	acceptPause = 20 * time.Millisecond
	// leastRate is the rate in bytes per second at which a body has to arrive and
	// an answer has to be taken, after the time that is allowed for a header.
	// Mobile links of the second generation are faster.
	leastRate = 4 << 10
)

// Handler returns the answer to a request, or nil to close the connection
// without one. The context ends with the connection.
type Handler func(ctx context.Context, r *http.Request) *Response

// ServerOptions of a Server.
type ServerOptions struct {
	Handler Handler
	// Limits returns what clients may send now.
	Limits func() Limits
	// MaxConns bounds the connections; zero is unlimited. One more closes the
	// connection that has waited longest for its client.
	MaxConns int
	// OnPanic is told of a panic of the handler, if set.
	OnPanic func(r *http.Request, err error)
	// Write writes the body of an answer; nil writes it at once.
	Write func(ctx context.Context, out io.Writer, body []byte, booking *link.Booking) error
}

// Limits bound what a client may send, and how long it may take.
type Limits struct {
	// HeaderTimeout bounds the time from the first byte of a request to the end
	// of its header, and IdleTimeout the time between requests.
	HeaderTimeout, IdleTimeout time.Duration
	// HeaderBytes bounds a header. BodyBytes bounds a body; zero is unlimited.
	HeaderBytes, BodyBytes int64
}

// Server accepts HTTP/1.1 requests. Unlike the server of net/http it works on
// the requests that a client has pipelined at the same time, and sends the
// answers in the order of the requests.
type Server struct {
	options ServerOptions

	// accepting counts the calls of Serve that accept, and ending is set when they
	// are to end.
	accepting sync.WaitGroup
	ending    atomic.Bool

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*serverConn]struct{}
	closing   bool
}

// NewServer returns a server that listens nowhere yet.
func NewServer(options ServerOptions) *Server {
	return &Server{options: options, conns: map[*serverConn]struct{}{}}
}

// Serve accepts connections until Shutdown, after which it returns
// http.ErrServerClosed.
func (s *Server) Serve(listener net.Listener) error {
	if tcp, ok := listener.(*net.TCPListener); ok {
		listener = NewGracefulListener(tcp)
	}
	s.mu.Lock()
	if s.ending.Load() {
		s.mu.Unlock()
		return errors.Join(http.ErrServerClosed, listener.Close())
	}
	s.listeners = append(s.listeners, listener)
	s.accepting.Add(1)
	s.mu.Unlock()
	defer s.accepting.Done()
	for {
		inner, err := listener.Accept()
		switch {
		case err == nil:
		case s.ending.Load():
			return http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			time.Sleep(acceptPause)
			continue
		}
		conn := newServerConn(s, NewConn(inner))
		s.mu.Lock()
		s.makeRoom()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go conn.run()
	}
}

// makeRoom closes the connection that has waited longest for its client, when
// there are as many as are allowed. Connections with requests at work are never
// closed, so there may be more of them for a while.
func (s *Server) makeRoom() {
	if s.options.MaxConns <= 0 || len(s.conns) < s.options.MaxConns {
		return
	}
	var longest *serverConn
	for conn := range s.conns {
		since := conn.waiting.Load()
		if since != 0 && (longest == nil || since < longest.waiting.Load()) {
			longest = conn
		}
	}
	if longest != nil {
		// It counts until it has ended, but is not chosen again.
		longest.waiting.Store(0)
		_ = longest.conn.Close()
	}
}

// Shutdown stops accepting, lets the requests end that have arrived, and closes
// all connections. Connections that the kernel has accepted are served first:
// closing a listener resets them, and with them requests that clients have sent.
func (s *Server) Shutdown(ctx context.Context) error {
	s.acceptLast(ctx)
	s.mu.Lock()
	s.closing = true
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	for conn := range s.conns {
		// A reader that waits for the next request ends.
		_ = conn.conn.SetReadDeadline(time.Now().Add(shutdownRead))
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		open := len(s.conns)
		s.mu.Unlock()
		if open == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownPoll):
		}
	}
}

// acceptLast lets Serve take the connections that the kernel has accepted, and
// ends it.
func (s *Server) acceptLast(ctx context.Context) {
	s.mu.Lock()
	s.ending.Store(true)
	listeners := s.listeners
	s.mu.Unlock()
	for _, listener := range listeners {
		if graceful, ok := listener.(*GracefulListener); ok && graceful.Stop(ctx) == nil {
			continue
		}
		_ = listener.Close()
	}
	s.accepting.Wait()
}

func (s *Server) stopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// serverConn is one connection of a client. One goroutine reads requests, one
// writes answers, and each request has its own.
type serverConn struct {
	server *Server
	conn   *Conn
	limit  *io.LimitedReader
	reader *bufio.Reader
	writer *bufio.Writer
	// pending holds the answers to come, in the order of the requests.
	pending chan chan *Response
	// waiting is since when the client has to send, in Unix nanoseconds; zero
	// while a request is worked on.
	waiting atomic.Int64
	// active counts the requests without an answer that was sent.
	active atomic.Int64
	// unread is set when bytes of a request are left that was refused. It is set
	// before the answer is handed over.
	unread atomic.Bool
	ctx    context.Context //nolint:containedctx // It is the life of the connection.
	cancel context.CancelCauseFunc
}

func newServerConn(server *Server, conn *Conn) *serverConn {
	limit := &io.LimitedReader{R: conn}
	c := &serverConn{
		server: server, conn: conn, limit: limit,
		reader:  bufio.NewReaderSize(limit, bufferSize),
		writer:  bufio.NewWriterSize(conn, bufferSize),
		pending: make(chan chan *Response, pipelineDepth),
	}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.waiting.Store(time.Now().UnixNano())
	return c
}

// expect returns the channel for the next answer.
func (c *serverConn) expect() chan *Response {
	c.active.Add(1)
	c.waiting.Store(0)
	answer := make(chan *Response, 1)
	c.pending <- answer
	return answer
}

// answered notes that an answer has been sent, or cannot be.
func (c *serverConn) answered() {
	if c.active.Add(-1) == 0 {
		c.waiting.Store(time.Now().UnixNano())
	}
}

func (c *serverConn) run() {
	go func() {
		<-c.conn.Ended()
		c.cancel(ErrPeerClosed)
	}()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	c.read()
	close(c.pending)
	<-written
	_ = c.conn.Close()
	c.cancel(nil)
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
}

// close closes the connection. Where bytes are left unread that would reset it,
// and with it the answer on its way, so they are taken for a short while.
func (c *serverConn) close() {
	if half, ok := c.conn.Conn.(interface{ CloseWrite() error }); ok && c.unread.Load() && half.CloseWrite() == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
		// Whatever ends it, the connection is closed next.
		_, _ = io.CopyN(io.Discard, c.conn, lingerBytes)
	}
	_ = c.conn.Close()
}

// read takes in requests until the connection or the server ends.
func (c *serverConn) read() {
	for {
		request, err := c.next()
		if err != nil {
			c.reject(err)
			return
		}
		last := request.Close || request.ProtoMajor == 1 && request.ProtoMinor == 0
		if !c.take(request) || last {
			return
		}
	}
}

// next reads the header of the next request. When the server stops, it takes
// those that have arrived.
func (c *serverConn) next() (*http.Request, error) {
	limits := c.server.options.Limits()
	c.limit.N = limits.HeaderBytes + bufferSize
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	if c.server.stopped() {
		_ = c.conn.SetReadDeadline(time.Now().Add(shutdownRead))
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, errIdle
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		if c.limit.N <= 0 {
			return nil, errHeaderTooLong
		}
		return nil, err
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	c.limit.N = math.MaxInt64
	if request.Host == "" && request.ProtoAtLeast(1, 1) {
		return nil, errNoHost
	}
	return request, nil
}

var (
	errIdle          = errors.New("http1: no further request")
	errHeaderTooLong = errors.New("http1: the header is longer than the limit")
	errBodyTooLong   = errors.New("http1: the body is longer than the limit")
	errNoHost        = errors.New("http1: the request names no host")
)

// reject answers bytes that are no request, and requests that do not arrive
// whole in time. They have not run. A connection that ends between two requests,
// or within one, gets no answer.
func (c *serverConn) reject(err error) {
	status := http.StatusBadRequest
	var network net.Error
	switch {
	case errors.Is(err, errIdle), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return
	case errors.As(err, &network):
		if !network.Timeout() {
			return
		}
		status = http.StatusRequestTimeout
	case errors.Is(err, errHeaderTooLong):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLong):
		status = http.StatusRequestEntityTooLarge
	}
	c.unread.Store(true)
	c.expect() <- &Response{Status: status, Header: http.Header{"Connection": {"close"}}}
}

// take starts to work on a request and reports whether the next one can be
// read.
func (c *serverConn) take(request *http.Request) bool {
	limit := c.server.options.Limits().BodyBytes
	if limit > 0 && request.ContentLength > limit {
		// The handler refuses it by its length.
		c.unread.Store(true)
		c.expect() <- c.handle(request)
		return false
	}
	if request.Header.Get("Expect") != "" && len(c.pending) == 0 {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false
		}
	}
	whole, err := c.readBody(request)
	if err != nil {
		c.reject(err)
		return false
	}
	if whole {
		answer := c.expect()
		go func() { answer <- c.handle(request) }()
		return true
	}
	c.expect() <- c.handle(request)
	// What the handler has left of a long body separates it from the next
	// request.
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// handle keeps a panic in the work on one request from ending the process. The
// request may have run by then.
func (c *serverConn) handle(request *http.Request) (answer *Response) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	err := contain.Panics(func() error {
		answer = c.server.options.Handler(ctx, request)
		return nil
	})
	if err == nil {
		return answer
	}
	if c.server.options.OnPanic != nil {
		c.server.options.OnPanic(request, err)
	}
	return &Response{Status: http.StatusBadGateway, Header: http.Header{"Connection": {"close"}}}
}

// readBody reads a short body whole.
func (c *serverConn) readBody(request *http.Request) (whole bool, err error) {
	if request.Body == nil || request.Body == http.NoBody {
		return true, nil
	}
	limits := c.server.options.Limits()
	body := &pacedBody{conn: c.conn, body: request.Body, limit: limits.BodyBytes, due: time.Now().Add(limits.HeaderTimeout)}
	request.Body = body
	data, err := io.ReadAll(io.LimitReader(body, wholeBody))
	if err != nil {
		return false, err
	}
	if len(data) < wholeBody {
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(data)), int64(len(data))
		return true, nil
	}
	request.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(data), body), body}
	return false, nil
}

// write sends the answers in the order of the requests. After a failure or a
// request without an answer it closes the connection, which ends the reader
// and the requests that are still worked on.
func (c *serverConn) write() {
	open := true
	for next := range c.pending {
		answer := <-next
		if open && (answer == nil || c.send(answer) != nil || answer.Header.Get("Connection") == "close") {
			open = false
			c.close()
		}
		if answer != nil {
			answer.Booking.Close()
		}
		c.answered()
	}
}

func (c *serverConn) send(answer *Response) error {
	header := answer.Header
	allowed := time.Duration(float64(len(answer.Body)) / leastRate * float64(time.Second))
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.server.options.Limits().IdleTimeout + allowed))
	if answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	text := http.StatusText(answer.Status)
	if _, err := c.writer.WriteString("HTTP/1.1 " + strconv.Itoa(answer.Status) + " " + text + "\r\n"); err != nil {
		return err
	}
	if err := header.Write(c.writer); err != nil {
		return err
	}
	if _, err := c.writer.WriteString("\r\n"); err != nil {
		return err
	}
	if err := c.server.write(c.ctx, c.writer, answer); err != nil {
		return err
	}
	return c.writer.Flush()
}

func (s *Server) write(ctx context.Context, out io.Writer, answer *Response) error {
	if s.options.Write != nil {
		return s.options.Write(ctx, out, answer.Body, answer.Booking)
	}
	_, err := out.Write(answer.Body)
	return err
}
