package http1

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Transport is an http.Transport for HTTP/1 without TLS that refuses malformed responses
// as a Pool does.
type Transport struct{ inner *http.Transport }

// NewTransport returns a Transport with the given options, in which DialContext may be nil.
// It must not be used elsewhere.
func NewTransport(options *http.Transport) *Transport {
	dial := options.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	options.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &headConn{Conn: conn}, nil
	}
	if options.MaxResponseHeaderBytes == 0 {
		options.MaxResponseHeaderBytes = maxResponseHeader
	}
	return &Transport{inner: options}
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.inner.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[headConn]
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		if conn, ok := got.Conn.(*headConn); ok {
			conn.start()
			used.Store(conn)
		}
	}}
	response, err := t.inner.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	conn := used.Load()
	if err != nil || conn == nil {
		return response, err
	}
	if err := checkHeads(conn.end(), response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// checkHeads checks the head of a final response and those of the interim ones before it.
func checkHeads(received []byte, final *http.Response) error {
	for {
		head, rest := cutHead(received)
		if !bytes.HasPrefix(head, []byte("HTTP/")) {
			// Its beginning was read before the request began, so it belongs to another.
			return fmt.Errorf("%w: early response", ErrMalformedResponse)
		}
		if !isInterim(head) {
			return checkResponse(head, final)
		}
		if err := checkLines(head, final); err != nil {
			return err
		}
		received = rest
	}
}

// cutHead returns the bytes of the first head, and those after it.
func cutHead(received []byte) (head, rest []byte) {
	length := 0
	for line := range bytes.Lines(received) {
		length += len(line)
		if isBlank(line) {
			break
		}
	}
	return received[:length], received[length:]
}

// isInterim reports whether a head that net/http has accepted has an interim status.
func isInterim(head []byte) bool {
	_, status, _ := bytes.Cut(head, []byte{' '})
	status = bytes.TrimLeft(status, " ")
	return bytes.HasPrefix(status, []byte{'1'}) && !bytes.HasPrefix(status, []byte("101"))
}

// headConn is a connection that keeps the bytes of heads.
type headConn struct {
	net.Conn

	mu sync.Mutex
	// recording is set from the beginning of a request until its response has begun.
	recording bool
	head      []byte
}

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recording {
		c.head = append(c.head, p[:n]...)
	}
	return n, err
}

// start begins the heads of the next response.
func (c *headConn) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recording, c.head = true, nil
}

// end returns the heads, and what has arrived after them.
func (c *headConn) end() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	heads := c.head
	c.recording, c.head = false, nil
	return heads
}

// ReadBody reads the whole body of a response of a Transport. It returns an error, of which
// ErrResponseBodyTooLarge is one, if the body is longer than maxBytes or ends early.
func ReadBody(response *http.Response, maxBytes int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	switch {
	case err != nil:
		return nil, err
	case int64(len(body)) > maxBytes:
		return nil, ErrResponseBodyTooLarge
	}
	return body, CheckTrailer(response)
}
