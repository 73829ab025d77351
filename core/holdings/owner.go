package holdings

import (
	"slices"
	"sync"
)

// Owner owns the reservations that are made while a request is handled, so that none
// outlives the request. It is safe for concurrent use. A nil owner keeps nothing.
type Owner struct {
	mu     sync.Mutex
	kept   []*Reservation
	closed bool
}

// Keep makes the owner release the reservation when it is closed, at once if it is.
func (o *Owner) Keep(r *Reservation) {
	if o == nil || r == nil {
		return
	}
	o.mu.Lock()
	closed := o.closed
	if !closed {
		o.kept = append(o.kept, r)
	}
	o.mu.Unlock()
	if closed {
		r.Release()
	}
}

// Detach takes the reservation from the owner, for one that lives longer.
func (o *Owner) Detach(r *Reservation) {
	if o == nil || r == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if i := slices.Index(o.kept, r); i >= 0 {
		o.kept = slices.Delete(o.kept, i, i+1)
	}
}

// Close releases the reservations that the owner keeps.
func (o *Owner) Close() {
	if o == nil {
		return
	}
	o.mu.Lock()
	kept := o.kept
	o.kept, o.closed = nil, true
	o.mu.Unlock()
	for _, r := range kept {
		r.Release()
	}
}
