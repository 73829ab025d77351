// Package http1 adds to net/http what a proxy needs: connections that detect a
// close by the peer while a request is in progress, a server that handles
// pipelined requests concurrently, a listener that stops without resetting
// accepted connections, a client pool that sends each request at most once and
// reports whether any byte of it may have reached the peer, and a transport for
// http.Client that refuses malformed responses as the pool does.
//
// # Usage
//
//	server := &http.Server{Handler: handler, ConnContext: http1.ConnContext}
//	go server.Serve(http1.Listener{Listener: inner})
//
//	pool := http1.NewPool(http1.PoolOptions{...})
//	response, err := pool.Do(ctx, "192.0.2.1:8080", request)
//
//	client := &http.Client{Transport: http1.NewTransport(&http.Transport{})}
package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"marjoramsaddle/core/holdings"
)

// maxReadAhead limits the bytes buffered before Read asks for them. Beyond it TCP
// flow control slows the peer down, and a close behind that data goes undetected.
const maxReadAhead = 64 << 10

// freeReadAhead is the part of it that belongs to the connection. Beyond it the account
// must have room.
const freeReadAhead = 8 << 10

// readSize is the maximum number of bytes of one read from the socket.
const readSize = 4 << 10

// Conn reads ahead in the background, so that a close by the peer is detected
// as soon as it arrives, even while earlier bytes are still unread.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// storage holds the unread bytes from position start on.
	storage  []byte
	start    int
	err      error
	deadline time.Time
	// expired is set once Read has failed at the deadline, until another one is set.
	expired bool
	// aborted makes Read fail as at a deadline.
	aborted bool
	// paused is set while readLoop waits for room in the buffer.
	paused bool
	// account limits the buffers of all connections; nil means no limit. reserved is the
	// size of readAhead.
	account   *holdings.Account
	readAhead *holdings.Reservation
	reserved  int
	// slot is the connection's place among those of its listener, or nil.
	slot *holdings.Reservation
	// changed is closed and replaced whenever one of the fields above changes.
	changed chan struct{}
	// done is the channel that Done returns.
	done chan struct{}

	// writing is held while Write runs. It guards broken, the error with which the kernel
	// has ended the connection if a write received it.
	writing sync.Mutex
	broken  error
}

// NewConn wraps the connection and starts reading ahead.
func NewConn(inner net.Conn) *Conn { return newConn(inner, nil, nil) }

// newConn returns a connection whose read-ahead the account limits, and which gives back
// its slot when it is closed.
func newConn(inner net.Conn, account *holdings.Account, slot *holdings.Reservation) *Conn {
	conn := &Conn{Conn: inner, changed: make(chan struct{}), done: make(chan struct{}), account: account, slot: slot}
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
	return c.err == nil && c.unread() == 0
}

func (c *Conn) readLoop() {
	chunk := make([]byte, readSize)
	for {
		n, err := c.Conn.Read(chunk)
		if errors.Is(err, io.EOF) {
			err = c.endOfStream()
		}
		if !c.store(chunk[:n], err) {
			return
		}
	}
}

// store appends to the buffer and blocks while it is full. It reports whether
// to continue reading.
func (c *Conn) store(data []byte, err error) bool {
	c.mu.Lock()
	if c.err != nil {
		// Close has been called during the read, and wakes nobody after it.
		c.mu.Unlock()
		close(c.done)
		return false
	}
	c.append(data)
	if err != nil {
		c.err = err
		c.broadcast()
		c.mu.Unlock()
		close(c.done)
		return false
	}
	c.broadcast()
	for !c.mayReadMore() {
		c.paused = true
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
	c.paused = false
	c.mu.Unlock()
	return true
}

// unread returns the number of unread bytes. The caller holds mu.
func (c *Conn) unread() int { return len(c.storage) - c.start }

// append adds data to the unread bytes. It moves these to the front instead of allocating
// while they are at most half of the storage. The caller holds mu.
func (c *Conn) append(data []byte) {
	if len(c.storage)+len(data) > cap(c.storage) && c.start >= c.unread() {
		n := copy(c.storage, c.storage[c.start:])
		c.storage, c.start = c.storage[:n], 0
	}
	c.storage = append(c.storage, data...)
}

// mayReadMore reports whether another read fits the buffer, and reserves memory for it.
// The caller holds mu.
func (c *Conn) mayReadMore() bool {
	size := c.unread() + readSize
	switch {
	case c.unread() >= maxReadAhead:
		return false
	case c.account == nil || size <= freeReadAhead || size <= c.reserved:
		return true
	}
	// The next size up, so that there are few calls.
	size = min(2*size, maxReadAhead+readSize)
	request := holdings.Request{Purpose: holdings.ReadAhead, Amount: int64(size - c.reserved), At: Clock()}
	if c.readAhead != nil {
		if !c.readAhead.Grow(request.Amount, request.At) {
			return false
		}
	} else {
		var granted bool
		if c.readAhead, granted = c.account.Reserve(request); !granted {
			return false
		}
	}
	c.reserved = size
	return true
}

// releaseReadAhead gives back the buffer and its reservation. The caller holds mu.
func (c *Conn) releaseReadAhead() {
	c.readAhead.Release()
	c.readAhead, c.reserved = nil, 0
}

// trim gives back memory after a message, unless the next one has begun.
func (c *Conn) trim() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reserved > 0 && c.unread() == 0 {
		c.storage, c.start = nil, 0
		c.releaseReadAhead()
	}
}

// AbortReads makes all reads fail as at a deadline.
func (c *Conn) AbortReads() { c.setAborted(true) }

func (c *Conn) setAborted(aborted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = aborted
	c.broadcast()
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
		if c.expired || c.aborted {
			c.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		if c.unread() > 0 {
			n := copy(p, c.storage[c.start:])
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

// timedOut reports whether Read has failed at a deadline or was aborted.
func (c *Conn) timedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired || c.aborted
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
	switch {
	case n < c.unread():
		c.start += n
	case c.reserved > 0 && c.account.Crowded():
		c.storage, c.start = nil, 0
		c.releaseReadAhead()
	default:
		c.storage, c.start = c.storage[:0], 0
	}
	if c.paused {
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
	// Not below mu, which the callback of the slot takes.
	c.slot.Release()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.releaseReadAhead()
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
type Listener struct {
	net.Listener
	// Account limits the bytes that connections read ahead, and Conns their number. Both
	// may be nil. With Conns, use ConnState as the ConnState field of http.Server.
	Account, Conns *holdings.Account
}

// Accept waits for the next connection and returns it as a *Conn. Connections for which
// there is no room are closed.
func (l Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := accept(inner, l.Account, l.Conns); conn != nil {
			return conn, nil
		}
	}
}

// accept returns the connection, or closes it and returns nil if there is no room for it
// among the others.
func accept(inner net.Conn, account, conns *holdings.Account) *Conn {
	slot, granted := conns.Reserve(holdings.Request{
		Purpose: holdings.Connection, Client: ClientOf(inner.RemoteAddr().String()), Amount: 1, At: Clock(), State: holdings.Idle,
		Yield: func() { _ = inner.Close() },
	})
	if !granted {
		_ = inner.Close()
		return nil
	}
	return newConn(inner, account, slot)
}

// ConnState tells the account of a Listener which connections are idle.
func ConnState(conn net.Conn, state http.ConnState) {
	readAheadConn, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		readAheadConn.slot.SetState(holdings.Running, Clock())
	case http.StateIdle:
		readAheadConn.trim()
		readAheadConn.slot.SetState(holdings.Idle, Clock())
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
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
