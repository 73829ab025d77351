package http1

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"
)

// streamedBody is the body of a request that is handled while it arrives. A handler may
// return before its goroutines have stopped reading, because a backend server may respond
// early. The server then takes the body back with discard.
type streamedBody struct {
	mu sync.Mutex
	// read holds the part that arrived before the request was handled.
	read *bytes.Reader
	rest *pacedBody
	// takenBack is set once reads of the handler fail.
	takenBack bool
}

func newStreamedBody(read []byte, rest *pacedBody) *streamedBody {
	return &streamedBody{read: bytes.NewReader(read), rest: rest}
}

// Read reads the body until discard is called.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.takenBack {
		return 0, http.ErrBodyReadAfterClose
	}
	if b.read.Len() > 0 {
		return b.read.Read(p)
	}
	return b.rest.Read(p)
}

// Close leaves the body as it is: discard reads what remains of it.
func (b *streamedBody) Close() error { return nil }

// discard makes further reads fail and reads the rest of the body, which precedes the
// next request. A read in progress ends first.
func (b *streamedBody) discard() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.takenBack = true
	// A client that stops meanwhile is given up like one that stops before.
	_, err := io.Copy(io.Discard, b.rest)
	return err
}

// bufferBody reads a body shorter than MaxBufferedBody into memory and reports
// whether it did. A longer body remains a stream with the same content.
func (c *serverConn) bufferBody(request *http.Request) (buffered bool, err error) {
	if request.Body == nil || request.Body == http.NoBody {
		return true, nil
	}
	limits := c.server.options.Limits()
	body := &pacedBody{conn: c.conn, body: request.Body, maxBytes: limits.BodyBytes, baseDeadline: time.Now().Add(limits.HeaderTimeout)}
	data, complete, err := c.holding.ReadBody(body, request.ContentLength)
	if err != nil {
		return false, err
	}
	if complete {
		_ = c.conn.SetReadDeadline(time.Time{})
		request.Body, request.ContentLength = newBufferedBody(data), int64(len(data))
		return true, nil
	}
	body.holding, body.maxStall = c.holding, limits.HeaderTimeout
	request.Body = newStreamedBody(data, body)
	return false, nil
}
