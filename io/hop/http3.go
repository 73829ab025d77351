package hop

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"marjoramsaddle/io/certificate"
)

// http3Client holds one connection for each host. http3.Transport is not used
// for requests because it repeats some by itself on a new connection, which
// hides what was sent and can run a call twice. Here only the caller repeats.
type http3Client struct {
	transport *http3.Transport
	config    *quic.Config
	keys      *certificate.Keys
	lookup    Lookup

	mu    sync.Mutex
	conns map[string]*http3Conn
}

// Idle connections end by the idle timeout of QUIC. An earlier close could cut
// off an answer that is still being read.

// http3Conn is a connection that is being opened or is open.
type http3Conn struct {
	opened chan struct{}
	err    error // valid after opened is closed, as is client
	client *http3.ClientConn
}

func newHTTP3Client(keys *certificate.Keys, lookup Lookup) *Client {
	c := &http3Client{
		transport: &http3.Transport{DisableCompression: true, MaxResponseHeaderBytes: MaxHeaderBytes},
		config: &quic.Config{
			MaxIdleTimeout:             idleTimeout,
			HandshakeIdleTimeout:       dialTimeout,
			InitialStreamReceiveWindow: streamWindow,
			MaxStreamReceiveWindow:     streamWindow,
			MaxConnectionReceiveWindow: connectionWindow,
		},
		keys:   keys,
		lookup: lookup,
		conns:  map[string]*http3Conn{},
	}
	return &Client{transport: c, closeIdle: func() {}}
}

// RoundTrip sends the request once. A connection that has failed is forgotten.
func (c *http3Client) RoundTrip(request *http.Request) (*http.Response, error) {
	host := request.URL.Host
	conn := c.take(host)
	select {
	case <-conn.opened:
	case <-request.Context().Done():
		return nil, context.Cause(request.Context())
	}
	if conn.err != nil {
		c.forget(host, conn)
		return nil, conn.err
	}
	response, err := conn.client.RoundTrip(request)
	if err != nil && request.Context().Err() == nil {
		c.forget(host, conn)
	}
	return response, err
}

// take returns the connection to a host, and opens one when there is none.
func (c *http3Client) take(host string) *http3Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[host]
	if conn == nil || conn.ended() {
		conn = &http3Conn{opened: make(chan struct{})}
		c.conns[host] = conn
		go c.open(host, conn)
	}
	return conn
}

func (c *http3Client) forget(host string, conn *http3Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[host] == conn {
		delete(c.conns, host)
	}
}

// open opens a connection for all calls that wait for it, so it does not end
// with the context of the first one.
func (c *http3Client) open(host string, conn *http3Conn) {
	defer close(conn.opened)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	peer, address, err := resolve(c.lookup, net.JoinHostPort(host, "0"))
	if err != nil {
		conn.err = err
		return
	}
	opened, err := quic.DialAddr(ctx, address, c.keys.Client(peer, http3.NextProtoH3), c.config)
	if err != nil {
		conn.err = err
		return
	}
	conn.client = c.transport.NewClientConn(opened)
}

// ended reports whether the connection can't carry further calls.
func (conn *http3Conn) ended() bool {
	select {
	case <-conn.opened:
		return conn.err != nil || conn.client.Context().Err() != nil
	default:
		return false
	}
}
