package hop

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// copyBytes is the size of a copy buffer. It bounds the memory of one answer
// in flight beside the windows of the connections.
const copyBytes = 32 << 10

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBytes)
	return &buffer
}}

// ErrCloseDelimited means that an answer has neither a length nor chunks, so that
// its end can't be told from a broken connection.
var ErrCloseDelimited = errors.New("hop: answer without a length: send Content-Length or chunks")

// Relay sends the answer on, whole or visibly broken: when the body ends early
// it aborts the connection to the reader with http.ErrAbortHandler. It returns
// the number of body bytes.
func Relay(w http.ResponseWriter, response *http.Response) int64 {
	defer func() { _ = response.Body.Close() }()
	CopyEndToEndHeaders(w.Header(), response.Header)
	announceTrailers(w.Header(), response.Trailer)
	w.WriteHeader(response.StatusCode)
	count, err := copyBody(w, response)
	if err != nil {
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

// copyBody flushes after each read when the length is not known, so that a
// stream of small messages is not held back.
func copyBody(w http.ResponseWriter, response *http.Response) (int64, error) {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
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

// CloseDelimited reports whether the end of the answer's body is marked only by the
// end of the connection.
func CloseDelimited(response *http.Response) bool {
	return response.ProtoMajor == 1 && response.ContentLength < 0 &&
		len(response.TransferEncoding) == 0 && !response.Uncompressed && response.Body != http.NoBody
}
