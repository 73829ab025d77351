// Package http1 supplies what net/http does not: connections that notice a
// close while a request is in progress, and a client that sends each request
// exactly once and reports how far it got.
//
// Usage:
//
//	listener := http1.Listen(inner)
//	server := &http.Server{Handler: handler, ConnContext: http1.ConnContext}
//	go server.Serve(listener)
//
//	pool := http1.NewPool(http1.PoolOptions{...})
//	answer, err := pool.Do(ctx, "192.0.2.1:8080", request)
package http1

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// readAhead bounds what is read before it is asked for. Beyond it the peer is
// slowed down by TCP, and a close behind that much data is not noticed.
const readAhead = 64 << 10

// readSize is the size of one read from the socket.
const readSize = 4 << 10

// Conn reads ahead, so that the end of the connection shows as soon as it
// arrives, even when the bytes before it have not been asked for.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	buffer   []byte
	err      error
	deadline time.Time
	// changed is closed and replaced when the state changes.
	changed chan struct{}
	// ended is closed when the peer has closed or the connection has failed.
	ended chan struct{}
}

// NewConn starts to read from the connection.
func NewConn(inner net.Conn) *Conn {
	conn := &Conn{Conn: inner, changed: make(chan struct{}), ended: make(chan struct{})}
	go conn.pump()
	return conn
}

// Ended returns a channel that is closed when nothing more will arrive.
func (c *Conn) Ended() <-chan struct{} { return c.ended }

// Idle reports whether the connection is open and nothing waits to be read.
func (c *Conn) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && len(c.buffer) == 0
}

func (c *Conn) pump() {
	chunk := make([]byte, readSize)
	for {
		n, err := c.Conn.Read(chunk)
		if !c.store(chunk[:n], err) {
			return
		}
	}
}

// store keeps what was read and waits for room. It reports whether to go on.
func (c *Conn) store(data []byte, err error) bool {
	c.mu.Lock()
	c.buffer = append(c.buffer, data...)
	if err != nil {
		c.err = err
		c.wake()
		c.mu.Unlock()
		close(c.ended)
		return false
	}
	c.wake()
	for len(c.buffer) >= readAhead {
		changed := c.changed
		c.mu.Unlock()
		<-changed
		c.mu.Lock()
		if c.err != nil {
			c.mu.Unlock()
			close(c.ended)
			return false
		}
	}
	c.mu.Unlock()
	return true
}

func (c *Conn) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Read returns what has arrived, or waits for it.
func (c *Conn) Read(into []byte) (int, error) {
	for {
		c.mu.Lock()
		if len(c.buffer) > 0 {
			n := copy(into, c.buffer)
			c.consume(n)
			c.mu.Unlock()
			return n, nil
		}
		if c.err != nil {
			err := c.err
			c.mu.Unlock()
			return 0, err
		}
		changed, deadline := c.changed, c.deadline
		c.mu.Unlock()
		if err := await(changed, deadline); err != nil {
			return 0, err
		}
	}
}

// consume drops n bytes. Room for the pump is announced only when it may wait
// for it.
func (c *Conn) consume(n int) {
	full := len(c.buffer) >= readAhead
	if n == len(c.buffer) {
		c.buffer = c.buffer[:0]
	} else {
		c.buffer = c.buffer[n:]
	}
	if full {
		c.wake()
	}
}

// await waits for a change of state until the deadline, if one is set.
func await(changed <-chan struct{}, deadline time.Time) error {
	if deadline.IsZero() {
		<-changed
		return nil
	}
	left := time.Until(deadline)
	if left <= 0 {
		return os.ErrDeadlineExceeded
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return os.ErrDeadlineExceeded
	}
}

// SetReadDeadline bounds Read. A read that waits sees the new deadline.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	c.wake()
	return nil
}

// SetDeadline bounds Read and Write.
func (c *Conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// Close closes the connection and ends the reads that wait.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.wake()
	return err
}

// Err returns how the connection ended: nil while it is open, io.EOF after
// an orderly close.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Listener accepts connections that read ahead.
type Listener struct{ net.Listener }

// Accept waits for the next connection.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(conn), nil
}

// ConnContext ends the context of a connection's requests when the peer closes
// it, also while further requests wait on the connection. It fits the field of
// http.Server with this name.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	ahead, ok := conn.(*Conn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		<-ahead.ended
		cancel(ErrPeerClosed)
	}()
	return ctx
}

// ErrPeerClosed is the cause of a context that ended with its connection.
var ErrPeerClosed = errors.New("the peer closed the connection")
