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
	// recorderQueue is the number of events that wait to be written. It covers
	// the write of a full snapshot during a mass restart.
	recorderQueue = 16_384
	// flushInterval bounds what a killed process loses of its trace.
	flushInterval = 50 * time.Millisecond
	traceMode     = 0o600
)

// recorder writes every kernel event to a file. The control goroutine only
// queues events; a goroutine of its own encodes and writes them. A nil recorder
// does nothing.
type recorder struct {
	log    *zap.Logger
	events chan trace.Record
	done   chan struct{}
	// lost is set after an event found the queue full. The trace ends there,
	// because a trace with a gap can't be replayed.
	lost bool
}

// startRecorder opens the trace file of the settings.
func (d *Daemon) startRecorder() error {
	if d.settings.TraceFile == "" {
		return nil
	}
	file, err := os.OpenFile(d.settings.TraceFile, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, traceMode)
	if err != nil {
		return fmt.Errorf("daemon: %w: name a writable trace_file or none", err)
	}
	d.recorder = newRecorder(file, d.recent.env, d.log.Named("trace"))
	return nil
}

func newRecorder(out io.WriteCloser, env kernel.Environment, log *zap.Logger) *recorder {
	r := &recorder{log: log, events: make(chan trace.Record, recorderQueue), done: make(chan struct{})}
	go r.write(out, trace.Header{Environment: env})
	return r
}

// add queues an event. Only the control goroutine calls it.
func (r *recorder) add(at id.Instant, event kernel.Event) {
	if r == nil || r.lost {
		return
	}
	select {
	case r.events <- trace.Record{At: at, Event: event}:
	default:
		r.lost = true
		r.log.Error("the trace ends here because its file is too slow, use a faster disk")
	}
}

// close writes what is queued. It is called after the control goroutine ended.
func (r *recorder) close() {
	if r == nil {
		return
	}
	close(r.events)
	<-r.done
}

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
		r.log.Error("the trace ends here, free space for it", zap.Error(err))
	}
	_ = file.Close()
}
