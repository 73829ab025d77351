package backend

import (
	"time"

	"marjoramsaddle/core/id"
)

// departureMemory is how long the last entry of a removed server is remembered. A store
// that comes back from a copy has entries again that are some seconds old.
const departureMemory = time.Minute

// departure is the last entry of a server that was removed.
type departure struct {
	server    Server
	removedAt id.Instant
}

// heldEntry is an outdated entry and when it is used nevertheless.
type heldEntry struct {
	server Server
	until  id.Instant
}

// Restore applies the entry of a server that is listed by a store which has come back from
// a copy. It reports whether anything has changed, and whether the entry is outdated, that
// is older than what the table knows of the server or than its removal. Such an entry is
// held until the given instant: by then a server that is alive has written its entry again,
// and the store has removed that of another one. If neither has happened, the server is
// alive and its entry is as it was, and Expire puts it to use.
func (t *Table) Restore(server Server, now, until id.Instant) (changed, outdated bool) {
	server.ColdUntil = now.Add(server.ColdLeft)
	delete(t.held, server.ID)
	known, listed := t.servers[server.ID]
	left, hasLeft := t.departed[server.ID]
	switch {
	case listed && known.isLater(&server), !listed && hasLeft && !server.isLater(&left.server):
		t.held[server.ID] = heldEntry{server: server, until: until}
		// It is listed, so it has not lapsed.
		delete(t.lapsed, server.ID)
		return false, true
	case listed && known.Process() == server.Process() && known.Sequence == server.Sequence:
		// The cold time counts from when the entry first arrived.
		server.ColdUntil = known.ColdUntil
	}
	return t.put(server), false
}

// isLater reports whether the entry was written after the other one of the same server.
func (s *Server) isLater(other *Server) bool {
	return s.Born > other.Born || s.Born == other.Born && s.Sequence > other.Sequence
}

// depart removes a server and remembers its last entry.
func (t *Table) depart(name ID, now id.Instant) {
	t.departed[name] = departure{server: t.servers[name], removedAt: now}
	delete(t.servers, name)
	delete(t.lapsed, name)
}

// useHeld puts the held entries to use whose time has come, and reports whether there were
// any.
func (t *Table) useHeld(now id.Instant) bool {
	changed := false
	for _, held := range t.held {
		if held.until.Before(now) {
			changed = t.put(held.server) || changed
		}
	}
	return changed
}

// forgetDepartures forgets the servers that were removed long ago.
func (t *Table) forgetDepartures(now id.Instant) {
	for name, left := range t.departed {
		if now.Sub(left.removedAt) > departureMemory {
			delete(t.departed, name)
		}
	}
}
