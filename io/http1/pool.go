package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
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

	"golang.org/x/sys/unix"

	"marjoramsaddle/core/link"
)

const (
	// bufferSize of a connection's reader and writer; most messages fit.
	bufferSize = 4 << 10
	// maxSkipped is how many answers to earlier requests are skipped before the
	// connection is given up.
	maxSkipped = 2
	// maxInterim is how many interim answers (1xx) are skipped; net/http takes as
	// many.
	maxInterim = 5
	// maxHead bounds the heads of an answer in bytes, interim ones included.
	// Servers in common use refuse to write longer ones.
	maxHead = 64 << 10
	// keepAliveMargin is taken off the idle time that a server announces, since
	// its clock started earlier than ours.
	keepAliveMargin = time.Second
)

var (
	// ErrResponseBodyTooLarge says that an answer exceeds what is held in memory.
	ErrResponseBodyTooLarge = errors.New("http1: the answer is longer than the limit: check the server, or raise MaxBody")
	// ErrResponseHeaderTooLarge says that the head of an answer does not end.
	ErrResponseHeaderTooLarge = errors.New("http1: the head of the answer is longer than the limit: check the server")
	// ErrTooManyInterim says that only interim answers arrived.
	ErrTooManyInterim = errors.New("http1: too many interim answers: check the server")
	// errOtherRequest says that only answers to other requests arrived.
	errOtherRequest = errors.New("http1: the answers belong to other requests")
)

// SendError is a request without a complete answer.
type SendError struct {
	// Sent is set when a byte of the request may have reached the peer.
	Sent bool
	// Reused is set when the connection had served other requests before.
	Reused bool
	Cause  error
}

// Error returns what was sent and the cause.
func (f *SendError) Error() string {
	if f.Sent {
		return "the request was sent and has no complete answer: " + f.Cause.Error()
	}
	return "the request was not sent: " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *SendError) Unwrap() error { return f.Cause }

// Request is sent as it stands.
type Request struct {
	Method string
	// Target is the path and query as the client wrote them.
	Target string
	Host   string
	Header http.Header
	// Body is the whole body, or nil when Stream is set or there is none.
	Body []byte
	// Stream is a body of Length bytes; a Length below zero is unknown.
	Stream io.Reader
	Length int64
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Booking is the part of the host's link that a long answer needs, or nil.
	Booking *link.Booking
}

// PoolOptions of a Pool.
type PoolOptions struct {
	// DialTimeout bounds a new connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// MaxBodyBytes bounds an answer's body.
	MaxBodyBytes int64
	// RequestID returns the id of a request from its header, and the id that an
	// answer echoes from the answer's. An answer with another id is skipped. One
	// without any is taken only as the first of its connection, which is closed
	// then, because a further copy could not be told from the next answer. Nil
	// accepts every answer.
	RequestID func(header http.Header) string
	// ExchangeField names a header field that the pool sets to a number of its own in
	// each request, and that the peer has to echo in its answer (see Echo). It
	// tells the answers apart where the peer is one of the own processes. It goes
	// before RequestID.
	ExchangeField string
	// TCPUserTimeout bounds how long sent bytes may stay without acknowledgement.
	// After it the connection counts as broken, which finds links that are cut.
	TCPUserTimeout time.Duration
	// OnDial is called after each new connection, if set.
	OnDial func(address string)
}

// Pool sends requests over kept connections, one at a time on each. It repeats
// nothing. It is safe for concurrent use.
type Pool struct {
	options PoolOptions
	dialer  net.Dialer

	exchanges atomic.Uint64

	mu   sync.Mutex
	idle map[string][]*clientConn
}

type clientConn struct {
	conn *Conn
	// limit bounds what the reader takes from the connection.
	limit   *io.LimitedReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	address string
	used    bool
	expires time.Time
}

// NewPool returns an empty pool.
func NewPool(options PoolOptions) *Pool {
	pool := &Pool{
		options: options,
		dialer:  net.Dialer{Timeout: options.DialTimeout, KeepAlive: -1},
		idle:    map[string][]*clientConn{},
	}
	if options.TCPUserTimeout > 0 {
		pool.dialer.Control = sendTimeout(options.TCPUserTimeout)
	}
	return pool
}

// sendTimeout sets the time for which sent bytes may stay without
// acknowledgement.
func sendTimeout(span time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) {
			failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(span.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}

// EchoHeader passes requests to the handler and echoes the given field of each in the
// header of its answer.
func EchoHeader(field string, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if value := r.Header.Get(field); value != "" {
			w.Header().Set(field, value)
		}
		handler.ServeHTTP(w, r)
	})
}

// Do sends the request and returns the whole answer. The error is a *SendError.
func (p *Pool) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	conn, err := p.connection(ctx, address)
	if err != nil {
		return nil, &SendError{Cause: err}
	}
	if p.options.ExchangeField != "" {
		request.Header.Set(p.options.ExchangeField, strconv.FormatUint(p.exchanges.Add(1), 10))
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.conn.Close() })
	answer, reusable, err := p.exchange(conn, request)
	if !stop() || !reusable || err != nil {
		_ = conn.conn.Close()
	} else {
		p.keep(conn)
	}
	if err != nil {
		if p.options.TCPUserTimeout > 0 && !errors.Is(ctx.Err(), context.Canceled) {
			// The other connections to the address may have gone silent as well.
			p.CloseIdleTo(address)
		}
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &SendError{Sent: true, Reused: conn.used, Cause: err}
	}
	return answer, nil
}

func (p *Pool) exchange(conn *clientConn, request *Request) (answer *Response, reusable bool, err error) {
	wire := request.wire()
	written := make(chan error, 1)
	if request.Stream == nil {
		written <- conn.send(wire)
	} else {
		// The peer may answer before it has read a long body.
		go func() { written <- conn.send(wire) }()
	}
	for skipped := 0; skipped <= maxSkipped; skipped++ {
		response, err := conn.head(wire) //nolint:bodyclose // The end of the connection closes it.
		if err != nil {
			return nil, false, err
		}
		body, err := p.readBody(response)
		if err != nil {
			return nil, false, err
		}
		belongs, named := p.belongs(request, response, conn.used || skipped > 0)
		if !belongs {
			continue
		}
		answer = &Response{Status: response.StatusCode, Header: response.Header, Body: body}
		return answer, named && conn.reusable(response, written), nil
	}
	return nil, false, errOtherRequest
}

// head reads the head of the next answer that is not an interim one.
func (c *clientConn) head(wire *http.Request) (*http.Response, error) {
	c.limit.N = maxHead
	for range maxInterim + 1 {
		response, err := http.ReadResponse(c.reader, wire)
		if err != nil {
			if c.limit.N <= 0 {
				return nil, ErrResponseHeaderTooLarge
			}
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			c.limit.N = math.MaxInt64
			return response, nil
		}
	}
	return nil, ErrTooManyInterim
}

// belongs reports whether the answer belongs to the request, and whether it says
// so itself. Late is set when an answer to an earlier request may come in its
// place.
func (p *Pool) belongs(request *Request, response *http.Response, late bool) (belongs, named bool) {
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
	return !late, false
}

// reusable reports whether the connection can carry another request: the whole
// request went out, the whole answer came in, and nothing came after it.
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
	c.expires = announcedIdle(response.Header)
	return c.reader.Buffered() == 0 && c.conn.Idle()
}

// announcedIdle returns when the peer closes the connection, by its Keep-Alive
// header, or zero.
func announcedIdle(header http.Header) time.Time {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if whole, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && whole >= 0 {
			return time.Now().Add(time.Duration(whole)*time.Second - keepAliveMargin)
		}
	}
	return time.Time{}
}

func (c *clientConn) send(wire *http.Request) error {
	if err := wire.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readBody reads the whole body. It does not close it, which would read on to the
// end of a body that is too long; after an error the connection is closed.
func (p *Pool) readBody(response *http.Response) ([]byte, error) {
	if response.Body == http.NoBody {
		return nil, nil
	}
	if response.ContentLength > p.options.MaxBodyBytes {
		return nil, ErrResponseBodyTooLarge
	}
	if response.ContentLength >= 0 {
		body := make([]byte, response.ContentLength)
		if _, err := io.ReadFull(response.Body, body); err != nil {
			return nil, fmt.Errorf("http1: the answer is cut off: %w", err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, p.options.MaxBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("http1: the answer is cut off: %w", err)
	}
	if int64(len(body)) > p.options.MaxBodyBytes {
		return nil, ErrResponseBodyTooLarge
	}
	return body, nil
}

// wire builds the message. Opaque keeps the path as the client wrote it.
func (r *Request) wire() *http.Request {
	out := &http.Request{
		Method: r.Method, Host: r.Host, Header: r.Header,
		URL:   &url.URL{Scheme: "http", Host: r.Host, Opaque: r.Target},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if strings.HasPrefix(r.Target, "//") {
		// net/http would take an opaque path of this form for an authority.
		if parsed, err := url.ParseRequestURI(r.Target); err == nil {
			out.URL = parsed
		}
	}
	if _, found := out.Header["User-Agent"]; !found {
		// An absent field would be filled in by net/http.
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

// connection returns the connection that was used last, or a new one.
func (p *Pool) connection(ctx context.Context, address string) (*clientConn, error) {
	for {
		conn := p.take(address)
		if conn == nil {
			break
		}
		if conn.conn.Idle() {
			conn.used = true
			return conn, nil
		}
		_ = conn.conn.Close()
	}
	inner, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.options.OnDial != nil {
		p.options.OnDial(address)
	}
	conn := NewConn(inner)
	limit := &io.LimitedReader{R: conn, N: maxHead}
	return &clientConn{
		conn: conn, limit: limit, address: address,
		reader: bufio.NewReaderSize(limit, bufferSize),
		writer: bufio.NewWriterSize(conn, bufferSize),
	}, nil
}

func (p *Pool) take(address string) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	conn := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	if time.Now().After(conn.expires) {
		// The others have been idle for longer still.
		p.dropAll(address)
		_ = conn.conn.Close()
		return nil
	}
	return conn
}

func (p *Pool) keep(conn *clientConn) {
	limit := time.Now().Add(p.options.IdleTimeout)
	if conn.expires.IsZero() || conn.expires.After(limit) {
		conn.expires = limit
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[conn.address] = append(p.idle[conn.address], conn)
}

// CloseExpired closes the connections that have been idle for too long. Its owner
// calls it every second or so.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, kept := range p.idle {
		fresh := kept[:0]
		for _, conn := range kept {
			if now.After(conn.expires) || !conn.conn.Idle() {
				_ = conn.conn.Close()
				continue
			}
			fresh = append(fresh, conn)
		}
		if len(fresh) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = fresh
	}
}

// CloseIdleTo closes the idle connections to the address.
func (p *Pool) CloseIdleTo(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropAll(address)
}

func (p *Pool) dropAll(address string) {
	for _, conn := range p.idle[address] {
		_ = conn.conn.Close()
	}
	delete(p.idle, address)
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.idle {
		p.dropAll(address)
	}
}
