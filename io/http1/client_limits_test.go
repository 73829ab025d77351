package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// short is the time that these tests allow a header.
const short = 100 * time.Millisecond

func strict() Limits {
	return Limits{HeaderTimeout: short, IdleTimeout: limit, HeaderBytes: 4 << 10, BodyBytes: 300 << 10}
}

// Guards against clients that hold a connection for ever by sending half a
// request, and against ones that send more than is allowed: each is answered as
// not run, nothing reaches the handler, and the connection ends.
func TestSlowAndLargeClients(t *testing.T) {
	drip := func(conn net.Conn) {
		for {
			if _, err := io.WriteString(conn, "x"); err != nil {
				return
			}
			time.Sleep(short / 4)
		}
	}
	flood := func(conn net.Conn) { endless(conn, "", "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n") }
	tests := []struct {
		name, start, want string
		then              func(conn net.Conn)
	}{
		{"half a header", "GET / HTTP/1.1\r\nHost: a\r\n", "HTTP/1.1 408", nil},
		{"header that drips", "GET / HTTP/1.1\r\nHost: a\r\nX: ", "HTTP/1.1 408", drip},
		{"no body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n", "HTTP/1.1 408", nil},
		{"half a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab", "HTTP/1.1 408", nil},
		{"body that drips", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n", "HTTP/1.1 408", drip},
		{"chunks without end", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "", flood},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var whole atomic.Int64
			_, address := serveWith(t, ServerOptions{Limits: strict, Handler: func(_ context.Context, r *http.Request) *Response {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return nil
				}
				whole.Add(1)
				return &Response{Status: http.StatusOK, Header: http.Header{}}
			}})
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, test.start)
			is.NoErr(err)
			if test.then != nil {
				go test.then(conn)
			}
			is.NoErr(conn.SetReadDeadline(time.Now().Add(limit)))
			// A reset may follow the answer where bytes were left unread.
			got, err := io.ReadAll(conn)
			is.True(!errors.Is(err, context.DeadlineExceeded))
			is.True(strings.HasPrefix(string(got), test.want))
			is.True(!strings.Contains(string(got), "200"))
			is.Equal(whole.Load(), int64(0))
		})
	}
}

// Guards against a body over the limit being taken in before it is refused: the
// handler sees its length and the client its answer, though it still sends.
func TestAnnouncedBodyOverTheLimit(t *testing.T) {
	is := is.New(t)
	_, address := serveWith(t, ServerOptions{Limits: strict, Handler: func(_ context.Context, r *http.Request) *Response {
		is.Equal(r.ContentLength, int64(1<<30))
		return &Response{Status: http.StatusRequestEntityTooLarge, Header: http.Header{"Connection": {"close"}}}
	}})
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1073741824\r\n\r\n"+strings.Repeat("x", 32<<10))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusRequestEntityTooLarge)
	is.NoErr(response.Body.Close())
}

// Guards against a slow but honest client being cut off: a body that arrives
// faster than the least rate may take longer than a header.
func TestSlowBodyPasses(t *testing.T) {
	is := is.New(t)
	const allowed, pause, parts = time.Second, 150 * time.Millisecond, 10
	_, address := serveWith(t, ServerOptions{Handler: echo, Limits: func() Limits {
		return Limits{HeaderTimeout: allowed, IdleTimeout: limit, HeaderBytes: 4 << 10}
	}})
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	began := time.Now()
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", leastRate*parts)
	is.NoErr(err)
	for range parts {
		time.Sleep(pause)
		_, err = io.WriteString(conn, strings.Repeat("x", leastRate))
		is.NoErr(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.NoErr(response.Body.Close())
	is.True(time.Since(began) > allowed)
}

// Guards against clients that use up the descriptors by opening connections and
// sending nothing: the oldest of these give way, requests at work do not.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	const most = 20
	server, address := serveWith(t, ServerOptions{MaxConns: most, Limits: strict, Handler: func(ctx context.Context, r *http.Request) *Response {
		if r.URL.Path == "/slow" {
			close(started)
			<-release
		}
		return echo(ctx, r)
	}})
	slow, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = slow.Close() }()
	_, err = io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	<-started
	for range 10 * most {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
	}
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /quick HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	server.mu.Lock()
	open := len(server.conns)
	server.mu.Unlock()
	is.True(open <= 2*most)
	close(release)
	response, err = http.ReadResponse(bufio.NewReader(slow), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.NoErr(response.Body.Close())
}

// Guards against one request whose work panics ending the process, being
// answered with a promise, or taking other connections with it.
func TestPanicIsContained(t *testing.T) {
	is := is.New(t)
	reported := make(chan error, 1)
	_, address := serveWith(t, ServerOptions{
		Limits: strict,
		Handler: func(ctx context.Context, r *http.Request) *Response {
			if r.URL.Path == "/bad" {
				panic("unexpected")
			}
			return echo(ctx, r)
		},
		OnPanic: func(_ *http.Request, err error) { reported <- err },
	})
	for _, test := range []struct {
		path   string
		status int
	}{{"/good", http.StatusOK}, {"/bad", http.StatusBadGateway}, {"/good", http.StatusOK}} {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", test.path)
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, test.status)
		is.NoErr(response.Body.Close())
		is.Equal(response.Close, test.path == "/bad")
	}
	is.True(strings.Contains((<-reported).Error(), "unexpected"))
}

// Guards against a planned stop that resets requests which clients have just
// sent, on connections that the kernel or the server has only just accepted.
func TestShutdownAnswersWhatHasArrived(t *testing.T) {
	is := is.New(t)
	const clients = 100
	server := NewServer(ServerOptions{Handler: echo, Limits: strict})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	conns := make([]net.Conn, 0, clients)
	for range clients {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
		conns = append(conns, conn)
	}
	// The connections wait in the kernel until the server starts, and it stops
	// right away.
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	for server.listening() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	is.NoErr(server.Shutdown(ctx))
	is.Equal(<-served, http.ErrServerClosed)
	for _, conn := range conns {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		is.NoErr(response.Body.Close())
	}
}

func (s *Server) listening() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.listeners)
}
