package daemon

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"time"

	"go.uber.org/zap"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/trace"
)

const (
	// recorderQueueLength is the number of events that may wait to be written. It
	// covers the time to write a full snapshot while many hosts restart.
	recorderQueueLength = 16_384
	// flushInterval bounds the part of the trace that is lost if the process is
	// killed.
	flushInterval = 50 * time.Millisecond
	traceFileMode = 0o600
)

// recorder writes every kernel event to the trace file. The control goroutine
// only queues events; a separate goroutine encodes and writes them. Methods of a
// nil recorder do nothing.
type recorder struct {
	log    *zap.Logger
	events chan trace.Record
	done   chan struct{}
	// overflowed is set when an event does not fit into the queue. The trace ends
	// there, because a trace with a gap can't be replayed.
	overflowed bool
}

// startRecorder opens the trace file, if the settings name one.
func (d *Daemon) startRecorder() error {
	if d.settings.TraceFile == "" {
		return nil
	}
	file, err := os.OpenFile(d.settings.TraceFile, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, traceFileMode)
	if err != nil {
		return fmt.Errorf("daemon: %w: set trace_file to a writable path or remove it", err)
	}
	d.recorder = newRecorder(file, d.recent.env, d.log.Named("trace"))
	return nil
}

func newRecorder(out io.WriteCloser, env kernel.Environment, log *zap.Logger) *recorder {
	r := &recorder{log: log, events: make(chan trace.Record, recorderQueueLength), done: make(chan struct{})}
	go r.write(out, trace.Header{Environment: env})
	return r
}

// add queues an event. Only the control goroutine calls it.
func (r *recorder) add(at id.Instant, event kernel.Event) {
	if r == nil || r.overflowed {
		return
	}
	select {
	case r.events <- trace.Record{At: at, Event: event}:
	default:
		r.overflowed = true
		r.log.Error("trace truncated: the disk is too slow, use a faster one for trace_file")
	}
}

// close writes the queued events and closes the file. It is called after the
// control goroutine has ended.
func (r *recorder) close() {
	if r == nil {
		return
	}
	close(r.events)
	<-r.done
}

// write encodes queued events until the queue is closed or a write fails.
func (r *recorder) write(file io.WriteCloser, header trace.Header) {
	defer close(r.done)
	buffer := bufio.NewWriter(file)
	writer := trace.NewWriter(buffer)
	err := writer.WriteHeader(id.Instant(header.Environment.Self.Incarnation), header)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for open := true; open && err == nil; {
		var record trace.Record
		select {
		case record, open = <-r.events:
			if open {
				err = writer.Write(record.At, record.Event)
			}
		case <-ticker.C:
			err = buffer.Flush()
		}
	}
	if err == nil {
		err = buffer.Flush()
	}
	if err != nil {
		r.log.Error("trace truncated by a write error, check the free disk space", zap.Error(err))
	}
	_ = file.Close()
}
