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

// http3Client keeps one connection per host. It does not send requests through
// http3.Transport, which retries some of them on a new connection: that hides what
// was sent and can run a call twice. Only io/caller may retry.
type http3Client struct {
	transport *http3.Transport
	config    *quic.Config
	keys      *certificate.Keys
	lookup    Lookup

	mu    sync.Mutex
	conns map[string]*http3Conn
}

// Idle connections are closed by the idle timeout of QUIC. Closing them earlier
// could truncate a response that is still being read.

// http3Conn is a connection that is being dialed, has failed or is open.
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

// RoundTrip sends the request once. A connection that has failed is removed, so
// that the next request dials a new one.
func (c *http3Client) RoundTrip(request *http.Request) (*http.Response, error) {
	host := request.URL.Host
	conn := c.connection(host)
	select {
	case <-conn.opened:
	case <-request.Context().Done():
		return nil, context.Cause(request.Context())
	}
	if conn.err != nil {
		c.remove(host, conn)
		return nil, conn.err
	}
	response, err := conn.client.RoundTrip(request)
	if err != nil && request.Context().Err() == nil {
		c.remove(host, conn)
	}
	return response, err
}

// connection returns the connection to the host, and starts dialing if there is no
// usable one.
func (c *http3Client) connection(host string) *http3Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[host]
	if conn == nil || conn.closed() {
		conn = &http3Conn{opened: make(chan struct{})}
		c.conns[host] = conn
		go c.dial(host, conn)
	}
	return conn
}

func (c *http3Client) remove(host string, conn *http3Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[host] == conn {
		delete(c.conns, host)
	}
}

// dial opens the connection for all calls that wait for it, so it does not use the
// context of the first one.
func (c *http3Client) dial(host string, conn *http3Conn) {
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

// closed reports whether the connection has failed or ended. It returns false
// while the connection is being dialed.
func (conn *http3Conn) closed() bool {
	select {
	case <-conn.opened:
		return conn.err != nil || conn.client.Context().Err() != nil
	default:
		return false
	}
}
