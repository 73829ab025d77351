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
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marjoramsaddle/core/contain"
	"marjoramsaddle/core/holdings"
	"marjoramsaddle/core/link"
)

const (
	// bufferSize is the size of a connection's read and write buffers. Most
	// messages fit.
	bufferSize = 4 << 10
	// maxSkippedResponses is the number of responses to other requests that are
	// skipped before the connection is closed.
	maxSkippedResponses = 2
	// maxInterimResponses is the number of interim (1xx) responses that are skipped
	// before a final one, the same as in net/http.
	maxInterimResponses = 5
	// maxResponseHeader limits the headers of a response in bytes, including those
	// of interim responses. Common servers refuse to write longer ones.
	maxResponseHeader = 64 << 10
	// keepAliveMargin is subtracted from the idle timeout that a server announces,
	// because the server starts its timer before the response arrives here.
	keepAliveMargin = time.Second
)

var (
	// ErrResponseBodyTooLarge is returned for a body longer than MaxBodyBytes.
	ErrResponseBodyTooLarge = errors.New("http1: response body exceeds MaxBodyBytes: check the server or raise the limit")
	// ErrResponseHeaderTooLarge is returned for headers longer than
	// maxResponseHeader.
	ErrResponseHeaderTooLarge = errors.New("http1: response headers exceed 64 KiB: check the server")
	// ErrTooManyInterim is returned after more than maxInterim interim responses.
	ErrTooManyInterim = errors.New("http1: too many interim (1xx) responses: check the server")
	// ErrTooManyConnections is returned if the limit of connections is reached.
	ErrTooManyConnections = errors.New("http1: all connections that the pool may open are in use: retry later or raise the limit")
	// errOtherRequest is returned when all responses belong to other requests.
	errOtherRequest = errors.New("http1: only responses to other requests arrived")
)

// SendError is returned for a request that got no complete response.
type SendError struct {
	// Sent reports whether a byte of the request may have reached the peer. While
	// it is false, the request cannot have run.
	Sent bool
	// Reused reports whether the connection had carried earlier requests.
	Reused bool
	Cause  error
}

// Error says whether the request was sent, and the cause.
func (e *SendError) Error() string {
	if e.Sent {
		return "request sent, but no complete response received: " + e.Cause.Error()
	}
	return "request not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Request is a request that the pool sends without changing its target.
type Request struct {
	Method string
	// Target is the path and query exactly as the client sent them.
	Target string
	Host   string
	Header http.Header
	// Body is the whole body, or nil when Stream is set or there is none.
	Body []byte
	// Stream is a body of Length bytes. A negative Length means unknown.
	Stream io.Reader
	Length int64
	// NewConn sends the request on a new connection although idle ones exist, which may
	// have gone silent.
	NewConn bool
	// OnResponse is called when the header of the response has arrived. It may be nil.
	OnResponse func()
}

// Response is a response whose body has been read in full.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Booking reserves time on the host's link for a large response, or is nil.
	Booking *link.Booking
	// Held is the memory of the body, or nil. The owner in the context of the request
	// releases it unless it is detached.
	Held *holdings.Reservation
}

// PoolOptions configures a Pool.
type PoolOptions struct {
	// DialTimeout limits the time to establish a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// MaxBodyBytes limits the body of a response.
	MaxBodyBytes int64
	// Account limits the bytes of responses, which are reserved for the given purpose if
	// the context has an owner (see WithOwner). Nil means no limit.
	Account *holdings.Account
	Purpose holdings.Purpose
	// Conns limits the connections; nil means no limit. Idle ones yield to new ones.
	Conns *holdings.Account
	// RequestID returns the request ID from the header of a request or response.
	// Responses with another ID are skipped. One without an ID is accepted only as
	// the first on its connection, which is then closed, because a duplicate could
	// not be told from the next response. Nil accepts every response.
	RequestID func(header http.Header) string
	// ExchangeField names a header field in which the pool numbers its requests and
	// which the peer must echo (see EchoHeader). It matches responses to requests
	// where the peer is another daemon, and takes precedence over RequestID.
	ExchangeField string
	// TCPUserTimeout limits how long sent data may stay unacknowledged before the
	// connection fails (TCP_USER_TIMEOUT). It detects cut links. Zero sets none.
	TCPUserTimeout time.Duration
	// DialControl is called before each connection is opened, like the Control field of
	// net.Dialer. It may be nil.
	DialControl func(network, address string, conn syscall.RawConn) error
	// OnDial is called after each new connection. It may be nil.
	OnDial func(address string)
	// OnLost is called when the peer has closed all idle connections to an address before
	// they expired. While one is left, the peer has only dropped the others. It may be nil.
	OnLost func(address string)
}

// Pool sends requests over keep-alive connections, one at a time on each. It
// never sends a request twice. It is safe for concurrent use.
type Pool struct {
	options PoolOptions
	dialer  net.Dialer

	exchangeCount atomic.Uint64

	mu   sync.Mutex
	idle map[string][]*clientConn
}

// clientConn is a connection of a Pool. It carries one request at a time.
type clientConn struct {
	conn *Conn
	// headReader keeps the heads of responses. limitedReader limits the bytes that reader
	// reads while it parses them.
	headReader    *headReader
	limitedReader *io.LimitedReader
	reader        *bufio.Reader
	writer        *bufio.Writer
	address       string
	reused        bool
	// expiresAt is when the connection is closed if it stays idle. Zero means that the
	// peer has announced no idle timeout; pushIdle then sets it from IdleTimeout.
	expiresAt time.Time
}

// NewPool returns an empty pool.
func NewPool(options PoolOptions) *Pool {
	pool := &Pool{
		options: options,
		dialer:  net.Dialer{Timeout: options.DialTimeout, KeepAlive: -1},
		idle:    map[string][]*clientConn{},
	}
	pool.dialer.Control = func(network, address string, conn syscall.RawConn) error {
		if options.DialControl != nil {
			if err := options.DialControl(network, address, conn); err != nil {
				return err
			}
		}
		if options.TCPUserTimeout <= 0 {
			return nil
		}
		return setTCPUserTimeout(conn, options.TCPUserTimeout)
	}
	return pool
}

// EchoHeader returns a handler that copies the header field from each request to
// its response and calls the given handler.
func EchoHeader(field string, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if value := r.Header.Get(field); value != "" {
			w.Header().Set(field, value)
		}
		handler.ServeHTTP(w, r)
	})
}

// Do sends the request and returns the complete response. The error is always a
// *SendError.
func (p *Pool) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	conn, err := p.getConn(ctx, address, request.NewConn)
	if err != nil {
		return nil, &SendError{Cause: err}
	}
	if p.options.ExchangeField != "" {
		request.Header.Set(p.options.ExchangeField, strconv.FormatUint(p.exchangeCount.Add(1), 10))
	}
	if request.Stream != nil {
		p.tolerateSlowReader(conn)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.conn.Close() })
	response, reusable, err := p.exchange(ctx, conn, request)
	if !stop() || !reusable || err != nil || request.Stream != nil {
		_ = conn.conn.Close()
	} else {
		p.pushIdle(conn)
	}
	if err != nil {
		if p.options.TCPUserTimeout > 0 && !errors.Is(ctx.Err(), context.Canceled) && !errors.Is(err, ErrBodyEnded) {
			// The other connections to the address may be broken as well.
			p.CloseIdleTo(address)
		}
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &SendError{Sent: true, Reused: conn.reused, Cause: err}
	}
	return response, nil
}

// exchange sends the request and reads its response. It reports whether the
// connection can be reused.
func (p *Pool) exchange(ctx context.Context, conn *clientConn, request *Request) (result *Response, reusable bool, err error) {
	httpRequest := request.httpRequest()
	source := &bodySource{Reader: request.Stream}
	defer func() {
		if err != nil && source.failed.Load() {
			err = errors.Join(ErrBodyEnded, err)
		}
	}()
	if request.Stream != nil {
		httpRequest.Body = io.NopCloser(source)
	}
	written := make(chan error, 1)
	if request.Stream == nil {
		written <- conn.send(httpRequest)
	} else {
		// The peer may respond before it has read the whole body.
		go func() {
			// The body is read here, outside the goroutine that handles the request.
			written <- contain.Panics(func() error { return conn.send(httpRequest) })
			if source.failed.Load() {
				// The peer would wait for the rest of the body.
				_ = conn.conn.Close()
			}
		}()
	}
	for skipped := 0; skipped <= maxSkippedResponses; skipped++ {
		response, err := conn.readHeader(httpRequest) //nolint:bodyclose // Closing the connection is enough.
		if err != nil {
			return nil, false, err
		}
		matches, identified := p.matches(request, response, conn.reused || skipped > 0)
		if matches && request.OnResponse != nil {
			request.OnResponse()
		}
		body, held, err := p.readBody(ctx, response)
		if err != nil {
			return nil, false, err
		}
		if err := CheckTrailer(response); err != nil {
			return nil, false, err
		}
		if !matches {
			continue
		}
		result = &Response{Status: response.StatusCode, Header: response.Header, Body: body, Held: held}
		return result, identified && conn.reusable(response, written), nil
	}
	return nil, false, errOtherRequest
}

// readHeader reads and checks the status line and header of the next final response and
// skips interim ones.
func (c *clientConn) readHeader(httpRequest *http.Request) (*http.Response, error) {
	c.limitedReader.N = maxResponseHeader
	defer c.headReader.trim()
	for range maxInterimResponses + 1 {
		c.headReader.start(c.reader)
		response, err := http.ReadResponse(c.reader, httpRequest)
		head := c.headReader.end(c.reader)
		if err != nil {
			if c.limitedReader.N <= 0 {
				return nil, ErrResponseHeaderTooLarge
			}
			return nil, err
		}
		if err := checkResponse(head, response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			c.limitedReader.N = math.MaxInt64
			return response, nil
		}
	}
	return nil, ErrTooManyInterim
}

// matches reports whether the response belongs to the request, and whether a
// header field identifies it. If staleExpected is set, a response without an ID
// may belong to an earlier request and does not match.
func (p *Pool) matches(request *Request, response *http.Response, staleExpected bool) (matches, identified bool) {
	if field := p.options.ExchangeField; field != "" {
		return response.Header.Get(field) == request.Header.Get(field), true
	}
	if p.options.RequestID == nil {
		return true, true
	}
	wanted, echoed := p.options.RequestID(request.Header), p.options.RequestID(response.Header)
	if echoed != "" {
		return echoed == wanted, true
	}
	return !staleExpected, false
}

// reusable reports whether the connection can carry another request: the request
// was written in full, the response was read in full, and no data follows it. It
// also updates expires.
func (c *clientConn) reusable(response *http.Response, written <-chan error) bool {
	select {
	case err := <-written:
		if err != nil {
			return false
		}
	default:
		return false
	}
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return false
	}
	c.expiresAt = keepAliveExpiry(response.Header)
	return c.reader.Buffered() == 0 && c.conn.Idle()
}

// keepAliveExpiry returns when the peer will close the connection according to its
// Keep-Alive header, less keepAliveMargin, or zero without such a header.
func keepAliveExpiry(header http.Header) time.Time {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Now().Add(time.Duration(seconds)*time.Second - keepAliveMargin)
		}
	}
	return time.Time{}
}

func (c *clientConn) send(httpRequest *http.Request) error {
	if err := httpRequest.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// httpRequest converts the request for net/http. URL.Opaque keeps the target
// exactly as the client sent it.
func (r *Request) httpRequest() *http.Request {
	out := &http.Request{
		Method: r.Method, Host: r.Host, Header: r.Header,
		URL:   &url.URL{Scheme: "http", Host: r.Host, Opaque: r.Target},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if strings.HasPrefix(r.Target, "//") {
		// net/http would treat an opaque path of this form as an authority.
		if parsed, err := url.ParseRequestURI(r.Target); err == nil {
			out.URL = parsed
		}
	}
	if _, found := out.Header["User-Agent"]; !found {
		// net/http would add its own User-Agent if the field were absent.
		out.Header["User-Agent"] = nil
	}
	switch {
	case r.Stream != nil:
		out.Body, out.ContentLength = io.NopCloser(r.Stream), r.Length
	case len(r.Body) > 0:
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(r.Body)), int64(len(r.Body))
	}
	return out
}

// getConn returns the most recently used idle connection, or dials a new one if there is
// none or forceNew is set.
func (p *Pool) getConn(ctx context.Context, address string, forceNew bool) (*clientConn, error) {
	lost := false
	for !forceNew {
		conn := p.popIdle(address)
		if conn == nil {
			break
		}
		conn.conn.slot.SetState(holdings.Running, Clock())
		if conn.conn.Idle() && !conn.conn.slot.Revoked() {
			conn.reused = true
			return conn, nil
		}
		lost = lost || conn.conn.Err() != nil
		_ = conn.conn.Close()
	}
	if lost {
		p.reportLost(address)
	}
	slot, granted := p.options.Conns.Reserve(holdings.Request{Purpose: holdings.Connection, Amount: 1, At: Clock()})
	if !granted {
		return nil, ErrTooManyConnections
	}
	inner, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		slot.Release()
		return nil, err
	}
	slot.Assign("", func() { _ = inner.Close() })
	if p.options.OnDial != nil {
		p.options.OnDial(address)
	}
	conn := newConn(inner, p.options.Account, slot)
	headReader := &headReader{conn: conn}
	limitedReader := &io.LimitedReader{R: headReader, N: maxResponseHeader}
	return &clientConn{
		conn: conn, headReader: headReader, limitedReader: limitedReader, address: address,
		reader: bufio.NewReaderSize(limitedReader, bufferSize),
		writer: bufio.NewWriterSize(conn, bufferSize),
	}, nil
}
