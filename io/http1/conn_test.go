package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a header that takes too long and is read on after its deadline: readers
// that buffer drop the first error behind a part of a line, and took what came next for a
// line of its own. The client got 400 instead of 408.
func TestReadDeadlineHoldsUntilTheNext(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	conn := NewConn(near)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(-time.Second)))
	read := make([]byte, 8)
	_, err := conn.Read(read)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	_, err = far.Write([]byte("late"))
	is.NoErr(err)
	for conn.Idle() {
		time.Sleep(time.Millisecond)
	}
	_, err = conn.Read(read)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.NoErr(conn.SetReadDeadline(time.Now().Add(testTimeout)))
	n, err := conn.Read(read)
	is.NoErr(err)
	is.Equal(string(read[:n]), "late")
}

// Guards against a reset that only the write of a long request receives, after which reads
// see the end of the stream: a part of a response without a length is then taken for the
// whole. What the peer has sent before it ended the stream in order is whole.
func TestResetDuringWrite(t *testing.T) {
	const length = 12 << 20
	requests := map[string]func() *Request{
		"body":   func() *Request { return &Request{Body: make([]byte, length)} },
		"stream": func() *Request { return &Request{Stream: io.LimitReader(zeros{}, length), Length: length} },
	}
	for name, newRequest := range requests {
		for _, ordered := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " ", ordered), func(t *testing.T) {
				is := is.New(t)
				address := startEarlyPeer(t, ordered)
				request := newRequest()
				request.Method, request.Target, request.Host, request.Header = http.MethodPost, "/", "shop", http.Header{"Id": {"1"}}
				got, err := newPool(t, nil).Do(context.Background(), address, request)
				if ordered {
					is.NoErr(err)
					is.Equal(string(got.Body), "part")
					return
				}
				var sendErr *SendError
				is.True(errors.As(err, &sendErr))
				is.True(sendErr.Sent)
			})
		}
	}
}

// startEarlyPeer listens, responds to a request before it has read the body, and resets
// the connection. If ordered is set, it ends its stream before.
func startEarlyPeer(t *testing.T, ordered bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
		tcp := conn.(*net.TCPConn)
		if ordered {
			_ = tcp.CloseWrite()
		}
		time.Sleep(50 * time.Millisecond)
		_ = tcp.SetLinger(0)
	}()
	return listener.Addr().String()
}

// Guards against a connection that is closed just when its buffer becomes full, and whose
// reading goroutine then waits for ever for room in it.
func TestCloseWhileBufferFills(t *testing.T) {
	is := is.New(t)
	inner := &heldConn{reads: make(chan struct{}), reading: make(chan struct{}, 1)}
	conn := NewConn(inner)
	for range maxReadAhead / readSize {
		<-inner.reading
		if conn.buffered() < maxReadAhead-readSize {
			inner.reads <- struct{}{}
		}
	}
	// The read that fills the buffer returns after Close.
	is.NoErr(conn.Close())
	inner.reads <- struct{}{}
	select {
	case <-conn.Done():
	case <-time.After(testTimeout):
		t.Fatal("the connection is still read")
	}
}

// heldConn is a connection whose reads each wait to be let on and then fill their buffer.
type heldConn struct {
	net.Conn
	reads, reading chan struct{}
}

func (c *heldConn) Read(p []byte) (int, error) {
	c.reading <- struct{}{}
	<-c.reads
	return len(p), nil
}

func (c *heldConn) Close() error { return nil }

// buffered returns the number of unread bytes.
func (c *Conn) buffered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unread()
}
