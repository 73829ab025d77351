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
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout limits each wait in these tests.
const testTimeout = 5 * time.Second

// startScriptedServer replies to each request with the next of the responses. It
// closes the connection at an empty one and after the last. It returns its address
// and the number of requests received.
func startScriptedServer(t *testing.T, responses ...string) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var requests atomic.Int64
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
					n := int(requests.Add(1))
					response := ""
					if n <= len(responses) {
						response = responses[n-1]
					}
					if response == "" {
						return
					}
					_, _ = io.WriteString(conn, response)
					if strings.Contains(response, "Connection: close") {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), &requests
}

func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newPool(t *testing.T, dialCount *atomic.Int64) *Pool {
	t.Helper()
	pool := NewPool(PoolOptions{
		DialTimeout: testTimeout, IdleTimeout: testTimeout, MaxBodyBytes: 1 << 20,
		RequestID: func(header http.Header) string { return header.Get("Id") },
		OnDial: func(string) {
			if dialCount != nil {
				dialCount.Add(1)
			}
		},
	})
	t.Cleanup(pool.CloseIdle)
	return pool
}

func getRequest(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/a%2Fb?c=%20", Host: "a.example", Header: http.Header{"Id": {id}}}
}

// Guards against accepting responses that are truncated or belong to another
// request, and against requests sent twice.
func TestBrokenResponses(t *testing.T) {
	tests := []struct {
		name      string
		responses []string
		fails     bool
	}{
		{"whole", []string{responseText("1", "body")}, false},
		{"truncated body", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 9\r\n\r\nbody"}, true},
		{"truncated chunk", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody"}, true},
		{"without length", []string{"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nbody"}, false},
		{"no response", []string{""}, true},
		{"not http", []string{"rubbish\r\n\r\n"}, true},
		{"late response first", []string{responseText("0", "late") + responseText("1", "body")}, false},
		{"others only", []string{responseText("0", "a") + responseText("2", "b") + responseText("3", "c")}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, requests := startScriptedServer(t, test.responses...)
			got, err := newPool(t, nil).Do(context.Background(), address, getRequest("1"))
			is.Equal(err != nil, test.fails)
			is.Equal(requests.Load(), int64(1))
			if !test.fails {
				is.Equal(string(got.Body), "body")
				return
			}
			var sendErr *SendError
			is.True(errors.As(err, &sendErr))
			is.True(sendErr.Sent)
		})
	}
}

// Guards against reusing a connection that holds data of an earlier response or
// that its peer has closed or is about to close.
func TestReuse(t *testing.T) {
	is := is.New(t)
	var dials atomic.Int64
	address, _ := startScriptedServer(t,
		responseText("1", "body"), responseText("2", "body"), responseText("3", "body")+responseText("3", "extra"),
		responseText("4", "body"), "HTTP/1.1 200 OK\r\nId: 5\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n", responseText("6", ""))
	pool := newPool(t, &dials)
	for i, want := range []int64{1, 1, 1, 2, 2, 3} {
		_, err := pool.Do(context.Background(), address, getRequest(fmt.Sprint(i+1)))
		is.NoErr(err)
		is.Equal(dials.Load(), want)
	}
}

// Guards against a refused connection being reported as a request that may have
// run.
func TestSendErrorReportsWhetherBytesWereSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = newPool(t, nil).Do(context.Background(), address, getRequest("1"))
	var sendErr *SendError
	is.True(errors.As(err, &sendErr))
	is.True(!sendErr.Sent)
}

// Guards against a backend server that continues to work for a client that has
// disconnected: cancelling the context must close the connection.
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
	_, err = newPool(t, nil).Do(ctx, listener.Addr().String(), getRequest("1"))
	is.True(errors.Is(err, context.Canceled))
	select {
	case err := <-closed:
		is.True(err != nil)
	case <-time.After(testTimeout):
		t.Fatal("the connection was not closed")
	}
}

// Guards against failing to detect that a client has closed its connection while
// pipelined requests are still unread.
func TestCloseBehindPipelinedRequest(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	server := &http.Server{
		ConnContext: ConnContext, ReadHeaderTimeout: testTimeout,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
				ended <- nil
			case <-time.After(testTimeout):
				ended <- errors.New("the request context was not cancelled")
			}
			panic(http.ErrAbortHandler)
		}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(Listener{Listener: listener}) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n", 3))
	is.NoErr(err)
	is.NoErr(conn.Close())
	is.NoErr(<-ended)
}

// Guards against a path or query that is normalized or re-encoded on its way to
// the backend server.
func TestTargetIsForwardedUnchanged(t *testing.T) {
	for _, target := range []string{"/a%2Fb?c=%20", "//double/slash", "/x//y/../z?q=a+b%2B", "/"} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			request := getRequest("1")
			request.Target = target
			var out strings.Builder
			is.NoErr(request.httpRequest().Write(&out))
			is.Equal(strings.SplitN(out.String(), "\r\n", 2)[0], "GET "+target+" HTTP/1.1")
		})
	}
}

func serve(t *testing.T, handler Handler) (*Server, string) {
	t.Helper()
	return serveWith(t, ServerOptions{Handler: handler, Limits: func() Limits {
		return Limits{HeaderTimeout: testTimeout, IdleTimeout: testTimeout, HeaderBytes: 4 << 10}
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
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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

// Guards against pipelined requests that wait for each other, and against
// responses that are sent out of order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
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
		case <-time.After(testTimeout):
			t.Fatal("a request waits for an earlier one")
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

// Guards against a malformed or incomplete request that reaches a handler or gets
// a success response.
func TestServerRejects(t *testing.T) {
	tests := []struct{ name, sent, want string }{
		{"not http", "rubbish\r\n\r\n", "HTTP/1.1 400"},
		{"no host", "GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 400"},
		{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 400"},
		{"long header", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", "HTTP/1.1 431"},
		{"truncated body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab", ""},
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
			// Unread input may cause a reset after the response.
			got, _ := io.ReadAll(conn)
			is.True(strings.HasPrefix(string(got), test.want))
			is.True(!strings.Contains(string(got), "200"))
		})
	}
}

// Guards against a shutdown that aborts a request in progress, and against one
// that waits for idle connections.
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
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		ended <- server.Shutdown(ctx)
	}()
	time.Sleep(10 * shutdownPollInterval)
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusOK)
	is.NoErr(<-ended)
}

// Guards against a peer that ends unnoticed while its connections are idle, and against
// a connection that is closed for another reason being taken for that.
func TestLostIdleConnectionIsReported(t *testing.T) {
	is := is.New(t)
	address, _ := startScriptedServer(t, responseText("1", "body"), responseText("2", "body")+responseText("2", "extra"), responseText("3", "body"))
	var lost atomic.Int64
	pool := newPool(t, nil)
	pool.options.OnLost = func(lostAddress string) {
		is.Equal(lostAddress, address)
		lost.Add(1)
	}
	for i := range 2 {
		_, err := pool.Do(context.Background(), address, getRequest(fmt.Sprint(i+1)))
		is.NoErr(err)
	}
	time.Sleep(50 * time.Millisecond)
	pool.CloseExpired()
	is.Equal(lost.Load(), int64(0)) // the extra response
	end := make(chan struct{})
	address = startPeer(t, func(conn net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(conn, responseText("4", "body"))
		<-end
	})
	_, err := pool.Do(context.Background(), address, getRequest("4"))
	is.NoErr(err)
	pool.CloseExpired()
	is.Equal(lost.Load(), int64(0))
	close(end)
	for deadline := time.Now().Add(testTimeout); lost.Load() == 0 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
		pool.CloseExpired()
	}
	is.Equal(lost.Load(), int64(1))
}

// Guards against a peer that drops some of its idle connections being taken for one that
// has ended.
func TestDroppedIdleConnectionIsNotReported(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int64
	drop := make(chan struct{})
	address := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
		number := conns.Add(1)
		for conns.Load() < 2 {
			time.Sleep(time.Millisecond)
		}
		_, _ = io.WriteString(conn, responseText("1", "body"))
		if number == 1 {
			<-drop
			return
		}
		_, _ = reader.ReadByte()
	})
	var lost atomic.Int64
	pool := newPool(t, nil)
	pool.options.OnLost = func(string) { lost.Add(1) }
	var requests sync.WaitGroup
	for range 2 {
		requests.Go(func() {
			_, err := pool.Do(context.Background(), address, getRequest("1"))
			is.NoErr(err)
		})
	}
	requests.Wait()
	close(drop)
	idle := func() int {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return len(pool.idle[address])
	}
	for deadline := time.Now().Add(testTimeout); idle() > 1 && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
		pool.CloseExpired()
	}
	is.Equal(idle(), 1)
	is.Equal(lost.Load(), int64(0))
}
