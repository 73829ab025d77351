package daemon

import (
	"io"
	"sync"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/trace"
)

// recentEvents is a ring buffer of the last kernel events, which operators can
// download as a trace.
type recentEvents struct {
	env    kernel.Environment
	mu     sync.Mutex
	events []trace.Record
	// next is the index of the next event to write; once full is set, it is also
	// that of the oldest event.
	next    int
	full    bool
	dropped uint64
}

func newRecentEvents(count int, env kernel.Environment) *recentEvents {
	return &recentEvents{env: env, events: make([]trace.Record, max(1, count))}
}

func (r *recentEvents) add(at id.Instant, event kernel.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.full {
		r.dropped++
	}
	r.events[r.next] = trace.Record{At: at, Event: event}
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// ordered returns the events from the oldest to the newest.
func (r *recentEvents) ordered() (trace.Header, []trace.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []trace.Record
	if r.full {
		out = append(out, r.events[r.next:]...)
	}
	header := trace.Header{Environment: r.env, DroppedEvents: r.dropped}
	return header, append(out, r.events[:r.next]...)
}

// write writes the events as a trace of JSON lines.
func (r *recentEvents) write(w io.Writer) error {
	writer := trace.NewWriter(w)
	header, records := r.ordered()
	if err := writer.WriteHeader(id.Instant(r.env.Self.Incarnation), header); err != nil {
		return err
	}
	for _, record := range records {
		if err := writer.Write(record.At, record.Event); err != nil {
			return err
		}
	}
	return nil
}
