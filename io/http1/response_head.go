package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// The valid status codes (RFC 9110, section 15). net/http accepts 000 to 999 and "+99".
const (
	minStatus = 100
	maxStatus = 599
)

// ErrMalformedResponse is returned for bytes of a server that are not a response.
var ErrMalformedResponse = errors.New("http1: malformed response: check the server")

// CheckResponse returns an error that wraps ErrMalformedResponse for a response of HTTP/1
// that net/http has accepted although its head is malformed.
func CheckResponse(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %s", ErrMalformedResponse, response.Proto)
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %d", ErrMalformedResponse, response.StatusCode)
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		// No request of this system asks for another protocol.
		return fmt.Errorf("%w: status %d without a request for it", ErrMalformedResponse, response.StatusCode)
	}
	if !httpguts.ValidHeaderFieldValue(response.Status) {
		return fmt.Errorf("%w: status line %q", ErrMalformedResponse, response.Status)
	}
	return CheckFields(response.Header)
}

// CheckFields returns an error that wraps ErrMalformedResponse if the header or trailer of
// a response has a field whose name is malformed. net/http accepts blanks in names, and
// with "Transfer-Encoding : chunked" leaves the chunks in the body.
func CheckFields(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrMalformedResponse, name)
		}
	}
	return nil
}

// headReader keeps the bytes of a response's head as they arrive, to check in them what
// net/http drops when it parses them.
type headReader struct {
	conn io.Reader
	// recording is set while a head is read. head then holds the bytes that have been
	// buffered since its beginning.
	recording bool
	head      []byte
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if r.recording {
		r.head = append(r.head, p[:n]...)
	}
	return n, err
}

// start begins a head with what is buffered already.
func (r *headReader) start(buffered *bufio.Reader) {
	// Peek does not fail for bytes that are buffered.
	early, _ := buffered.Peek(buffered.Buffered())
	r.recording, r.head = true, append(r.head[:0], early...)
}

// end returns the head, which is valid until the next one begins. What is still buffered
// comes after it.
func (r *headReader) end(buffered *bufio.Reader) []byte {
	r.recording = false
	return r.head[:len(r.head)-buffered.Buffered()]
}

// trim gives back the memory of a long head.
func (r *headReader) trim() {
	if cap(r.head) > 2*bufferSize {
		r.head = nil
	}
}

// checkHead returns an error that wraps ErrMalformedResponse if net/http has overlooked a
// part of the head of a response: it ignores the encoding of HTTP/1.0 responses, whose
// framing is then faulty (RFC 9112, section 6.1), and joins a folded line to the value
// before it, which need not be meant.
func checkHead(head []byte, response *http.Response) error {
	for line := range bytes.Lines(head) {
		if line[0] == ' ' || line[0] == '\t' {
			return fmt.Errorf("%w: folded line %q", ErrMalformedResponse, line)
		}
		name, _, _ := bytes.Cut(line, []byte{':'})
		if !response.ProtoAtLeast(1, 1) && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return fmt.Errorf("%w: HTTP/1.0 with Transfer-Encoding", ErrMalformedResponse)
		}
	}
	return nil
}
