package sidecar

import (
	"context"
	"sync"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/mirror"
)

// lag tracks since when this daemon has known of a revision that is newer than its copy
// of the store. It is safe for concurrent use.
type lag struct {
	mu sync.Mutex
	// newest is the highest revision that any beacon has announced. Unlike the revisions
	// of the members it outlives the daemon that announced it.
	newest mirror.Revision
	since  id.Instant
}

// recordAnnouncement records a revision that another daemon has announced, while the
// copy of this one is at asOf.
func (l *lag) recordAnnouncement(announced, asOf mirror.Revision, now id.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if announced <= l.newest {
		return
	}
	if l.newest <= asOf {
		l.since = now
	}
	l.newest = announced
}

// age returns how long a copy at the revision asOf has been known to be outdated, or
// zero if no newer revision is known.
func (l *lag) age(asOf mirror.Revision, now id.Instant) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newest <= asOf {
		return 0
	}
	return now.Sub(l.since)
}

// behind returns how long this daemon has known that its copy of the store is outdated,
// or zero if no newer revision is known.
func (d *Daemon) behind() time.Duration { return d.lag.age(d.mirror.AsOf(), d.now()) }

// awaitCurrent waits until the copy of the store is at the newest revision that this
// daemon knows of, and what is derived from it has followed, or the context ends.
func (d *Daemon) awaitCurrent(ctx context.Context) {
	for {
		_, advanced := d.mirror.Since(d.mirror.AsOf())
		if d.behind() == 0 {
			// A change of the copy and of what is derived from it is one step.
			d.applyMu.Lock()
			defer d.applyMu.Unlock()
			return
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return
		}
	}
}
