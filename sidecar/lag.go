package sidecar

import (
	"context"
	"sync"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/mirror"
)

// lag tracks since when this daemon has known of a position that is newer than that of its
// copy of the store. It is safe for concurrent use.
type lag struct {
	mu sync.Mutex
	// newest is the newest position that any beacon has announced. Unlike the positions
	// of the members it outlives the daemon that announced it.
	newest mirror.Position
	since  id.Instant
}

// recordAnnouncement records a position that another daemon has announced, while the
// copy of this one is at asOf.
func (l *lag) recordAnnouncement(announced, asOf mirror.Position, now id.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if announced.Compare(l.newest) <= 0 {
		return
	}
	if l.newest.Compare(asOf) <= 0 {
		l.since = now
	}
	l.newest = announced
}

// age returns how long a copy at the position asOf has been known to be outdated, or
// zero if no newer position is known.
func (l *lag) age(asOf mirror.Position, now id.Instant) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newest.Compare(asOf) <= 0 {
		return 0
	}
	return now.Sub(l.since)
}

// behind returns how long this daemon has known that its copy of the store is outdated,
// or zero if no newer position is known.
func (d *Daemon) behind() time.Duration { return d.lag.age(d.mirror.AsOf(), d.now()) }

// awaitCurrent waits until the copy of the store is at the newest position that this
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
