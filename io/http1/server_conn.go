package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"marjoramsaddle/core/contain"
	"marjoramsaddle/core/holdings"
)

// memoryRetryAfter is the time in seconds after which a request for which there was no
// memory may be sent again. Stalled ones have yielded by then.
const memoryRetryAfter = "1.000"

// serverConn is a connection that a client has opened. One goroutine reads requests
// and handles those whose body is streamed, one writes responses, and each request
// whose body is buffered is handled in its own.
type serverConn struct {
	server        *Server
	conn          *Conn
	limitedReader *io.LimitedReader
	reader        *bufio.Reader
	writer        *bufio.Writer
	pipeline      *pipeline
	client        holdings.Client
	// inner is the connection below conn.
	inner net.Conn
	// slot is the connection's place among the others of the server, or nil.
	slot     *holdings.Reservation
	activity activity
	// progress is the writer below writer.
	progress *ProgressWriter
	// holding is the memory of the request that is being read, headerBytes how much of its
	// header has been read. They belong to readLoop while readingHeader is set.
	holding     *Holding
	headerBytes int
	// headerLines counts the lines of that header.
	headerLines int
	headerErr   error
	// sinceMoved counts the bytes read since the last progress of slot. It belongs to whoever
	// reads from the connection.
	sinceMoved    int
	readingHeader bool
	// hasUnreadInput is set, before the response is queued, if part of a rejected
	// request was not read, and when the pipeline has ended. Closing the connection would
	// then reset it.
	hasUnreadInput atomic.Bool
	// awaitsRequest is set while the read loop waits for a request or receives one.
	awaitsRequest atomic.Bool
	// readerDone is closed once readLoop has returned.
	readerDone chan struct{}
	ctx        context.Context //nolint:containedctx // It lasts as long as the connection.
	cancel     context.CancelCauseFunc
}

// newServerConn returns the connection, or nil if there is no room for it.
func newServerConn(server *Server, inner net.Conn) *serverConn {
	c := &serverConn{
		server: server, inner: inner, pipeline: newPipeline(), client: ClientOf(inner.RemoteAddr().String()),
		readerDone: make(chan struct{}),
	}
	var granted bool
	c.slot, granted = server.places.Reserve(holdings.Request{
		Purpose: holdings.Connection, Client: c.client, Amount: 1, At: Clock(), State: holdings.Idle, Yield: c.yieldPlace,
	})
	if !granted {
		return nil
	}
	c.conn = newConn(inner, server.options.Account, c.slot)
	c.activity.slot = c.slot
	c.limitedReader = &io.LimitedReader{R: (*headerReader)(c)}
	c.reader = bufio.NewReaderSize(c.limitedReader, bufferSize)
	c.progress = &ProgressWriter{Out: c.conn, SetDeadline: c.conn.SetWriteDeadline, OnProgress: func() { c.slot.Moved(Clock()) }}
	c.writer = bufio.NewWriterSize(c.progress, bufferSize)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// yieldPlace gives up the connection for another one.
func (c *serverConn) yieldPlace() {
	if c.slot.State() != holdings.Receiving {
		_ = c.inner.Close()
		return
	}
	c.conn.AbortReads()
}

// reserveResponse queues a channel for the next response and returns it. It marks
// the connection as active. It returns false if no further request may begin.
func (c *serverConn) reserveResponse() (chan<- *Response, bool) {
	response, reserved := c.pipeline.reserve()
	if reserved {
		c.activity.add(1)
		c.pipeline.push(response)
	}
	return response, reserved
}

// queueResponse queues a response that is known already, and reports whether it did.
func (c *serverConn) queueResponse(response *Response) bool {
	queued, reserved := c.reserveResponse()
	if reserved {
		queued <- response
	}
	return reserved
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
	close(c.readerDone)
	close(c.pipeline.queue)
	<-writerDone
	_ = c.conn.Close()
	c.cancel(nil)
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
}

// closeAfterLast closes the connection after its last response, once the read loop has
// read the rest of that request. Closing with unread input would reset the connection and
// lose the response in transit, so such input is then read and discarded for a while.
func (c *serverConn) closeAfterLast() {
	if c.awaitsRequest.Load() {
		c.conn.AbortReads()
	}
	<-c.readerDone
	if closeWriter, ok := c.conn.Conn.(interface{ CloseWrite() error }); ok && c.hasUnreadInput.Load() && closeWriter.CloseWrite() == nil {
		c.conn.setAborted(false)
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		// The result does not matter, since the connection is closed next.
		_, _ = io.CopyN(io.Discard, c.conn, maxLingerBytes)
	}
	_ = c.conn.Close()
}

// readLoop reads and dispatches requests until the connection ends or the server
// shuts down.
func (c *serverConn) readLoop() {
	defer func() {
		c.holding.Release()
		c.pipeline.end()
	}()
	for c.serveNext() {
		c.holding.Release()
		c.holding = nil
	}
}

// serveNext reads and dispatches a request, and reports whether another one may follow.
func (c *serverConn) serveNext() bool {
	defer c.activity.setReceiving(false)
	request, err := c.readRequest()
	if err != nil {
		c.reject(err)
		return false
	}
	return c.dispatch(request) && !isLastRequest(request)
}

// isLastRequest reports whether the client closes the connection after the request.
func isLastRequest(request *http.Request) bool {
	return request.Close || request.ProtoMajor == 1 && request.ProtoMinor == 0
}

// readRequest reads the header of the next request. During shutdown it waits only
// shutdownReadTimeout for one.
func (c *serverConn) readRequest() (*http.Request, error) {
	c.awaitsRequest.Store(true)
	if c.pipeline.hasEnded() {
		return nil, errNoFurtherRequest
	}
	c.conn.trim()
	limits := c.server.options.Limits()
	c.limitedReader.N = limits.HeaderBytes + bufferSize
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	if c.server.isClosing() {
		_ = c.conn.SetReadDeadline(time.Now().Add(shutdownReadTimeout))
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, errNoFurtherRequest
	}
	// Until serveNext returns.
	c.activity.setReceiving(true)
	var err error
	if c.holding, err = NewHolding(c.server.options.Account, c.client, c.conn.AbortReads); err != nil {
		return nil, err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.readingHeader, c.headerBytes, c.headerLines, c.headerErr = true, 0, 0, nil
	request, err := http.ReadRequest(c.reader)
	c.readingHeader = false
	if err != nil {
		if c.limitedReader.N <= 0 {
			return nil, errRequestHeaderTooLarge
		}
		return nil, c.headerError(err)
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	c.limitedReader.N = math.MaxInt64
	if request.Host == "" && request.ProtoAtLeast(1, 1) {
		return nil, errMissingHost
	}
	return request, nil
}

// headerError returns why a header could not be read. A header that ends within a line
// for want of time or memory looks malformed to net/http.
func (c *serverConn) headerError(err error) error {
	switch {
	case c.headerErr != nil:
		return c.headerErr
	case c.conn.timedOut():
		return c.holding.refused(os.ErrDeadlineExceeded)
	default:
		return err
	}
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
	status, header := http.StatusBadRequest, http.Header{"Connection": {"close"}}
	var netErr net.Error
	switch {
	case errors.Is(err, ErrMemoryFull):
		status = http.StatusServiceUnavailable
		header.Set("Retry-After", memoryRetryAfter)
	case errors.Is(err, ErrStalled):
		status = http.StatusRequestTimeout
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
	if c.server.options.OnRefused != nil {
		c.server.options.OnRefused(err)
	}
	c.hasUnreadInput.Store(true)
	c.queueResponse(&Response{Status: status, Header: header})
}

// dispatch starts handling a request and reports whether the next one can be read.
func (c *serverConn) dispatch(request *http.Request) bool {
	maxBodyBytes := c.server.options.Limits().BodyBytes
	if maxBodyBytes > 0 && request.ContentLength > maxBodyBytes {
		// The handler rejects it based on its Content-Length.
		c.hasUnreadInput.Store(true)
		if response, reserved := c.reserveResponse(); reserved {
			c.awaitsRequest.Store(false)
			c.pipeline.end()
			response <- c.handle(request, nil)
		}
		return false
	}
	// Responses to earlier requests go first, so it takes its turn among them.
	if request.Header.Get("Expect") != "" && !c.queueResponse(&Response{Status: http.StatusContinue}) {
		return false
	}
	buffered, err := c.bufferBody(request)
	if err != nil {
		c.reject(err)
		return false
	}
	response, reserved := c.reserveResponse()
	if !reserved {
		return false
	}
	c.awaitsRequest.Store(false)
	if isLastRequest(request) {
		c.pipeline.end()
	}
	holding := c.holding
	// handle releases it.
	c.holding = nil
	holding.Complete()
	if buffered {
		go func() { response <- c.handle(request, holding) }()
		return true
	}
	// The handler may replace the body of the request.
	body, streamed := request.Body.(*streamedBody)
	response <- c.handle(request, holding)
	return !streamed || body.discard() == nil
}

// handle calls the handler and turns a panic into a 502 response, so that one
// request cannot end the process. The request may have run before the panic. It releases
// what the request holds, except the memory of the response.
func (c *serverConn) handle(request *http.Request, holding *Holding) (response *Response) {
	defer holding.Release()
	ctx, owner := WithOwner(c.ctx)
	defer func() {
		if response != nil {
			owner.Detach(response.Held)
		}
		owner.Close()
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := contain.Panics(func() error {
		response = c.server.options.Handler(ctx, request)
		return nil
	})
	if err == nil {
		return response
	}
	response = nil
	c.server.reportPanic(request, err)
	return &Response{Status: http.StatusBadGateway, Header: http.Header{"Connection": {"close"}}}
}

func (s *Server) reportPanic(request *http.Request, err error) {
	if s.options.OnPanic != nil {
		s.options.OnPanic(request, err)
	}
}

// writeLoop sends responses in request order. After a failed write, a nil response
// or the last response of the connection it closes the connection, which ends the read
// loop and cancels the requests in progress.
func (c *serverConn) writeLoop() {
	open := true
	for next := range c.pipeline.queue {
		response := <-next
		last := false
		if open {
			last = c.endsPipeline(response)
			if open = c.respond(response, last); !open {
				_ = c.conn.Close()
			}
		}
		if response != nil {
			response.Booking.Close()
			response.Held.Release()
		}
		c.pipeline.done()
		c.activity.add(-1)
		if open && last {
			c.closeAfterLast()
			return
		}
	}
}

// endsPipeline reports whether the response is the last one of the connection. One with
// "Connection: close" ends the pipeline instead of the connection: requests behind it have
// begun, and their responses would be lost. The last of these closes the connection.
func (c *serverConn) endsPipeline(response *Response) bool {
	if response != nil && response.Header.Get("Connection") == "close" {
		c.pipeline.end()
		c.hasUnreadInput.Store(true)
	}
	return c.pipeline.isLast()
}

// respond sends a response and reports whether the connection is still usable.
func (c *serverConn) respond(response *Response, last bool) bool {
	switch {
	case response == nil, last && response.Status == http.StatusContinue:
		return false
	case last:
		response.Header.Set("Connection", "close")
	default:
		response.Header.Del("Connection")
	}
	return c.send(response) == nil
}

// send writes the response. The time allowed for it grows with the body.
func (c *serverConn) send(response *Response) error {
	if response.Status == http.StatusContinue {
		return c.sendContinue()
	}
	header := response.Header
	response.Held.Assign(c.client, func() { _ = c.inner.Close() })
	c.beginSending(response)
	defer c.activity.setSending(false)
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

// beginSending prepares the writer for a response. The time allowed for it grows with the
// body.
func (c *serverConn) beginSending(response *Response) {
	idle := c.server.options.Limits().IdleTimeout
	transferTime := time.Duration(float64(len(response.Body)) / minTransferRate * float64(time.Second))
	c.progress.PartTimeout, c.progress.Deadline = idle, time.Now().Add(idle+transferTime)
	c.progress.Held = response.Held
	c.activity.setSending(true)
}

// sendContinue asks the client for the body of a request.
func (c *serverConn) sendContinue() error {
	c.beginSending(&Response{})
	defer c.activity.setSending(false)
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
