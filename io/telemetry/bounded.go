package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
)

// boundedLines is the number of lines that may wait to be written. At about
// 300 bytes a line it holds about 600 KB.
const boundedLines = 2048

// BoundedWriter passes lines on to a slow writer without blocking. It drops
// lines when too many wait, and counts them.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	close   sync.Once
}

// NewBoundedWriter returns a writer in front of out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{lines: make(chan []byte, boundedLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			// Nothing can report that the log itself cannot be written.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write takes over a copy of the line or drops it.
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

// Close writes the lines that wait. Nothing may be written after it.
func (w *BoundedWriter) Close() {
	w.close.Do(func() { close(w.lines) })
	<-w.done
}
