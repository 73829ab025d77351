package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are read just before the process ends and get no response:
// while one request is at work to the end and clients go on connecting, Shutdown accepted
// connections until its deadline.
func TestShutdownRespondsToWhatItReads(t *testing.T) {
	is := is.New(t)
	// Reading a request and refusing it take a while on a busy machine.
	const responseTime = 100 * time.Millisecond
	var unanswered atomic.Int64
	release := make(chan struct{})
	server, address := serve(t, func(_ context.Context, r *http.Request) *Response {
		if r.URL.Path == "/hold" {
			<-release
			return &Response{Status: http.StatusOK, Header: http.Header{}}
		}
		unanswered.Add(1)
		time.Sleep(responseTime)
		unanswered.Add(-1)
		return &Response{Status: http.StatusServiceUnavailable, Header: http.Header{"Connection": {"close"}}}
	})
	send := func(path string) net.Conn {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return nil
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		return conn
	}
	is.True(send("/hold") != nil)
	stopped := make(chan struct{})
	clients := make(chan struct{})
	go func() {
		defer close(clients)
		for {
			select {
			case <-stopped:
				return
			case <-time.After(acceptIdleTimeout / 5):
				send("/")
			}
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	is.True(errors.Is(server.Shutdown(ctx), context.DeadlineExceeded))
	is.Equal(unanswered.Load(), int64(0))
	close(stopped)
	close(release)
	<-clients
}
