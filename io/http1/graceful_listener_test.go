package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newGracefulListener(t *testing.T) *GracefulListener {
	t.Helper()
	inner, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	return NewGracefulListener(inner)
}

// Guards against stopping a net/http server in a way that resets connections in
// the kernel's accept queue, on which clients have already sent requests.
func TestGracefulListenerServesAcceptedConnections(t *testing.T) {
	is := is.New(t)
	listener := newGracefulListener(t)
	conns := make([]net.Conn, 0, 100)
	for range cap(conns) {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
		conns = append(conns, conn)
	}
	server := &http.Server{ReadHeaderTimeout: testTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	is.NoErr(listener.Stop(ctx))
	for _, conn := range conns {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusNoContent)
		is.NoErr(response.Body.Close())
	}
	is.True(errors.Is(<-served, net.ErrClosed))
	_, err := net.Dial("tcp", listener.Addr().String())
	is.True(err != nil)
	is.NoErr(server.Close())
}

// Guards against a Stop that blocks because no server accepts any more, or because
// clients keep connecting.
func TestGracefulListenerStopIsBounded(t *testing.T) {
	is := is.New(t)
	listener := newGracefulListener(t)
	ctx, cancel := context.WithTimeout(context.Background(), headerTimeout)
	defer cancel()
	is.True(errors.Is(listener.Stop(ctx), context.DeadlineExceeded))

	listener = newGracefulListener(t)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
				return
			default:
			}
			if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
				_ = conn.Close()
			}
		}
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	ctx, cancel = context.WithTimeout(context.Background(), 2*headerTimeout)
	defer cancel()
	start := time.Now()
	// Stop may end with or without an error, depending on when clients connect.
	_ = listener.Stop(ctx)
	is.True(time.Since(start) < testTimeout)
}
