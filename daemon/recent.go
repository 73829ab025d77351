package daemon

import (
	"io"
	"sync"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/trace"
)

// recentEvents keeps the last events of the kernel for the operators' trace.
type recentEvents struct {
	mu     sync.Mutex
	events []trace.Record
	next   int
	full   bool
}

func newRecentEvents(count int) *recentEvents {
	return &recentEvents{events: make([]trace.Record, max(1, count))}
}

func (r *recentEvents) add(at id.Instant, event kernel.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next] = trace.Record{At: at, Event: event}
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

func (r *recentEvents) ordered() []trace.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []trace.Record
	if r.full {
		out = append(out, r.events[r.next:]...)
	}
	return append(out, r.events[:r.next]...)
}

func (r *recentEvents) write(w io.Writer) error {
	writer := trace.NewWriter(w)
	for _, record := range r.ordered() {
		if err := writer.Write(record.At, record.Event); err != nil {
			return err
		}
	}
	return nil
}
