// Package announcement remembers what backend servers announce about themselves in
// their responses: a limit of requests, or that they are leaving.
//
// An announcement belongs to one process of a backend server and is kept as long as
// that process may live, also while the platform's list lacks the server. A server may
// start again under the same ID, and the list may say so late. A daemon that has
// restarted knows no announcements. It gets the limit of the backend server on its own
// host from the requests of the daemons that know it (see Adopt).
//
// # Usage
//
//	table := announcement.NewTable()
//	change := table.Record(server.Process(), announced, sentAt, now)
//	limit := table.Get(server.Process()).Limit
package announcement

import (
	"errors"
	"math"
	"strconv"
	"sync"
	"time"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
)

// retention is how long an announcement is kept after the last response of its process.
// No process takes as long to leave, and a fleet that replaces a thousand backend
// servers a day stays below a megabyte.
const retention = 24 * time.Hour

// RequestRate is a number of requests per second.
type RequestRate float64

// errInvalidRate is returned for text that is not a rate.
var errInvalidRate = errors.New("announcement: a rate must be a finite decimal number of requests per second, zero or more")

// ParseRate parses a decimal number of requests per second.
func ParseRate(text string) (RequestRate, error) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return 0, errInvalidRate
	}
	return RequestRate(rate), nil
}

// String returns the rate in the form that ParseRate accepts.
func (r RequestRate) String() string { return strconv.FormatFloat(float64(r), 'g', -1, 64) }

// Limit is the rate of requests that a backend server accepts from all daemons
// together. The zero value is no limit.
type Limit struct {
	// Announced is set if there is a limit. A limit may be zero.
	Announced bool
	Rate      RequestRate
}

// Announcement is what a backend server announces in one response.
type Announcement struct {
	Limit Limit
	// Leaving is set if the server is about to stop.
	Leaving bool
}

// LearnedLimit is a limit and when the backend server announced it to a daemon.
type LearnedLimit struct {
	Limit Limit
	At    id.Instant
}

// Change says what a response has changed.
type Change struct {
	Previous, Latest Announcement
}

// LimitChanged reports whether the limit was set, changed or lifted.
func (c Change) LimitChanged() bool { return c.Previous.Limit != c.Latest.Limit }

// LeavingChanged reports whether the server has started to leave.
func (c Change) LeavingChanged() bool { return c.Previous.Leaving != c.Latest.Leaving }

// Table holds the announcements of all backend servers. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[backend.ID]*entry
	// evictAt is when entries are next checked against retention.
	evictAt id.Instant
}

// entry holds the announcements of the latest process with an ID.
type entry struct {
	born         id.Instant
	announcement Announcement
	// limitAt is when the limit was last announced.
	limitAt id.Instant
	// firsthand is set once the limit of the process, or that it has none, is known from
	// its own responses.
	firsthand bool
	updatedAt id.Instant
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[backend.ID]*entry{}} }

// Record applies the announcement of a response to a request that was sent at the given
// instant. Responses may overtake each other: one without a limit lifts the limit only
// if its request was sent after the limit was last announced. A sentAt of zero marks a
// rejection, which lifts no limit. A server that is leaving does not come back.
func (t *Table) Record(process backend.Process, announced Announcement, sentAt, now id.Instant) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.entry(process)
	if known.born != process.Born {
		return Change{}
	}
	change := Change{Previous: known.announcement}
	known.firsthand = known.firsthand || sentAt > 0 || announced.Limit.Announced
	known.updatedAt = now
	known.announcement.Leaving = known.announcement.Leaving || announced.Leaving
	switch {
	case announced.Limit.Announced:
		known.announcement.Limit, known.limitAt = announced.Limit, now
	case known.limitAt < sentAt:
		known.announcement.Limit = Limit{}
	}
	change.Latest = known.announcement
	t.evict(now)
	return change
}

// Adopt applies a limit that another daemon has learned, unless this daemon has got a
// response of the process itself or knows a newer limit.
func (t *Table) Adopt(process backend.Process, learned LearnedLimit, now id.Instant) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.entry(process)
	change := Change{Previous: known.announcement, Latest: known.announcement}
	if known.born != process.Born || known.firsthand || !learned.Limit.Announced || known.announcement.Limit.Announced && learned.At <= known.limitAt {
		return change
	}
	known.announcement.Limit, known.limitAt, known.updatedAt = learned.Limit, learned.At, now
	change.Latest = known.announcement
	return change
}

// entry returns the entry for the ID of the process and creates it if needed. It is that
// of a later process if this one has been replaced.
func (t *Table) entry(process backend.Process) *entry {
	known := t.entries[process.ID]
	switch {
	case known == nil:
		known = &entry{born: process.Born}
	case known.born < process.Born:
		known = known.succeededBy(process.Born)
	default:
		return known
	}
	t.entries[process.ID] = known
	return known
}

// succeededBy returns the first entry of a process that reuses the ID. The platform's
// list may name the process after its first responses, so these were recorded for its
// predecessor. The limit is therefore kept until a response lifts it. A departure is not
// kept, because no response could take it back.
func (e *entry) succeededBy(born id.Instant) *entry {
	return &entry{born: born, announcement: Announcement{Limit: e.announcement.Limit}, limitAt: e.limitAt, updatedAt: e.updatedAt}
}

// evict removes the entries that are older than retention, at most once per retention.
func (t *Table) evict(now id.Instant) {
	if now.Before(t.evictAt) {
		return
	}
	t.evictAt = now.Add(retention)
	for server, known := range t.entries {
		if now.Sub(known.updatedAt) > retention {
			delete(t.entries, server)
		}
	}
}

// Limit returns the latest limit of the process and when it was announced.
func (t *Table) Limit(process backend.Process) LearnedLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.current(process); known != nil {
		return LearnedLimit{Limit: known.announcement.Limit, At: known.limitAt}
	}
	return LearnedLimit{}
}

// Get returns the latest announcement of the process.
func (t *Table) Get(process backend.Process) Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.current(process); known != nil {
		return known.announcement
	}
	return Announcement{}
}

// current returns the entry of the process, or nil if nothing is known of it.
func (t *Table) current(process backend.Process) *entry {
	if _, found := t.entries[process.ID]; !found {
		return nil
	}
	if known := t.entry(process); known.born == process.Born {
		return known
	}
	return nil
}
