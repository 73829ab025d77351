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
)

// peer accepts connections and hands each to the script, which sees the
// connection after the first request was read.
func peer(t *testing.T, script func(conn net.Conn, reader *bufio.Reader)) string {
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
					script(conn, reader)
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

// endless writes the text again and again until the other side closes, and
// returns the number of bytes written.
func endless(conn net.Conn, start, text string) int {
	written, err := io.WriteString(conn, start)
	block := strings.Repeat(text, 1+(64<<10)/len(text))
	for err == nil {
		var n int
		n, err = io.WriteString(conn, block)
		written += n
	}
	return written
}

// Guards against a backend server in trouble that sends bytes without end: they
// filled the memory of the daemon, or held a slot until the deadline. The request
// has to end at once, as one that may have run, and the connection with it.
func TestEndlessBytes(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	tests := []struct{ name, start, text string }{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"field", status + "X: ", "x"},
		{"fields", status, "X-Field: some text\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"early hints", "", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"},
		{"chunks", status + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		{"chunk extension", status + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"chunk extensions", status + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 900) + "\r\na\r\n"},
		{"trailers", status + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: some text\r\n"},
		{"announced body", status + "Content-Length: 9000000000\r\n\r\n", "x"},
		{"body without length", status + "Connection: close\r\n\r\n", "x"},
		{"other answers", "", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 4\r\n\r\nlate"},
		{"no answer", "", "rubbish "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan int, 1)
			address := peer(t, func(conn net.Conn, _ *bufio.Reader) { ended <- endless(conn, test.start, test.text) })
			pool := newPool(t, nil)
			// Long against what a busy machine takes for the bytes below.
			ctx, cancel := context.WithTimeout(context.Background(), 12*limit)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := pool.Do(ctx, address, get("1"))
			runtime.ReadMemStats(&after)
			var failed *SendError
			is.True(errors.As(err, &failed))
			is.True(failed.Sent)
			is.NoErr(ctx.Err())
			// The body may grow to the limit of the test's pool, a megabyte.
			is.True(after.TotalAlloc-before.TotalAlloc < 16<<20)
			// The rest of these bytes is in the buffers of the kernel.
			is.True(<-ended < 16<<20)
			is.Equal(len(pool.idle), 0)
		})
	}
}

// Guards against limits that refuse what backend servers may send: a few interim
// answers, a head of many fields, trailers, and a body of the largest size.
func TestLongAnswersPass(t *testing.T) {
	const size = 1 << 20
	body := strings.Repeat("x", size)
	fields := strings.Repeat("X-Field: some text\r\n", 1000)
	tests := []struct{ name, answer string }{
		{"length", fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\n%sContent-Length: %d\r\n\r\n%s", fields, size, body)},
		{"chunk", fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", size, body)},
		{"interim", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxInterim) + fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", size, body)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address, _ := script(t, test.answer)
			got, err := newPool(t, nil).Do(context.Background(), address, get("1"))
			is.NoErr(err)
			is.Equal(len(got.Body), size)
		})
	}
}

// Guards against bytes without end on a connection that rests: they may neither
// fill the memory nor reach the next request.
func TestEndlessBytesOnIdleConnection(t *testing.T) {
	is := is.New(t)
	first := atomic.Bool{}
	address := peer(t, func(conn net.Conn, reader *bufio.Reader) {
		if first.Swap(true) {
			_, _ = io.WriteString(conn, answer("2", "second"))
			_, _ = io.Copy(io.Discard, reader)
			return
		}
		_, _ = io.WriteString(conn, answer("1", "first"))
		time.Sleep(20 * time.Millisecond)
		endless(conn, "", answer("1", "first"))
	})
	var dials atomic.Int64
	pool := newPool(t, &dials)
	_, err := pool.Do(context.Background(), address, get("1"))
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	got, err := pool.Do(context.Background(), address, get("2"))
	is.NoErr(err)
	is.Equal(string(got.Body), "second")
	is.Equal(dials.Load(), int64(2))
}

// Guards against a second copy of an answer that reaches the next caller, with
// and without the request's id, at every point between two requests.
func TestSecondCopies(t *testing.T) {
	withoutID := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	copies := []struct{ name, text string }{
		{"with id", answer("1", "first")},
		{"without id", withoutID("first")},
		{"half", answer("1", "first")[:25]},
	}
	moments := []struct {
		name string
		// send writes the copy around the second request.
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
		{"before the next answer", func(conn net.Conn, reader *bufio.Reader, copied string) bool {
			if !readRequest(reader) {
				return false
			}
			_, _ = io.WriteString(conn, copied)
			return true
		}},
	}
	for _, one := range copies {
		for _, moment := range moments {
			for _, pause := range []time.Duration{0, 60 * time.Millisecond} {
				t.Run(fmt.Sprint(one.name, " ", moment.name, " ", pause), func(t *testing.T) {
					is := is.New(t)
					var served atomic.Int64
					address := peer(t, func(conn net.Conn, reader *bufio.Reader) {
						if served.Add(1) > 1 {
							_, _ = io.WriteString(conn, answer("2", "second"))
							return
						}
						_, _ = io.WriteString(conn, answer("1", "first"))
						if moment.send(conn, reader, one.text) {
							_, _ = io.WriteString(conn, answer("2", "second"))
						}
					})
					pool := newPool(t, nil)
					got, err := pool.Do(context.Background(), address, get("1"))
					is.NoErr(err)
					is.Equal(string(got.Body), "first")
					time.Sleep(pause)
					got, err = pool.Do(context.Background(), address, get("2"))
					if err == nil {
						is.Equal(string(got.Body), "second")
					}
				})
			}
		}
	}
}

// Guards against an answer without an id being taken for the request of a kept
// connection, and against keeping a connection on which answers bear none.
func TestAnswersWithoutID(t *testing.T) {
	is := is.New(t)
	var dials atomic.Int64
	address, _ := script(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", answer("2", "body"),
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"+answer("3", "mine"))
	pool := newPool(t, &dials)
	for i, want := range []string{"body", "body", "mine"} {
		got, err := pool.Do(context.Background(), address, get(fmt.Sprint(i+1)))
		is.NoErr(err)
		is.Equal(string(got.Body), want)
	}
	is.Equal(dials.Load(), int64(2))
}

// Guards against a copy of an answer of another daemon that reaches the next
// request on a kept connection: each exchange is numbered, and the answer has to
// bear the number.
func TestExchangesAreNumbered(t *testing.T) {
	is := is.New(t)
	const field = "Exchange"
	address := peer(t, func(conn net.Conn, reader *bufio.Reader) {
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
	pool := NewPool(PoolOptions{DialTimeout: limit, IdleTimeout: limit, MaxBodyBytes: 1 << 20, ExchangeField: field})
	t.Cleanup(pool.CloseIdle)
	for _, want := range []string{"first", "second"} {
		got, err := pool.Do(context.Background(), address, get("1"))
		is.NoErr(err)
		is.Equal(string(got.Body), want)
	}
	// A peer that does not echo the number is not one of the own processes.
	stranger, _ := script(t, answer("1", "body"))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := pool.Do(ctx, stranger, get("1"))
	is.True(err != nil)
}

// Guards against work that is given up, or started again elsewhere, because the
// host that runs it is silent for longer than a connection may leave bytes
// without acknowledgement.
func TestSilentPeerKeepsItsWork(t *testing.T) {
	is := is.New(t)
	var arrivals atomic.Int64
	address := peer(t, func(conn net.Conn, _ *bufio.Reader) {
		arrivals.Add(1)
		time.Sleep(5 * short)
		_, _ = io.WriteString(conn, answer("1", "late"))
	})
	pool := NewPool(PoolOptions{DialTimeout: limit, IdleTimeout: limit, MaxBodyBytes: 1 << 20, TCPUserTimeout: short})
	t.Cleanup(pool.CloseIdle)
	got, err := pool.Do(context.Background(), address, get("1"))
	is.NoErr(err)
	is.Equal(string(got.Body), "late")
	is.Equal(arrivals.Load(), int64(1))
}
