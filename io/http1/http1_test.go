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
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// limit bounds each wait of these tests.
const limit = 5 * time.Second

// script answers each request on a connection with the next text; an empty one
// closes the connection.
func script(t *testing.T, answers ...string) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var arrivals atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					n := int(arrivals.Add(1))
					answer := ""
					if n <= len(answers) {
						answer = answers[n-1]
					}
					if answer == "" {
						return
					}
					_, _ = io.WriteString(conn, answer)
					if strings.Contains(answer, "Connection: close") {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), &arrivals
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newPool(t *testing.T, dials *atomic.Int64) *Pool {
	t.Helper()
	pool := NewPool(PoolOptions{
		DialTimeout: limit, IdleTimeout: limit, MaxBodyBytes: 1 << 20,
		RequestID: func(header http.Header) string { return header.Get("Id") },
		OnDial: func(string) {
			if dials != nil {
				dials.Add(1)
			}
		},
	})
	t.Cleanup(pool.CloseIdle)
	return pool
}

func get(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/a%2Fb?c=%20", Host: "a.example", Header: http.Header{"Id": {id}}}
}

// Guards against answers that are cut off, belong to another request, or end
// with a reset being taken for whole ones, and against requests sent twice.
func TestBrokenAnswers(t *testing.T) {
	tests := []struct {
		name    string
		answers []string
		fails   bool
	}{
		{"whole", []string{answer("1", "body")}, false},
		{"cut off", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 9\r\n\r\nbody"}, true},
		{"cut off chunk", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody"}, true},
		{"without length", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nbody"}, false},
		{"no answer", []string{""}, true},
		{"not http", []string{"rubbish\r\n\r\n"}, true},
		{"late answer first", []string{answer("0", "late") + answer("1", "body")}, false},
		{"others only", []string{answer("0", "a") + answer("2", "b") + answer("3", "c")}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, arrivals := script(t, test.answers...)
			got, err := newPool(t, nil).Do(context.Background(), address, get("1"))
			is.Equal(err != nil, test.fails)
			is.Equal(arrivals.Load(), int64(1))
			if !test.fails {
				is.Equal(string(got.Body), "body")
				return
			}
			var failed *SendError
			is.True(errors.As(err, &failed))
			is.True(failed.Sent)
		})
	}
}

// Guards against a connection being used again that carries bytes of an
// earlier answer, or that its peer has closed.
func TestReuse(t *testing.T) {
	is := is.New(t)
	var dials atomic.Int64
	address, _ := script(t,
		answer("1", "body"), answer("2", "body"), answer("3", "body")+answer("3", "extra"),
		answer("4", "body"), "HTTP/1.1 200 OK\r\nId: 5\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n", answer("6", ""))
	pool := newPool(t, &dials)
	for i, want := range []int64{1, 1, 1, 2, 2, 3} {
		_, err := pool.Do(context.Background(), address, get(fmt.Sprint(i+1)))
		is.NoErr(err)
		is.Equal(dials.Load(), want)
	}
}

// Guards against a promise that a request has not run after its bytes went out,
// and against none when the connection was refused.
func TestFailureSaysWhatWasSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = newPool(t, nil).Do(context.Background(), address, get("1"))
	var failed *SendError
	is.True(errors.As(err, &failed))
	is.True(!failed.Sent)
}

// Guards against a backend server working on for a client that has left: the
// end of the context closes the connection.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	closed := make(chan error, 1)
	arrived := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			closed <- err
			return
		}
		reader := bufio.NewReader(conn)
		_, _ = http.ReadRequest(reader)
		close(arrived)
		_, err = reader.ReadByte()
		_ = conn.Close()
		closed <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err = newPool(t, nil).Do(ctx, listener.Addr().String(), get("1"))
	is.True(errors.Is(err, context.Canceled))
	select {
	case err := <-closed:
		is.True(err != nil)
	case <-time.After(limit):
		t.Fatal("the connection stays open")
	}
}

// Guards against a client's close going unnoticed while a further request of
// it waits on the connection, as pipelining clients leave it.
func TestCloseBehindPipelinedRequest(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	server := &http.Server{
		ConnContext: ConnContext, ReadHeaderTimeout: limit,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
				ended <- nil
			case <-time.After(limit):
				ended <- errors.New("the request goes on")
			}
			panic(http.ErrAbortHandler)
		}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(Listener{listener}) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n", 3))
	is.NoErr(err)
	is.NoErr(conn.Close())
	is.NoErr(<-ended)
}

// Guards against a path or query that reaches the backend server other than the
// client wrote it.
func TestTargetIsKept(t *testing.T) {
	for _, target := range []string{"/a%2Fb?c=%20", "//double/slash", "/x//y/../z?q=a+b%2B", "/"} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			request := get("1")
			request.Target = target
			var out strings.Builder
			is.NoErr(request.wire().Write(&out))
			is.Equal(strings.SplitN(out.String(), "\r\n", 2)[0], "GET "+target+" HTTP/1.1")
		})
	}
}

func serve(t *testing.T, handler Handler) (*Server, string) {
	t.Helper()
	return serveWith(t, ServerOptions{Handler: handler, Limits: func() Limits {
		return Limits{HeaderTimeout: limit, IdleTimeout: limit, HeaderBytes: 4 << 10}
	}})
}

func serveWith(t *testing.T, options ServerOptions) (*Server, string) {
	t.Helper()
	server := NewServer(options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return server, listener.Addr().String()
}

func echo(_ context.Context, r *http.Request) *Response {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	return &Response{Status: http.StatusOK, Header: http.Header{}, Body: append([]byte(r.RequestURI+" "), body...)}
}

// Guards against pipelined lookups that wait for each other, and against
// answers that leave in another order than the requests came.
func TestPipelinedRequestsRunTogether(t *testing.T) {
	is := is.New(t)
	started := make(chan string, 3)
	release := make(chan struct{})
	_, address := serve(t, func(ctx context.Context, r *http.Request) *Response {
		started <- r.RequestURI
		if r.RequestURI == "/1" {
			<-release
		}
		return echo(ctx, r)
	})
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"+
		"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"+
		"POST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmore\r\n0\r\n\r\n")
	is.NoErr(err)
	for range 3 {
		select {
		case <-started:
		case <-time.After(limit):
			t.Fatal("a request waits for the one before")
		}
	}
	close(release)
	reader := bufio.NewReader(conn)
	for _, want := range []string{"/1 ", "/2 body", "/3 more"} {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), want)
	}
}

// Guards against bytes that are no request, or no whole one, reaching a handler
// or being answered with success.
func TestServerRejects(t *testing.T) {
	tests := []struct{ name, sent, want string }{
		{"not http", "rubbish\r\n\r\n", "HTTP/1.1 400"},
		{"no host", "GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 400"},
		{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 400"},
		{"long header", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", "HTTP/1.1 431"},
		{"cut body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, address := serve(t, echo)
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, test.sent)
			is.NoErr(err)
			is.NoErr(conn.(*net.TCPConn).CloseWrite())
			// A reset may follow the answer where bytes were left unread.
			got, _ := io.ReadAll(conn)
			is.True(strings.HasPrefix(string(got), test.want))
			is.True(!strings.Contains(string(got), "200"))
		})
	}
}

// Guards against a stop that cuts off a request which was read, and against
// one that waits for idle connections.
func TestShutdown(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	server, address := serve(t, func(ctx context.Context, r *http.Request) *Response {
		close(started)
		<-release
		return echo(ctx, r)
	})
	idle, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = idle.Close() }()
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	<-started
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		ended <- server.Shutdown(ctx)
	}()
	time.Sleep(10 * shutdownPoll)
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusOK)
	is.NoErr(<-ended)
}
