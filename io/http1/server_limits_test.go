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

	"marjoramsaddle/core/link"
)

// headerTimeout is the header timeout of strictLimits.
const headerTimeout = 100 * time.Millisecond

func strictLimits() Limits {
	return Limits{HeaderTimeout: headerTimeout, IdleTimeout: testTimeout, HeaderBytes: 4 << 10, BodyBytes: 300 << 10}
}

// Guards against clients that occupy a connection indefinitely with a partial
// request or send more than the limits allow. Each gets an error response, the
// handler never sees a complete request, and the connection is closed.
func TestSlowAndLargeClients(t *testing.T) {
	sendSlowly := func(conn net.Conn) {
		for {
			if _, err := io.WriteString(conn, "x"); err != nil {
				return
			}
			time.Sleep(headerTimeout / 4)
		}
	}
	sendChunks := func(conn net.Conn) { writeEndlessly(conn, "", "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n") }
	tests := []struct {
		name, start, want string
		then              func(conn net.Conn)
	}{
		{"half a header", "GET / HTTP/1.1\r\nHost: a\r\n", "HTTP/1.1 408", nil},
		{"half a line", "GET / HTTP/1.1\r\nHost: a\r\nX-Half", "HTTP/1.1 408", nil},
		{"slow header", "GET / HTTP/1.1\r\nHost: a\r\nX: ", "HTTP/1.1 408", sendSlowly},
		{"no body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n", "HTTP/1.1 408", nil},
		{"half a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab", "HTTP/1.1 408", nil},
		{"slow body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n", "HTTP/1.1 408", sendSlowly},
		{"endless chunks", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "", sendChunks},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var handled atomic.Int64
			_, address := serveWith(t, ServerOptions{Limits: strictLimits, Handler: func(_ context.Context, r *http.Request) *Response {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return nil
				}
				handled.Add(1)
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
			is.NoErr(conn.SetReadDeadline(time.Now().Add(testTimeout)))
			// Unread input may cause a reset after the response.
			got, err := io.ReadAll(conn)
			is.True(!errors.Is(err, context.DeadlineExceeded))
			is.True(strings.HasPrefix(string(got), test.want))
			is.True(!strings.Contains(string(got), "200"))
			is.Equal(handled.Load(), int64(0))
		})
	}
}

// Guards against a body over the limit being read before it is rejected: the
// handler sees its Content-Length, and the client gets the response while it is
// still sending.
func TestAnnouncedBodyOverTheLimit(t *testing.T) {
	is := is.New(t)
	_, address := serveWith(t, ServerOptions{Limits: strictLimits, Handler: func(_ context.Context, r *http.Request) *Response {
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

// Guards against disconnecting a slow client: a body that arrives faster than
// minTransferRate may take longer than HeaderTimeout.
func TestSlowBodyPasses(t *testing.T) {
	is := is.New(t)
	const headerLimit, pause, chunks = time.Second, 150 * time.Millisecond, 10
	_, address := serveWith(t, ServerOptions{Handler: echo, Limits: func() Limits {
		return Limits{HeaderTimeout: headerLimit, IdleTimeout: testTimeout, HeaderBytes: 4 << 10}
	}})
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	start := time.Now()
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", minTransferRate*chunks)
	is.NoErr(err)
	for range chunks {
		time.Sleep(pause)
		_, err = io.WriteString(conn, strings.Repeat("x", minTransferRate))
		is.NoErr(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.NoErr(response.Body.Close())
	is.True(time.Since(start) > headerLimit)
}

// Guards against clients that exhaust the file descriptors by opening connections
// without sending: the longest idle ones are closed, those with a request are not.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	const maxConns = 20
	server, address := serveWith(t, ServerOptions{MaxConns: maxConns, Limits: strictLimits, Handler: func(ctx context.Context, r *http.Request) *Response {
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
	for range 10 * maxConns {
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
	is.True(open <= 2*maxConns)
	close(release)
	response, err = http.ReadResponse(bufio.NewReader(slow), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.NoErr(response.Body.Close())
}

// Guards against a panic in the handler that ends the process, gets a response
// claiming that the request has not run, or affects other connections.
func TestPanicIsContained(t *testing.T) {
	is := is.New(t)
	reported := make(chan error, 1)
	_, address := serveWith(t, ServerOptions{
		Limits: strictLimits,
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

// Guards against a shutdown that resets requests just sent on connections which
// the kernel or the server has only just accepted.
func TestShutdownServesReceivedRequests(t *testing.T) {
	is := is.New(t)
	const clients = 100
	server := NewServer(ServerOptions{Handler: echo, Limits: strictLimits})
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
	// The connections stay in the kernel's accept queue until the server starts,
	// and it is shut down at once.
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	for server.listening() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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

// Guards against the end of the process when a handler returns before all of a long
// body has arrived, as it does when a backend server responds early, while a goroutine
// that sends the body on still reads it. The connection serves the next request.
func TestEarlyResponseToLongBody(t *testing.T) {
	is := is.New(t)
	const length = MaxBufferedBody + 10
	reads := make(chan error, 1)
	limits := strictLimits()
	limits.BodyBytes = length
	_, address := serveWith(t, ServerOptions{Limits: func() Limits { return limits }, Handler: func(_ context.Context, r *http.Request) *Response {
		if r.Method == http.MethodPost {
			body := r.Body
			begun := make(chan struct{})
			go func() {
				close(begun)
				_, err := io.Copy(io.Discard, body)
				reads <- err
			}()
			<-begun
			// The goroutine has read what has arrived, and waits for the rest.
			time.Sleep(50 * time.Millisecond)
		}
		return &Response{Status: http.StatusOK, Header: http.Header{}}
	}})
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range 3 {
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length-5))
		is.NoErr(err)
		early, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.NoErr(early.Body.Close())
		is.Equal(early.StatusCode, http.StatusOK)
		_, err = io.WriteString(conn, "12345GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
		next, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.NoErr(next.Body.Close())
		is.Equal(next.StatusCode, http.StatusOK)
		// The goroutine either gets the rest or is told that the body was taken back.
		if err := <-reads; err != nil {
			is.True(errors.Is(err, http.ErrBodyReadAfterClose))
		}
	}
}

// Guards against "100 Continue" inside the body of an earlier response that is still
// being sent: it follows that response, and the body it asks for is then served.
func TestContinueFollowsEarlierResponses(t *testing.T) {
	is := is.New(t)
	download := strings.Repeat("d", 100<<10)
	limits := strictLimits()
	limits.HeaderTimeout = testTimeout
	_, address := serveWith(t, ServerOptions{
		Limits: func() Limits { return limits },
		Handler: func(ctx context.Context, r *http.Request) *Response {
			if r.Method == http.MethodPost {
				return echo(ctx, r)
			}
			return &Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(download)}
		},
		// Large bodies are sent in parts with pauses.
		Write: func(_ context.Context, out io.Writer, body []byte, _ *link.Booking) error {
			for half := len(body) / 2; len(body) > 0; body = body[min(half, len(body)):] {
				if _, err := out.Write(body[:min(half, len(body))]); err != nil {
					return err
				}
				time.Sleep(50 * time.Millisecond)
			}
			return nil
		},
	})
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST /up HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	first, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	body, err := io.ReadAll(first.Body)
	is.NoErr(err)
	is.NoErr(first.Body.Close())
	is.Equal(string(body), download)
	interim, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.NoErr(interim.Body.Close())
	is.Equal(interim.StatusCode, http.StatusContinue)
	_, err = io.WriteString(conn, "body")
	is.NoErr(err)
	second, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	body, err = io.ReadAll(second.Body)
	is.NoErr(err)
	is.NoErr(second.Body.Close())
	is.Equal(string(body), "/up body")
}
