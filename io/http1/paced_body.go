package http1

import (
	"io"
	"time"

	"marjoramsaddle/core/holdings"
)

// pacedBody is a request body with a size limit and a minimum transfer rate.
type pacedBody struct {
	conn      *Conn
	body      io.ReadCloser
	bytesRead int64
	// maxBytes limits bytesRead; zero means no limit.
	maxBytes int64
	// baseDeadline is the read deadline before the first byte. Each byte read
	// extends the deadline by the time it takes at minTransferRate.
	baseDeadline time.Time
	// maxStall limits the time of one read, if set, and holding records what the request
	// is doing. They are set for a body that is passed on while it arrives, since it then
	// holds a slot of a backend server.
	maxStall time.Duration
	holding  *Holding
}

// Read fails once the average transfer rate falls below minTransferRate or the
// body exceeds the limit.
func (b *pacedBody) Read(p []byte) (int, error) {
	extension := time.Duration(float64(b.bytesRead) / minTransferRate * float64(time.Second))
	deadline := b.baseDeadline.Add(extension)
	if stallDeadline := time.Now().Add(b.maxStall); b.maxStall > 0 && stallDeadline.Before(deadline) {
		deadline = stallDeadline
	}
	_ = b.conn.SetReadDeadline(deadline)
	b.holding.setState(holdings.Streaming)
	n, err := b.body.Read(p)
	// What follows may wait for the backend server, not for the client.
	b.holding.setState(holdings.Running)
	b.bytesRead += int64(n)
	if b.maxBytes > 0 && b.bytesRead > b.maxBytes {
		return n, errRequestBodyTooLarge
	}
	if err != nil {
		_ = b.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Close closes the underlying body.
func (b *pacedBody) Close() error { return b.body.Close() }
