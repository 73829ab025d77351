package http1

import (
	"io"
	"time"
)

// pacedBody is a request body with a size limit and a minimum transfer rate.
type pacedBody struct {
	conn *Conn
	body io.ReadCloser
	// read is the number of bytes read so far.
	read int64
	// limit is the maximum size in bytes; zero means no limit.
	limit int64
	// baseDeadline is the read deadline before the first byte. Each byte read
	// extends the deadline by the time it takes at minTransferRate.
	baseDeadline time.Time
}

// Read fails once the average transfer rate falls below minTransferRate or the
// body exceeds the limit.
func (b *pacedBody) Read(p []byte) (int, error) {
	earned := time.Duration(float64(b.read) / minTransferRate * float64(time.Second))
	_ = b.conn.SetReadDeadline(b.baseDeadline.Add(earned))
	n, err := b.body.Read(p)
	b.read += int64(n)
	if b.limit > 0 && b.read > b.limit {
		return n, errRequestBodyTooLarge
	}
	if err != nil {
		_ = b.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Close closes the underlying body.
func (b *pacedBody) Close() error { return b.body.Close() }
