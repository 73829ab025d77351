package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

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
)

// Handler returns the answer to a request, or nil to close the connection
// without one. The context ends with the connection.
type Handler func(ctx context.Context, r *http.Request) *Answer

// ServerOptions of a Server.
type ServerOptions struct {
	Handler Handler
	// HeaderTimeout bounds the time from the first byte of a request to the end
	// of its header, and IdleTimeout the time between requests.
	HeaderTimeout, IdleTimeout time.Duration
	// MaxHeader bounds the size of a header in bytes.
	MaxHeader int64
	// Write writes the body of an answer; nil writes it at once.
	Write func(ctx context.Context, out io.Writer, body []byte, booking *link.Booking) error
}

// Server accepts HTTP/1.1 requests. Unlike the server of net/http it works on
// the requests that a client has pipelined at the same time, and sends the
// answers in the order of the requests.
type Server struct {
	options ServerOptions

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
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	for {
		inner, err := listener.Accept()
		if err != nil {
			s.mu.Lock()
			closing := s.closing
			s.mu.Unlock()
			if closing {
				return http.ErrServerClosed
			}
			return err
		}
		conn := newServerConn(s, NewConn(inner))
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go conn.run()
	}
}

// Shutdown stops accepting, lets the requests that were read end, and closes
// all connections.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	for conn := range s.conns {
		// A reader that waits for the next request ends.
		_ = conn.conn.SetReadDeadline(time.Now())
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
	pending chan chan *Answer
	ctx     context.Context //nolint:containedctx // It is the life of the connection.
	cancel  context.CancelCauseFunc
}

func newServerConn(server *Server, conn *Conn) *serverConn {
	limit := &io.LimitedReader{R: conn}
	c := &serverConn{
		server: server, conn: conn, limit: limit,
		reader:  bufio.NewReaderSize(limit, bufferSize),
		writer:  bufio.NewWriterSize(conn, bufferSize),
		pending: make(chan chan *Answer, pipelineDepth),
	}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
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

// read takes in requests until the connection or the server ends.
func (c *serverConn) read() {
	for !c.server.stopped() {
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

// next reads the header of the next request.
func (c *serverConn) next() (*http.Request, error) {
	options := &c.server.options
	c.limit.N = options.MaxHeader + bufferSize
	_ = c.conn.SetReadDeadline(time.Now().Add(options.IdleTimeout))
	if c.server.stopped() {
		return nil, http.ErrServerClosed
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, errIdle
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(options.HeaderTimeout))
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		if c.limit.N <= 0 {
			return nil, errHeaderTooLong
		}
		return nil, err
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	c.limit.N = 1<<63 - 1
	if request.Host == "" && request.ProtoAtLeast(1, 1) {
		return nil, errNoHost
	}
	return request, nil
}

var (
	errIdle          = errors.New("http1: no further request")
	errHeaderTooLong = errors.New("http1: the header is longer than the limit")
	errNoHost        = errors.New("http1: the request names no host")
)

// reject answers bytes that are no request. A connection that ends between two
// requests, or within one, gets no answer.
func (c *serverConn) reject(err error) {
	status := http.StatusBadRequest
	var timeout net.Error
	switch {
	case errors.Is(err, errIdle), errors.Is(err, http.ErrServerClosed), errors.Is(err, io.EOF),
		errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		return
	case errors.Is(err, errHeaderTooLong):
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	answer := make(chan *Answer, 1)
	answer <- &Answer{Status: status, Header: http.Header{"Connection": {"close"}}}
	c.pending <- answer
}

// take starts to work on a request and reports whether the next one can be
// read.
func (c *serverConn) take(request *http.Request) bool {
	if request.Header.Get("Expect") != "" && len(c.pending) == 0 {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false
		}
	}
	whole, err := c.readBody(request)
	if err != nil {
		return false
	}
	answer := make(chan *Answer, 1)
	c.pending <- answer
	if whole {
		go func() { answer <- c.handle(request) }()
		return true
	}
	answer <- c.handle(request)
	// What the handler has left of a long body separates it from the next
	// request.
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// handle keeps a fault of one request from ending the process.
func (c *serverConn) handle(request *http.Request) (answer *Answer) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	return c.server.options.Handler(ctx, request)
}

// readBody reads a short body whole.
func (c *serverConn) readBody(request *http.Request) (whole bool, err error) {
	if request.Body == nil || request.Body == http.NoBody {
		return true, nil
	}
	data, err := io.ReadAll(io.LimitReader(request.Body, wholeBody))
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
	}{io.MultiReader(bytes.NewReader(data), request.Body), request.Body}
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
			_ = c.conn.Close()
		}
		if answer != nil {
			answer.Booking.Close()
		}
	}
}

func (c *serverConn) send(answer *Answer) error {
	header := answer.Header
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

func (s *Server) write(ctx context.Context, out io.Writer, answer *Answer) error {
	if s.options.Write != nil {
		return s.options.Write(ctx, out, answer.Body, answer.Booking)
	}
	_, err := out.Write(answer.Body)
	return err
}
