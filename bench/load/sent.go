package load

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const dialTimeout = 2 * time.Second

// countedConn counts the bytes written to a connection.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts also bytes of a failed write, as they may have been sent.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

func dialCounted(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn}, nil
}

// position is a connection with its count before a call.
type position struct {
	conn   *countedConn
	before int64
}

// sentBytes tells whether any byte of a call was written to a connection.
type sentBytes struct {
	position atomic.Pointer[position]
}

// trace returns a context that reports the call's connection.
func (s *sentBytes) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*countedConn); ok {
				s.position.Store(&position{conn: conn, before: conn.written.Load()})
			}
		},
	})
}

func (s *sentBytes) any() bool {
	p := s.position.Load()
	return p != nil && p.conn.written.Load() > p.before
}
