package hop

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/certificate"
	"marjoramsaddle/io/settings"
)

// The bounds of connections between daemons.
const (
	dialTimeout = time.Second
	// idleTimeout closes connections that carry no calls, so that a daemon
	// holds connections only to the hosts that it calls at present.
	idleTimeout = 30 * time.Second
	// streamWindow bounds the memory of one answer whose caller reads slowly.
	// The 4 MiB that net/http allows took 113 MB for 20 slow readers.
	streamWindow = 256 << 10
	// connectionWindow has room for the windows of as many answers as a backend
	// server has connections, so that slow readers don't block other calls.
	connectionWindow = 130 * streamWindow
)

// Lookup returns the hop address of a host.
type Lookup func(id.Host) (string, bool)

// Client sends calls to other daemons.
type Client struct {
	transport http.RoundTripper
	closeIdle func()
}

// NewClient returns a client for one of the hop transports of the settings.
func NewClient(keys *certificate.Keys, lookup Lookup, transport string) *Client {
	if transport == settings.HTTP3 {
		return newHTTP3Client(keys, lookup)
	}
	return newHTTP2Client(keys, lookup)
}

// newHTTP2Client keys its connections by host id: the URL names the host, and
// the dialler looks its address up and checks that the peer is that host.
func newHTTP2Client(keys *certificate.Keys, lookup Lookup) *Client {
	transport := &http.Transport{
		ForceAttemptHTTP2:      true,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: MaxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerStream:     streamWindow,
			MaxReceiveBufferPerConnection: connectionWindow,
		},
		DialTLSContext: func(ctx context.Context, _, target string) (net.Conn, error) {
			host, address, err := resolve(lookup, target)
			if err != nil {
				return nil, err
			}
			dialer := tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: keys.Client(host, "h2")}
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
	return &Client{transport: transport, closeIdle: transport.CloseIdleConnections}
}

func resolve(lookup Lookup, target string) (id.Host, string, error) {
	name, _, err := net.SplitHostPort(target)
	if err != nil {
		return "", "", fmt.Errorf("hop: %w", err)
	}
	address, ok := lookup(id.Host(name))
	if !ok {
		return "", "", fmt.Errorf("hop: host %s has no address", name)
	}
	return id.Host(name), address, nil
}

// Do sends the call to the daemon on host and returns the answer of the
// backend server, whose body the caller must close. The request's body may
// have been read in part when an error is returned.
//
// A refusal is NotRun only when another daemon says so, or when the header of
// the request was not sent.
func (c *Client) Do(host id.Host, request *http.Request, call Call) (*http.Response, *refusal.Error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaders: func() { sent.Store(true) },
		// HTTP/2 reports WroteHeaders only after the flush; a header field
		// means that the write has begun.
		WroteHeaderField: func(string, []string) { sent.Store(true) },
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	request.URL.Scheme = "https"
	request.URL.Host = string(host)
	call.SetHeaders(request.Header)
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, RefusalFromError(request.Context(), err, sent.Load(), refusal.HopBroken)
	}
	if refused := RefusalFromResponse(response); refused != nil {
		_ = response.Body.Close()
		return nil, refused
	}
	return response, nil
}

// Exchange sends a message between daemons that is no call, such as a request
// to record an idempotency key.
func (c *Client) Exchange(host id.Host, request *http.Request) (*http.Response, error) {
	request.URL.Scheme = "https"
	request.URL.Host = string(host)
	return c.transport.RoundTrip(request)
}

// CloseIdle closes connections that carry no calls.
func (c *Client) CloseIdle() { c.closeIdle() }
