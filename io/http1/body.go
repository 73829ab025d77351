package http1

import (
	"io"
	"time"
)

// pacedBody is a body that has to arrive at the least rate and within its limit.
type pacedBody struct {
	conn  *Conn
	body  io.ReadCloser
	read  int64
	limit int64
	// due is when a body without a byte would be late.
	due time.Time
}

// Read fails when the bytes so far have taken longer than the least rate allows.
func (b *pacedBody) Read(into []byte) (int, error) {
	earned := time.Duration(float64(b.read) / leastRate * float64(time.Second))
	_ = b.conn.SetReadDeadline(b.due.Add(earned))
	n, err := b.body.Read(into)
	b.read += int64(n)
	if b.limit > 0 && b.read > b.limit {
		return n, errBodyTooLong
	}
	if err != nil {
		_ = b.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Close closes the body.
func (b *pacedBody) Close() error { return b.body.Close() }
