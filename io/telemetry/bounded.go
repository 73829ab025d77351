package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxPendingLines is the number of lines that may wait to be written: about 600 KB
// at about 300 bytes per line.
const maxPendingLines = 2048

// BoundedWriter writes lines to a slow writer without blocking the caller. It
// drops and counts lines while its queue is full.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	close   sync.Once
}

// NewBoundedWriter returns a writer that writes to out in a goroutine until Close.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{lines: make(chan []byte, maxPendingLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			// A failed write of the log can't be reported anywhere.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write queues a copy of the line or drops it. It never returns an error.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *BoundedWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and waits for them. Write must not be called
// after it.
func (w *BoundedWriter) Close() {
	w.close.Do(func() { close(w.lines) })
	<-w.done
}
