package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/holdings"
)

// startPeer listens and calls handle for each connection once its first request
// has been read.
func startPeer(t *testing.T, handle func(conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				if readRequest(reader) {
					handle(conn, reader)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func readRequest(reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// writeEndlessly writes the prefix and then repeats the text until the peer closes
// the connection. It returns the number of bytes written.
func writeEndlessly(conn net.Conn, prefix, text string) int {
	written, err := io.WriteString(conn, prefix)
	// io.WriteString would copy the block for each write, and the tests measure the
	// memory that the process allocates.
	block := []byte(strings.Repeat(text, 1+(64<<10)/len(text)))
	for err == nil {
		var n int
		n, err = conn.Write(block)
		written += n
	}
	return written
}

// Guards against a faulty backend server that sends data without end, which
// exhausted the daemon's memory or held a slot until the deadline. The request
// must fail at once with Sent set, and its connection must be closed.
func TestEndlessBytes(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	tests := []struct{ name, start, text string }{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"field", status + "X: ", "x"},
		{"fields", status, "X-Field: some text\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"early hints", "", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"},
		{"chunks", status + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		{"chunk extension", status + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"chunk extensions", status + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 900) + "\r\na\r\n"},
		{"trailers", status + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: some text\r\n"},
		{"announced body", status + "Content-Length: 9000000000\r\n\r\n", "x"},
		{"body without length", status + "Connection: close\r\n\r\n", "x"},
		{"other responses", "", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 4\r\n\r\nlate"},
		{"no response", "", "rubbish "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan int, 1)
			address := startPeer(t, func(conn net.Conn, _ *bufio.Reader) { ended <- writeEndlessly(conn, test.start, test.text) })
			pool := newPool(t, nil)
			// Much longer than a busy machine needs to transfer the bytes below.
			ctx, cancel := context.WithTimeout(context.Background(), 12*testTimeout)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := pool.Do(ctx, address, getRequest("1"))
			runtime.ReadMemStats(&after)
			var sendErr *SendError
			is.True(errors.As(err, &sendErr))
			is.True(sendErr.Sent)
			is.NoErr(ctx.Err())
			// The body may grow to the pool's MaxBodyBytes, 1 MiB.
			is.True(after.TotalAlloc-before.TotalAlloc < 16<<20)
			// The bytes beyond the pool's limits are in kernel buffers.
			is.True(<-ended < 16<<20)
			is.Equal(len(pool.idle), 0)
		})
	}
}

// Guards against limits that reject valid responses: a few interim responses, many
// header fields, trailers, and a body of exactly MaxBodyBytes.
func TestLongResponsesPass(t *testing.T) {
	const size = 1 << 20
	body := strings.Repeat("x", size)
	fields := strings.Repeat("X-Field: some text\r\n", 1000)
	tests := []struct{ name, response string }{
		{"length", fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\n%sContent-Length: %d\r\n\r\n%s", fields, size, body)},
		{"chunk", fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", size, body)},
		{"interim", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxInterimResponses) + fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", size, body)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, _ := startScriptedServer(t, test.response)
			got, err := newPool(t, nil).Do(context.Background(), address, getRequest("1"))
			is.NoErr(err)
			is.Equal(len(got.Body), size)
		})
	}
}

// Guards against endless data on an idle connection: it must neither exhaust the
// memory nor be taken for the response to the next request.
func TestEndlessBytesOnIdleConnection(t *testing.T) {
	is := is.New(t)
	first := atomic.Bool{}
	address := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
		if first.Swap(true) {
			_, _ = io.WriteString(conn, responseText("2", "second"))
			_, _ = io.Copy(io.Discard, reader)
			return
		}
		_, _ = io.WriteString(conn, responseText("1", "first"))
		time.Sleep(20 * time.Millisecond)
		writeEndlessly(conn, "", responseText("1", "first"))
	})
	var dials atomic.Int64
	pool := newPool(t, &dials)
	_, err := pool.Do(context.Background(), address, getRequest("1"))
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	got, err := pool.Do(context.Background(), address, getRequest("2"))
	is.NoErr(err)
	is.Equal(string(got.Body), "second")
	is.Equal(dials.Load(), int64(2))
}

// Guards against a duplicate response, with or without the request ID, that is
// returned for the next request, whenever between the two requests it arrives.
func TestDuplicateResponses(t *testing.T) {
	withoutID := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	duplicates := []struct{ name, text string }{
		{"with id", responseText("1", "first")},
		{"without id", withoutID("first")},
		{"half", responseText("1", "first")[:25]},
		{"refusal with id", refusalText("Id: 1\r\n")},
		{"refusal without id", refusalText("")},
		{"refusals", strings.Repeat(refusalText("Id: 1\r\n"), 2)},
	}
	timings := []struct {
		name string
		// send writes the duplicate and reads the second request. It reports whether
		// that succeeded.
		send func(conn net.Conn, reader *bufio.Reader, copied string) bool
	}{
		{"at once", func(conn net.Conn, reader *bufio.Reader, copied string) bool {
			_, _ = io.WriteString(conn, copied)
			return readRequest(reader)
		}},
		{"later", func(conn net.Conn, reader *bufio.Reader, copied string) bool {
			time.Sleep(30 * time.Millisecond)
			_, _ = io.WriteString(conn, copied)
			return readRequest(reader)
		}},
		{"as the next request is written", func(conn net.Conn, reader *bufio.Reader, copied string) bool {
			_, err := reader.Peek(1)
			_, _ = io.WriteString(conn, copied)
			return err == nil && readRequest(reader)
		}},
		{"before the next response", func(conn net.Conn, reader *bufio.Reader, copied string) bool {
			if !readRequest(reader) {
				return false
			}
			_, _ = io.WriteString(conn, copied)
			return true
		}},
	}
	for _, duplicate := range duplicates {
		for _, timing := range timings {
			for _, pause := range []time.Duration{0, 60 * time.Millisecond} {
				t.Run(fmt.Sprint(duplicate.name, " ", timing.name, " ", pause), func(t *testing.T) {
					is := is.New(t)
					var served atomic.Int64
					address := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
						if served.Add(1) > 1 {
							_, _ = io.WriteString(conn, responseText("2", "second"))
							return
						}
						_, _ = io.WriteString(conn, responseText("1", "first"))
						if timing.send(conn, reader, duplicate.text) {
							_, _ = io.WriteString(conn, responseText("2", "second"))
						}
					})
					pool := newPool(t, nil)
					got, err := pool.Do(context.Background(), address, getRequest("1"))
					is.NoErr(err)
					is.Equal(string(got.Body), "first")
					time.Sleep(pause)
					got, err = pool.Do(context.Background(), address, getRequest("2"))
					if err == nil {
						is.Equal(got.Status, http.StatusOK)
						is.Equal(string(got.Body), "second")
					}
				})
			}
		}
	}
}

// refusalText returns a response that says that the request has not run.
func refusalText(fields string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + fields + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

// Guards against a success with an empty or short body, framed as whole, when the
// backend server breaks off in the middle of the head of its response.
func TestResponseEndsWithinHead(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: abc\r\n"
	for _, framing := range []string{"Content-Length: 4\r\n", "Connection: close\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		whole := head + framing + "\r\n"
		for length := range len(whole) {
			text := whole[:length]
			address := startPeer(t, func(conn net.Conn, _ *bufio.Reader) { _, _ = io.WriteString(conn, text) })
			if got, err := newPool(t, nil).Do(context.Background(), address, getRequest("1")); err == nil {
				t.Errorf("%q was taken for a response with status %d and the body %q", text, got.Status, got.Body)
			}
		}
	}
}

// Guards against accepting a response without an ID on a reused connection, and
// against keeping a connection whose responses carry none.
func TestResponsesWithoutID(t *testing.T) {
	is := is.New(t)
	var dials atomic.Int64
	address, _ := startScriptedServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", responseText("2", "body"),
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"+responseText("3", "mine"))
	pool := newPool(t, &dials)
	for i, want := range []string{"body", "body", "mine"} {
		got, err := pool.Do(context.Background(), address, getRequest(fmt.Sprint(i+1)))
		is.NoErr(err)
		is.Equal(string(got.Body), want)
	}
	is.Equal(dials.Load(), int64(2))
}

// Guards against a duplicate response of another daemon being returned for the
// next request on the connection: each exchange is numbered, and the response must
// echo the number.
func TestExchangesAreNumbered(t *testing.T) {
	is := is.New(t)
	const field = "Exchange"
	address := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
		reply := func(exchange int, body string) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s", field, exchange, len(body), body)
		}
		reply(1, "first")
		if _, err := reader.Peek(1); err != nil || !readRequest(reader) {
			return
		}
		reply(1, "again")
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnone")
		reply(2, "second")
	})
	pool := NewPool(PoolOptions{DialTimeout: testTimeout, IdleTimeout: testTimeout, MaxBodyBytes: 1 << 20, ExchangeField: field})
	t.Cleanup(pool.CloseIdle)
	for _, want := range []string{"first", "second"} {
		got, err := pool.Do(context.Background(), address, getRequest("1"))
		is.NoErr(err)
		is.Equal(string(got.Body), want)
	}
	// A peer that does not echo the number is not a daemon.
	foreign, _ := startScriptedServer(t, responseText("1", "body"))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := pool.Do(ctx, foreign, getRequest("1"))
	is.True(err != nil)
}

// Guards against a request that is aborted or sent again because the peer takes
// longer to respond than TCPUserTimeout.
func TestRequestToSilentPeerIsNotRepeated(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	address := startPeer(t, func(conn net.Conn, _ *bufio.Reader) {
		requests.Add(1)
		time.Sleep(5 * headerTimeout)
		_, _ = io.WriteString(conn, responseText("1", "late"))
	})
	pool := NewPool(PoolOptions{DialTimeout: testTimeout, IdleTimeout: testTimeout, MaxBodyBytes: 1 << 20, TCPUserTimeout: headerTimeout})
	t.Cleanup(pool.CloseIdle)
	got, err := pool.Do(context.Background(), address, getRequest("1"))
	is.NoErr(err)
	is.Equal(string(got.Body), "late")
	is.Equal(requests.Load(), int64(1))
}

// Guards against a long body that is given up because its receiver stops reading for longer
// than TCPUserTimeout, as a busy backend server does: its window is then closed, and the
// kernel counts that time as well.
func TestReceiverPausesWithinLongBody(t *testing.T) {
	is := is.New(t)
	const timeout, length = 200 * time.Millisecond, 16 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		time.Sleep(8 * timeout)
		if readRequest(bufio.NewReader(conn)) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	pool := NewPool(PoolOptions{DialTimeout: testTimeout, IdleTimeout: testTimeout, MaxBodyBytes: 1 << 20, TCPUserTimeout: timeout})
	defer pool.CloseIdle()
	response, err := pool.Do(t.Context(), listener.Addr().String(), &Request{
		Method: http.MethodPost, Target: "/", Host: "shop", Header: http.Header{},
		Stream: io.LimitReader(zeros{}, length), Length: length,
	})
	is.NoErr(err)
	is.Equal(response.Status, http.StatusOK)
}

// zeros is an endless stream of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against a body without end that waits for memory beyond the largest body, which
// may never be free: it would hold its slot and what it has until the deadline, and with a
// few others keep the memory from all other requests.
func TestEndlessBodyNeedsNoFurtherMemory(t *testing.T) {
	is := is.New(t)
	address := startPeer(t, func(conn net.Conn, _ *bufio.Reader) {
		writeEndlessly(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x")
	})
	pool := newPool(t, nil)
	account := holdings.New(pool.options.MaxBodyBytes * 3 / 2)
	pool.options.Account, pool.options.Purpose = account, holdings.Response
	ctx, owner := WithOwner(context.Background())
	defer owner.Close()
	ctx, cancel := context.WithTimeout(ctx, 2*testTimeout)
	defer cancel()
	_, err := pool.Do(ctx, address, getRequest("1"))
	is.True(errors.Is(err, ErrResponseBodyTooLarge))
}
