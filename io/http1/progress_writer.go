package http1

import (
	"io"
	"time"

	"marjoramsaddle/core/holdings"
)

// progressBytes is the part of a response that counts as progress once it is written.
const progressBytes = 64 << 10

// ProgressWriter writes a response in parts, each of which the peer must take within a
// limited time, and records the progress.
type ProgressWriter struct {
	Out io.Writer
	// SetDeadline sets the deadline of writes to Out.
	SetDeadline func(deadline time.Time) error
	// PartTimeout limits the time of one part. The whole must be written by Deadline,
	// unless that is zero.
	PartTimeout time.Duration
	Deadline    time.Time
	// Held is the memory of the response, or nil.
	Held *holdings.Reservation
	// OnProgress is called after each part. It may be nil.
	OnProgress func()
}

// Write implements io.Writer.
func (w *ProgressWriter) Write(p []byte) (written int, err error) {
	for err == nil && written < len(p) {
		deadline := time.Now().Add(w.PartTimeout)
		if !w.Deadline.IsZero() && w.Deadline.Before(deadline) {
			deadline = w.Deadline
		}
		_ = w.SetDeadline(deadline)
		w.Held.SetState(holdings.Streaming, Clock())
		var n int
		n, err = w.Out.Write(p[written:min(len(p), written+progressBytes)])
		written += n
		// What follows may wait for the link, not for the peer.
		w.Held.SetState(holdings.Running, Clock())
		if w.OnProgress != nil {
			w.OnProgress()
		}
	}
	return written, err
}
