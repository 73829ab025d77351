package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// reconnectDelay is how long a hostile client waits after its connection has ended.
	reconnectDelay = 500 * time.Millisecond
	dialTimeout    = 5 * time.Second
	// furtherGets are sent after one that is answered. The buffers of the kernel take in
	// 3.9 MB of a connection on loopback.
	furtherGets        = 2
	furtherGetInterval = 300 * time.Millisecond
	// ordinaryInterval is the time between a response and the next ordinary request.
	ordinaryInterval = 100 * time.Millisecond
	// slowBytes of a slow body are sent in each slowInterval, after the first
	// slowBodyBytes. With these the average stays above the 4 KiB/s that clients must
	// keep for more than a minute.
	slowInterval  = 100 * time.Millisecond
	slowBytes     = 10
	slowBodyBytes = 300 * kib
	// pipelined is the number of requests that a daemon handles at a time on a connection.
	pipelined = 16
	// sendBufferBytes keeps the buffers of the kernel small.
	sendBufferBytes = 64 * kib
	// chunkBytes is the size of the chunks of chunked bodies.
	chunkBytes = 16 * kib
	// headerBytes is within the limit of the configuration.
	headerBytes = 15 * kib
)

// hostileClients are a number of clients of one kind, each with a connection of its own.
type hostileClients struct {
	count int
	use   connectionUse
}

// connectionUse sends what a client sends on a connection, and returns when the
// connection has ended. The connection is closed at the end of the context.
type connectionUse func(ctx context.Context, conn net.Conn)

// run keeps the connections of the clients to the address open until the context ends.
// Each client calls opened once it has tried to connect.
func (c hostileClients) run(ctx context.Context, address string, opened func(), clients *sync.WaitGroup) {
	for range c.count {
		clients.Go(func() {
			first := sync.OnceFunc(opened)
			for ctx.Err() == nil {
				c.connect(ctx, address, first)
				sleepUntil(ctx, time.Now().Add(reconnectDelay))
			}
		})
	}
}

// connect opens one connection and uses it until it ends.
func (c hostileClients) connect(ctx context.Context, address string, opened func()) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	opened()
	if err != nil {
		// A refused connection is tried again, as a closed one is.
		return
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		// The kernel may use another size.
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	c.use(ctx, conn)
}

// requestHead returns the head of a request to the route, with a field that describes
// its body.
func requestHead(method, target, bodyField string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\n%s\r\n\r\n", method, target, bodyField)
}

func postHead(route string, size int) string {
	return requestHead("POST", "/"+route+"/?takes_ms=200", fmt.Sprintf("Content-Length: %d", size))
}

// readUntilClosed reads and discards responses until the connection ends.
func readUntilClosed(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// stalledBody sends a POST whose last byte is missing.
func stalledBody(route string, size int) connectionUse {
	request := []byte(postHead(route, size) + strings.Repeat("x", size-1))
	return func(_ context.Context, conn net.Conn) {
		if _, err := conn.Write(request); err == nil {
			readUntilClosed(conn)
		}
	}
}

// stalledChunks sends a POST in chunks, of which the last one is missing.
func stalledChunks(route string, size int) connectionUse {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	request := []byte(requestHead("POST", "/"+route+"/", "Transfer-Encoding: chunked") + strings.Repeat(chunk, size/chunkBytes))
	return func(_ context.Context, conn net.Conn) {
		if _, err := conn.Write(request); err == nil {
			readUntilClosed(conn)
		}
	}
}

// pipelinedPosts sends as many whole POSTs as are handled at a time without waiting for
// their responses, then reads these, and so on.
func pipelinedPosts(route string, size int) connectionUse {
	requests := []byte(strings.Repeat(postHead(route, size)+strings.Repeat("x", size), pipelined))
	return func(_ context.Context, conn net.Conn) {
		responses := bufio.NewReader(conn)
		for {
			written := make(chan error, 1)
			go func() {
				_, err := conn.Write(requests)
				written <- err
			}()
			for range pipelined {
				if readResponse(responses) != nil {
					// Makes the writer end.
					_ = conn.Close()
					break
				}
			}
			if <-written != nil {
				return
			}
		}
	}
}

// readResponse reads and discards one response. It fails if the connection ends after it.
func readResponse(from *bufio.Reader) error {
	response, err := http.ReadResponse(from, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.Close {
		return io.EOF
	}
	return nil
}

// slowBody sends a POST of which a first part arrives at once, the rest slowly.
func slowBody(route string, size int) connectionUse {
	request := []byte(postHead(route, size) + strings.Repeat("x", slowBodyBytes))
	part := bytes.Repeat([]byte("x"), slowBytes)
	return func(ctx context.Context, conn net.Conn) {
		go func() {
			defer func() { _ = conn.Close() }()
			readUntilClosed(conn)
		}()
		_, err := conn.Write(request)
		for sent := slowBodyBytes; err == nil && sent+slowBytes < size; sent += slowBytes {
			sleepUntil(ctx, time.Now().Add(slowInterval))
			_, err = conn.Write(part)
		}
	}
}

// unreadResponses sends a GET, again until it is not rejected, and then reads no more
// than the header of the response, whose body has the given size. It sends further GETs,
// because the first response may fit in the buffers of the kernel.
func unreadResponses(route string, size int) connectionUse {
	request := []byte(requestHead("GET", fmt.Sprintf("/%s/?bytes=%d", route, size), "Accept: */*"))
	return func(ctx context.Context, conn net.Conn) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// The kernel may round the size up.
			_ = tcp.SetReadBuffer(kib)
		}
		responses := bufio.NewReader(conn)
		for ctx.Err() == nil {
			if _, err := conn.Write(request); err != nil {
				return
			}
			response, err := http.ReadResponse(responses, nil) //nolint:bodyclose // Closing would read it.
			if err != nil {
				return
			}
			if response.StatusCode == http.StatusOK {
				for range furtherGets {
					sleepUntil(ctx, time.Now().Add(furtherGetInterval))
					if _, err := conn.Write(request); err != nil {
						return
					}
				}
				<-ctx.Done()
				return
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
				return
			}
			sleepUntil(ctx, time.Now().Add(callerDelay))
		}
	}
}

// endlessHeader sends a header without its end, in fields with values of the given size.
func endlessHeader(valueBytes int) connectionUse {
	var header bytes.Buffer
	header.WriteString("GET /" + localRoute + "/ HTTP/1.1\r\nHost: shop.example\r\n")
	for i := 0; header.Len() < headerBytes; i++ {
		fmt.Fprintf(&header, "%x:%s\r\n", i, strings.Repeat("x", valueBytes))
	}
	return func(_ context.Context, conn net.Conn) {
		if _, err := conn.Write(header.Bytes()); err == nil {
			readUntilClosed(conn)
		}
	}
}

// silentConnection sends nothing.
func silentConnection(_ context.Context, conn net.Conn) { readUntilClosed(conn) }

// ordinaryPosts sends whole POSTs, each after the response to the one before.
func ordinaryPosts(route string, size int) connectionUse {
	head := requestHead("POST", "/"+route+"/?takes_ms=20", fmt.Sprintf("Content-Length: %d", size))
	request := []byte(head + strings.Repeat("x", size))
	return func(ctx context.Context, conn net.Conn) {
		responses := bufio.NewReader(conn)
		for ctx.Err() == nil {
			if _, err := conn.Write(request); err != nil {
				return
			}
			if readResponse(responses) != nil {
				return
			}
			sleepUntil(ctx, time.Now().Add(ordinaryInterval))
		}
	}
}
