package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"marjoramsaddle/platform/platformtest"
)

// exchange is a request at a backend server.
type exchange struct {
	backend *backend
	conn    net.Conn
	reader  *bufio.Reader
	request *http.Request
	id      string
}

// handler runs a request, whose body it must read, and reports whether the connection is
// kept.
type handler func(x *exchange) (keep bool)

// backend is a stand-in for a backend server that controls each byte of its responses.
type backend struct {
	name, address string
	listener      net.Listener
	born          time.Time
	handle        handler

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	sequence int
	ran      map[string]time.Time
}

func newBackend(name, address string, handle handler) (*backend, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	b := &backend{
		name: name, address: address, listener: listener, born: time.Now(), handle: handle,
		conns: map[net.Conn]struct{}{}, ran: map[string]time.Time{},
	}
	go b.accept()
	return b, nil
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = struct{}{}
		b.mu.Unlock()
		go b.serve(conn)
	}
}

func (b *backend) close() {
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		_ = conn.Close()
	}
}

// entry returns the entry that the backend server writes to the store.
func (b *backend) entry(service, domain, state string, slots int) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return render("entry.json", map[string]any{
		"Address": b.address, "Born": b.born.UnixMilli(), "Service": service, "Domain": domain, "Slots": slots, "State": state, "Sequence": b.sequence,
	})
}

// ranAt returns when the request began to run.
func (b *backend) ranAt(id string) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ran := b.ran[id]
	return at, ran
}

// serve handles the requests of a connection one after the other.
func (b *backend) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		x := &exchange{backend: b, conn: conn, reader: reader, request: request, id: request.Header.Get(headerRequestID)}
		if request.URL.Path == platformtest.HealthPath {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerInstance, b.name)
			continue
		}
		if request.Header.Get(headerExpected) != b.name {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerRequestID, x.id)
			continue
		}
		b.mu.Lock()
		b.ran[x.id] = time.Now()
		b.mu.Unlock()
		if !b.handle(x) {
			return
		}
	}
}

// head returns the head of a success, without a length.
func (x *exchange) head() string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s%s\r\n", headerRequestID, x.id, headerSignature, platformtest.SignaturePrefix, x.backend.name)
}

// respond reads the body of the request and sends a whole response.
func (x *exchange) respond(body string) bool {
	if _, err := io.Copy(io.Discard, x.request.Body); err != nil {
		return false
	}
	_, err := fmt.Fprintf(x.conn, "%sContent-Length: %d\r\n\r\n%s", x.head(), len(body), body)
	return err == nil
}

// works waits for the time that the request takes, which its query names, or until the
// connection ends.
func (x *exchange) works() {
	var milliseconds int
	if _, err := fmt.Sscan(x.request.URL.Query().Get("takes_ms"), &milliseconds); err == nil {
		time.Sleep(time.Duration(milliseconds) * time.Millisecond)
	}
}

// plain works and responds.
func plain(x *exchange) bool {
	x.works()
	return x.respond("answer of " + x.backend.name + " to " + x.id)
}

// isSigned reports whether a response bears the mark of a backend server.
func isSigned(header http.Header) bool {
	return strings.HasPrefix(header.Get(headerSignature), platformtest.SignaturePrefix)
}
