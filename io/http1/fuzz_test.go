package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"golang.org/x/net/http/httpguts"
)

// fuzzTimeout is the header and idle timeout of the fuzzed server.
const fuzzTimeout = 50 * time.Millisecond

// Guards against malformed responses that crash the process, block past the
// deadline, or are accepted although they belong to another request or cannot be passed on.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		responseText("1", "body"), responseText("0", "late") + responseText("1", "body"), "HTTP/1.1 100 Continue\r\n\r\n" + responseText("1", ""),
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
		"HTTP/1.1 000 OK\r\n\r\n" + responseText("1", "body"), "HTTP/1.1 101 Other\r\nId: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nId: 1\r\n X: y\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = listener.Close() })
	received := make(chan []byte)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write(<-received)
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
	}()
	f.Fuzz(func(t *testing.T, data []byte) {
		pool := NewPool(PoolOptions{
			DialTimeout: testTimeout, IdleTimeout: testTimeout, MaxBodyBytes: 1 << 10,
			RequestID: func(header http.Header) string { return header.Get("Id") },
		})
		defer pool.CloseIdle()
		go func() { received <- data }()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		got, err := pool.Do(ctx, listener.Addr().String(), getRequest("1"))
		if err != nil {
			return
		}
		if got.Header.Get("Id") != "" && got.Header.Get("Id") != "1" {
			t.Fatal("accepted the response to another request")
		}
		if got.Status < http.StatusOK || got.Status > maxStatus {
			t.Fatalf("accepted the status %d", got.Status)
		}
		for name, values := range got.Header {
			invalid := func(value string) bool { return !httpguts.ValidHeaderFieldValue(value) }
			if !httpguts.ValidHeaderFieldName(name) || slices.ContainsFunc(values, invalid) {
				t.Fatalf("accepted the field %q: %q", name, values)
			}
		}
	})
}

// Guards against malformed requests that crash the process or keep a connection
// open past its timeouts.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"GET / HTTP/1.0\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	server := NewServer(ServerOptions{Handler: echo, Limits: func() Limits {
		return Limits{HeaderTimeout: fuzzTimeout, IdleTimeout: fuzzTimeout, HeaderBytes: 1 << 10, BodyBytes: 1 << 10}
	}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	f.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write(data)
		_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("the connection was not closed")
		}
	})
}
