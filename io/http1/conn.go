// Package http1 adds to net/http what a proxy needs: connections that detect a
// close by the peer while a request is in progress, a server that handles
// pipelined requests concurrently, a listener that stops without resetting
// accepted connections, and a client pool that sends each request at most once
// and reports whether any byte of it may have reached the peer.
//
// # Usage
//
//	server := &http.Server{Handler: handler, ConnContext: http1.ConnContext}
//	go server.Serve(http1.Listener{inner})
//
//	pool := http1.NewPool(http1.PoolOptions{...})
//	response, err := pool.Do(ctx, "192.0.2.1:8080", request)
package http1

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// maxReadAhead limits the bytes buffered before Read asks for them. Beyond it TCP
// flow control slows the peer down, and a close behind that data goes undetected.
const maxReadAhead = 64 << 10

// readSize is the maximum number of bytes of one read from the socket.
const readSize = 4 << 10

// Conn reads ahead in the background, so that a close by the peer is detected
// as soon as it arrives, even while earlier bytes are still unread.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	buffer   []byte
	err      error
	deadline time.Time
	// expired is set once Read has failed at the deadline, until another one is set.
	expired bool
	// changed is closed and replaced whenever one of the fields above changes.
	changed chan struct{}
	// done is the channel that Done returns.
	done chan struct{}
}

// NewConn wraps the connection and starts reading ahead.
func NewConn(inner net.Conn) *Conn {
	conn := &Conn{Conn: inner, changed: make(chan struct{}), done: make(chan struct{})}
	go conn.readLoop()
	return conn
}

// Done returns a channel that is closed once the peer has closed the connection or
// the connection has failed. Data that arrived earlier can still be read.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Idle reports whether the connection is open and has no unread data.
func (c *Conn) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && len(c.buffer) == 0
}

func (c *Conn) readLoop() {
	chunk := make([]byte, readSize)
	for {
		n, err := c.Conn.Read(chunk)
		if !c.store(chunk[:n], err) {
			return
		}
	}
}

// store appends to the buffer and blocks while it is full. It reports whether
// to continue reading.
func (c *Conn) store(data []byte, err error) bool {
	c.mu.Lock()
	c.buffer = append(c.buffer, data...)
	if err != nil {
		c.err = err
		c.broadcast()
		c.mu.Unlock()
		close(c.done)
		return false
	}
	c.broadcast()
	for len(c.buffer) >= maxReadAhead {
		changed := c.changed
		c.mu.Unlock()
		<-changed
		c.mu.Lock()
		if c.err != nil {
			c.mu.Unlock()
			close(c.done)
			return false
		}
	}
	c.mu.Unlock()
	return true
}

func (c *Conn) broadcast() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Read returns buffered data, or waits for some until the read deadline. Once it has
// failed at the deadline it fails until another one is set, because a buffering reader
// may drop the first error and take later data for the rest of what it has read.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		if c.expired {
			c.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		if len(c.buffer) > 0 {
			n := copy(p, c.buffer)
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
		if waitForChange(changed, deadline) != nil {
			c.expire(deadline)
		}
	}
}

// expire records that Read has failed at the deadline, unless that was changed meanwhile.
func (c *Conn) expire(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline.Equal(deadline) {
		c.expired = true
	}
}

// consume drops n bytes from the buffer. It wakes the read loop only if that was
// blocked on a full buffer.
func (c *Conn) consume(n int) {
	paused := len(c.buffer) >= maxReadAhead
	if n == len(c.buffer) {
		c.buffer = c.buffer[:0]
	} else {
		c.buffer = c.buffer[n:]
	}
	if paused {
		c.broadcast()
	}
}

// waitForChange waits until the channel is closed or the deadline passes. A zero
// deadline means none.
func waitForChange(changed <-chan struct{}, deadline time.Time) error {
	if deadline.IsZero() {
		<-changed
		return nil
	}
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return os.ErrDeadlineExceeded
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return os.ErrDeadlineExceeded
	}
}

// SetReadDeadline sets the deadline of Read, including calls that already wait.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.expired = deadline, false
	c.broadcast()
	return nil
}

// SetDeadline sets the deadlines of Read and Write.
func (c *Conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// Close closes the connection and unblocks waiting reads.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.broadcast()
	return err
}

// Err returns nil while the connection is open, io.EOF after an orderly close by
// the peer, and otherwise the error that ended the connection.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Listener wraps each accepted connection in a Conn, which ConnContext requires.
type Listener struct{ net.Listener }

// Accept waits for the next connection and returns it as a *Conn.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(conn), nil
}

// ConnContext cancels the context of a connection's requests when the peer closes
// the connection, even while pipelined requests are still unread. Use it as the
// ConnContext field of http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	readAheadConn, ok := conn.(*Conn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		<-readAheadConn.done
		cancel(ErrPeerClosed)
	}()
	return ctx
}

// ErrPeerClosed is the cause of a context that was cancelled because the peer
// closed the connection.
var ErrPeerClosed = errors.New("connection closed by peer")
