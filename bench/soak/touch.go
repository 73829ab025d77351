package soak

import (
	"sync"
	"time"
)

// disturbance records until when something is disturbed. It is safe for concurrent use.
type disturbance struct {
	mu    sync.Mutex
	until time.Time
}

func (d *disturbance) extend(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until.After(d.until) {
		d.until = until
	}
}

// within reports whether it ended less than settleTime before the given time, or later.
func (d *disturbance) within(began time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return began.Before(d.until.Add(settleTime))
}

// reach says whom a fault puts out of touch, for the guarantees on versions: a host that
// was disturbed in the last settleTime is not bound by them, the others are.
type reach int

const (
	// ownHost: the daemon or the links of the host itself.
	ownHost reach = iota
	// noHost: what the fault affects has no part in the guarantees on versions.
	noHost
	// allHosts: connections anywhere, or the whole store.
	allHosts
	// storeUnstable: the store serves most hosts, or returns no old changes. It binds all
	// hosts, by a longer bound.
	storeUnstable
)

// loseTouch records that a fault of the host lasts for the given time from now.
func (w *world) loseTouch(h *host, of reach, lasts time.Duration) {
	until := time.Now().Add(lasts)
	switch of {
	case ownHost:
		h.touch.extend(until)
	case noHost:
	case allHosts:
		for _, other := range w.hosts {
			other.touch.extend(until)
		}
	case storeUnstable:
		w.unstable.extend(until)
	}
}

// applyBound returns the time within which a version binds a request sent at the given
// time.
func (w *world) applyBound(began time.Time) time.Duration {
	if w.unstable.within(began) {
		return applyDeadline + unstableStoreSlack
	}
	return applyDeadline
}
