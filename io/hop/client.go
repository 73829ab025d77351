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

// Limits of connections between daemons.
const (
	dialTimeout = time.Second
	// idleTimeout closes connections that carry no calls, so that a daemon keeps
	// connections only to the hosts that it is calling.
	idleTimeout = 30 * time.Second
	// streamWindow limits the memory of one response whose caller reads slowly.
	// With the 4 MiB that net/http allows, 20 slow readers used 113 MB.
	streamWindow = 256 << 10
	// connectionWindow covers the stream windows of as many responses as a backend
	// server has connections, so that slow readers don't block other calls.
	connectionWindow = 130 * streamWindow
)

// Lookup returns the hop address of a host.
type Lookup func(id.Host) (string, bool)

// Client sends calls and messages to other daemons. It is safe for concurrent use.
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

// newHTTP2Client returns a client that pools connections by host id: the host in
// the URL is the id. On dialing, the client looks up the host's address and checks
// the identity in the peer's certificate.
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
		return "", "", fmt.Errorf("hop: no address known for host %s", name)
	}
	return id.Host(name), address, nil
}

// Do sends the call to the daemon on host and returns the response of the backend
// server, whose body must be closed. If Do returns a refusal, the request's body
// may have been partly read.
//
// The outcome of a refusal is NotRun only if another daemon reported it, or if no
// part of the request's header was written.
func (c *Client) Do(host id.Host, request *http.Request, call Call) (*http.Response, *refusal.Error) {
	var headerSent atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaders: func() { headerSent.Store(true) },
		// HTTP/2 reports WroteHeaders only after the flush; WroteHeaderField
		// shows earlier that the write has begun.
		WroteHeaderField: func(string, []string) { headerSent.Store(true) },
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	request.URL.Scheme = "https"
	request.URL.Host = string(host)
	call.SetHeaders(request.Header)
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, RefusalFromError(request.Context(), err, headerSent.Load(), refusal.HopBroken)
	}
	if refused := RefusalFromResponse(response); refused != nil {
		_ = response.Body.Close()
		return nil, refused
	}
	return response, nil
}

// Exchange sends a message to the daemon on host that is not a call, such as a
// request to record an idempotency key.
func (c *Client) Exchange(host id.Host, request *http.Request) (*http.Response, error) {
	request.URL.Scheme = "https"
	request.URL.Host = string(host)
	return c.transport.RoundTrip(request)
}

// CloseIdle closes connections that carry no calls.
func (c *Client) CloseIdle() { c.closeIdle() }
