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

// quietAccept is how long no connection may arrive before a listener that stops
// is closed. Connections that the kernel holds are accepted without a wait.
const quietAccept = 5 * time.Millisecond

// GracefulListener is a listener that can be closed without resetting connections:
// those that the kernel has accepted are handed to the server first.
type GracefulListener struct {
	*net.TCPListener
	stopping atomic.Bool
	until    time.Time
	closed   chan struct{}
	once     sync.Once
}

// NewGracefulListener wraps a listener.
func NewGracefulListener(inner *net.TCPListener) *GracefulListener {
	return &GracefulListener{TCPListener: inner, closed: make(chan struct{})}
}

// Accept returns the next connection. After Stop it returns those that have
// arrived, and then net.ErrClosed.
func (l *GracefulListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) && l.extend() {
		// The deadline may have passed before a look at what the kernel holds.
		conn, err = l.TCPListener.Accept()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errors.Join(net.ErrClosed, l.Close())
	}
	l.extend()
	return conn, err
}

// extend waits a little longer for connections, and reports whether it may.
func (l *GracefulListener) extend() bool {
	if !l.stopping.Load() || !time.Now().Before(l.until) {
		return false
	}
	return l.SetDeadline(time.Now().Add(quietAccept)) == nil
}

// Stop ends Accept once no further connection arrives, or when the context ends,
// and closes the listener.
func (l *GracefulListener) Stop(ctx context.Context) error {
	l.until = time.Now().Add(time.Second)
	if deadline, ok := ctx.Deadline(); ok {
		l.until = deadline
	}
	l.stopping.Store(true)
	if err := l.SetDeadline(time.Now().Add(quietAccept)); err != nil {
		return err
	}
	select {
	case <-l.closed:
		return nil
	case <-ctx.Done():
		return errors.Join(ctx.Err(), l.Close())
	}
}

// Close closes the listener.
func (l *GracefulListener) Close() error {
	err := l.TCPListener.Close()
	l.once.Do(func() { close(l.closed) })
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
