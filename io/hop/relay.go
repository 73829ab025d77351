package hop

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"marjoramsaddle/io/http1"
)

// copyBufferBytes is the size of a copy buffer: the memory that one response in
// flight uses in addition to the windows of its connections.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferBytes)
	return &buffer
}}

// ErrCloseDelimited means that a response has neither a Content-Length nor chunked
// encoding, so that a broken connection looks like its end.
var ErrCloseDelimited = errors.New("hop: response without a length: send Content-Length or use chunked encoding")

// Relay writes the response and its body to w and returns the number of body bytes.
// If the body can't be copied completely or its trailer is malformed, it panics with
// http.ErrAbortHandler, so that the receiver sees an aborted connection and not a complete
// response.
func Relay(w http.ResponseWriter, response *http.Response) int64 {
	defer func() { _ = response.Body.Close() }()
	CopyEndToEndHeaders(w.Header(), response.Header)
	announceTrailers(w.Header(), response.Trailer)
	w.WriteHeader(response.StatusCode)
	count, err := copyBody(w, response)
	if errors.Join(err, http1.CheckTrailer(response)) != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		w.Header()[name] = values
	}
	return count
}

func announceTrailers(header, trailer http.Header) {
	for name := range trailer {
		header.Add("Trailer", name)
	}
}

// copyBody copies the body of the response. It flushes after each read if the
// length is unknown, so that a stream of small messages is not delayed.
func copyBody(w http.ResponseWriter, response *http.Response) (int64, error) {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	controller := http.NewResponseController(w)
	var total int64
	for {
		n, readErr := response.Body.Read(*buffer)
		if n > 0 {
			if _, err := w.Write((*buffer)[:n]); err != nil {
				return total, err
			}
			total += int64(n)
			if response.ContentLength < 0 {
				_ = controller.Flush()
			}
		}
		if errors.Is(readErr, io.EOF) {
			return total, nil
		}
		if readErr != nil {
			return total, readErr
		}
	}
}

// CloseDelimited reports whether only the end of the connection marks the end of
// the response's body.
func CloseDelimited(response *http.Response) bool {
	return response.ProtoMajor == 1 && response.ContentLength < 0 &&
		len(response.TransferEncoding) == 0 && !response.Uncompressed && response.Body != http.NoBody
}
