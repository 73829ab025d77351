package http1

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// acceptIdleTimeout is how long a stopping listener waits for another connection
// before it closes. Connections in the kernel's accept queue need no wait.
const acceptIdleTimeout = 5 * time.Millisecond

// GracefulListener is a TCP listener that stops without resetting connections:
// before it closes, Accept returns those in the kernel's accept queue.
type GracefulListener struct {
	*net.TCPListener
	stopping atomic.Bool
	// stopDeadline is when the listener closes even if connections still arrive. It
	// is set before stopping.
	stopDeadline time.Time
	closed       chan struct{}
	once         sync.Once
}

// NewGracefulListener wraps the TCP listener.
func NewGracefulListener(inner *net.TCPListener) *GracefulListener {
	return &GracefulListener{TCPListener: inner, closed: make(chan struct{})}
}

// Accept returns the next connection. After Stop it returns the remaining queued
// connections and then net.ErrClosed.
func (l *GracefulListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) && l.extendDeadline() {
		// The deadline may have passed before the accept queue was checked.
		conn, err = l.TCPListener.Accept()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errors.Join(net.ErrClosed, l.Close())
	}
	l.extendDeadline()
	return conn, err
}

// extendDeadline moves the accept deadline of a stopping listener by
// acceptIdleTimeout. It returns false if the listener is not stopping or
// stopDeadline has passed.
func (l *GracefulListener) extendDeadline() bool {
	if !l.stopping.Load() || !time.Now().Before(l.stopDeadline) {
		return false
	}
	return l.SetDeadline(time.Now().Add(acceptIdleTimeout)) == nil
}

// Stop closes the listener once no further connection arrives, at the latest at
// the context's deadline or, without one, after a second. If the context ends
// first, Stop closes the listener and returns an error.
func (l *GracefulListener) Stop(ctx context.Context) error {
	l.stopDeadline = time.Now().Add(time.Second)
	if deadline, ok := ctx.Deadline(); ok {
		l.stopDeadline = deadline
	}
	l.stopping.Store(true)
	if err := l.SetDeadline(time.Now().Add(acceptIdleTimeout)); err != nil {
		return err
	}
	select {
	case <-l.closed:
		return nil
	case <-ctx.Done():
		return errors.Join(ctx.Err(), l.Close())
	}
}

// Close closes the listener at once. It may be called more than once.
func (l *GracefulListener) Close() error {
	err := l.TCPListener.Close()
	l.once.Do(func() { close(l.closed) })
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
