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

// checkResponse returns an error that wraps ErrMalformedResponse for a response of HTTP/1
// that net/http has accepted although its head, of which these are the bytes, is malformed.
func checkResponse(head []byte, response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return fmt.Errorf("%w: version %s", ErrMalformedResponse, response.Proto)
	case response.StatusCode < minStatus || response.StatusCode > maxStatus:
		return fmt.Errorf("%w: status %d", ErrMalformedResponse, response.StatusCode)
	case response.StatusCode == http.StatusSwitchingProtocols:
		// No request of this system asks for another protocol.
		return fmt.Errorf("%w: status %d without a request for it", ErrMalformedResponse, response.StatusCode)
	case !httpguts.ValidHeaderFieldValue(response.Status):
		return fmt.Errorf("%w: status line %q", ErrMalformedResponse, response.Status)
	}
	return checkLines(head, response)
}

// checkLines does the work of checkResponse for the lines after the status line. net/http
// accepts blanks in names: it leaves the chunks in the body with "Transfer-Encoding :
// chunked", and joins a line that begins with a blank to the value before it. It ignores
// the encoding of HTTP/1.0 responses, whose framing is then faulty (RFC 9112, section 6.1).
func checkLines(head []byte, response *http.Response) error {
	_, lines, _ := bytes.Cut(head, []byte{'\n'})
	for line := range bytes.Lines(lines) {
		if isBlank(line) {
			return nil
		}
		name, _, _ := bytes.Cut(line, []byte{':'})
		if !httpguts.ValidHeaderFieldName(string(name)) {
			return fmt.Errorf("%w: field name %q", ErrMalformedResponse, name)
		}
		if !response.ProtoAtLeast(1, 1) && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return fmt.Errorf("%w: HTTP/1.0 with Transfer-Encoding", ErrMalformedResponse)
		}
	}
	return nil
}

// isBlank reports whether the line, with its end, is the one that ends a head.
func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// CheckTrailer returns an error that wraps ErrMalformedResponse if the trailer of a response
// has a field whose name is malformed. Call it when the body has been read.
func CheckTrailer(response *http.Response) error {
	for name := range response.Trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q in the trailer", ErrMalformedResponse, name)
		}
	}
	return nil
}

// headReader keeps the bytes of a response's head as they arrive, because net/http drops
// some of them when it parses the head.
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
