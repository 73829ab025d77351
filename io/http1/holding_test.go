package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/holdings"
)

// trickles is the name of the flood whose bodies arrive byte by byte.
const trickles = "bodies that trickle"

// heldLimit is the size of the account in these tests.
const heldLimit = 8 << 20

// flood is a number of hostile connections, and the account that they try to exceed.
type flood struct {
	t       *testing.T
	account *holdings.Account
	address string
	handled *atomic.Int64
	conns   []net.Conn
}

// newFlood starts a server. Requests to /download get a response of 1 MB, which is read
// from another server.
func newFlood(t *testing.T) *flood {
	t.Helper()
	f := &flood{t: t, account: holdings.New(heldLimit), handled: &atomic.Int64{}}
	download := "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" + strings.Repeat("d", 1<<20)
	downloads := make([]string, 1000)
	for i := range downloads {
		downloads[i] = download
	}
	source, _ := startScriptedServer(t, downloads...)
	pool := NewPool(PoolOptions{DialTimeout: testTimeout, IdleTimeout: testTimeout, MaxBodyBytes: 1 << 20, Account: f.account, Purpose: holdings.Response})
	t.Cleanup(pool.CloseIdle)
	limits := strictLimits()
	limits.HeaderTimeout, limits.HeaderBytes, limits.BodyBytes = time.Minute, 64<<10, 2<<20
	_, f.address = serveWith(t, ServerOptions{
		Account: f.account, MaxConns: 500, Limits: func() Limits { return limits },
		Handler: func(ctx context.Context, r *http.Request) *Response {
			if r.URL.Path != "/download" {
				f.handled.Add(1)
				return &Response{Status: http.StatusOK, Header: http.Header{}}
			}
			ctx, cancel := context.WithTimeout(ctx, testTimeout)
			defer cancel()
			response, err := pool.Do(ctx, source, &Request{Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}})
			if err != nil {
				return nil
			}
			return &Response{Status: http.StatusOK, Header: http.Header{}, Body: response.Body, Held: response.Held}
		},
	})
	return f
}

// open opens a connection and sends the text, as much of it as the server reads.
func (f *flood) open(text string) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.conns = append(f.conns, conn)
	go func() { _, _ = io.WriteString(conn, text) }()
}

// trickle sends single bytes until a connection is closed by its owner.
func (f *flood) trickle(conns []net.Conn) {
	for ; ; time.Sleep(100 * time.Millisecond) {
		for _, conn := range conns {
			if _, err := io.WriteString(conn, "x"); errors.Is(err, net.ErrClosed) {
				return
			}
		}
	}
}

// await waits until the condition holds.
func (f *flood) await(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(2 * testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if total := f.account.Total(); total > heldLimit+heldLimit/4 {
			f.t.Fatalf("held %d bytes of %d", total, heldLimit)
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: held %d, stats %+v", what, f.account.Total(), f.account.Stats())
		}
	}
}

// ordinary sends an ordinary request, again as long as it is not taken.
func (f *flood) ordinary() bool {
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10000\r\n\r\n%s", strings.Repeat("o", 10_000))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// end closes the hostile connections and waits until nothing is held.
func (f *flood) end() {
	f.t.Helper()
	for _, conn := range f.conns {
		_ = conn.Close()
	}
	f.await("after the flood", func() bool { return f.account.Total() == 0 })
}

// Guards against requests and responses that together exceed the memory of the process,
// against a flood of them that keeps ordinary requests out, and against reservations that
// are not released. Each flood would hold several times the account.
func TestFloodsAreBounded(t *testing.T) {
	post := func(length, sent int) string {
		return fmt.Sprintf("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent))
	}
	for _, test := range []struct {
		name, text string
		conns      int
		exhausts   bool
	}{
		{trickles, post(15_000, 10), 600, false},
		{"bodies that stop", post(500_000, 499_999), 100, true},
		{"ordinary bodies that stop", post(15_000, 14_999), 600, true},
		{"long bodies that stop", post(2<<20, 2<<20-1), 100, false},
		{"chunked bodies that stop", "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n80000\r\n" + strings.Repeat("x", 0x7ffff), 100, true},
		{"pipelined bodies", strings.Repeat(post(250_000, 250_000), 15) + post(250_000, 249_999), 60, false},
		{"headers that stop", "GET /x HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("h", 60_000), 300, true},
		{"responses that nobody reads", strings.Repeat("GET /download HTTP/1.1\r\nHost: a\r\n\r\n", 4), 40, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFlood(t)
			for range test.conns {
				f.open(test.text)
			}
			if test.name == trickles {
				go f.trickle(f.conns)
			}
			if test.exhausts {
				f.await("exhausted", func() bool { return f.account.Stats().Refused > 0 })
			}
			f.await("an ordinary request is served", f.ordinary)
			f.end()
		})
	}
}

// Guards against stalled bodies that keep out others: they are given up with 408, as not
// run, when memory is short, and not before.
func TestStalledBodyYields(t *testing.T) {
	is := is.New(t)
	f := newFlood(t)
	const length = 900_000
	body := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length-1))
	const fits = heldLimit * 6 / 10 / length
	for range fits {
		f.open(body)
	}
	f.await("stalled", func() bool { return f.account.Held(holdings.Body) == fits*length })
	// Nothing else arrives, so that all are stalled.
	time.Sleep(1500 * time.Millisecond)
	is.Equal(f.account.Stats(), holdings.Stats{})
	f.open(body + "x")
	newcomer := f.conns[fits]
	_ = newcomer.SetReadDeadline(time.Now().Add(testTimeout))
	response, err := http.ReadResponse(bufio.NewReader(newcomer), nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(f.account.Stats().Revoked, uint64(1))
	is.Equal(f.handled.Load(), int64(1))
	late := 0
	for _, conn := range f.conns[:fits] {
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			is.NoErr(response.Body.Close())
			is.Equal(response.StatusCode, http.StatusRequestTimeout)
			late++
		}
	}
	is.Equal(late, 1)
	f.end()
}

// Guards against a client that stops in the middle of a body that is passed on, and so
// holds a slot: the request ends, without a claim that it has not run, and is told apart
// from a failure of the backend server.
func TestStalledStreamEnds(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{}, 1)
	source := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	defer source.Close()
	pool := NewPool(PoolOptions{DialTimeout: testTimeout, IdleTimeout: testTimeout, MaxBodyBytes: 1 << 20})
	defer pool.CloseIdle()
	limits := strictLimits()
	limits.BodyBytes = 2 * MaxBufferedBody
	sendErr := make(chan error, 1)
	_, address := serveWith(t, ServerOptions{Account: holdings.New(heldLimit), Limits: func() Limits { return limits }, Handler: func(ctx context.Context, r *http.Request) *Response {
		_, stream, _ := Body(r)
		_, err := pool.Do(ctx, source.Listener.Addr().String(), &Request{Method: http.MethodPost, Target: "/", Host: "a", Header: http.Header{}, Stream: stream, Length: r.ContentLength})
		sendErr <- err
		return nil
	}})
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", 2*MaxBufferedBody, strings.Repeat("x", MaxBufferedBody))
	is.NoErr(err)
	<-arrived
	select {
	case err := <-sendErr:
		var failed *SendError
		is.True(errors.As(err, &failed) && failed.Sent)
		is.True(errors.Is(err, ErrBodyEnded))
	case <-time.After(testTimeout):
		t.Fatal("the request has not ended")
	}
}
