// Package backend holds the table of the backend servers listed by the platform, and
// decides which of them may receive new work.
//
// An entry that disappears right after the store was unreachable may have lapsed only
// because its owner could not renew it. Such a backend server is kept for the time
// within which the platform promises its return; any other removal takes effect at
// once.
//
// A store that comes back from a copy lists entries that its servers have replaced since,
// and servers that have left. Restore recognizes them by what the table knows.
//
// # Usage
//
//	table := backend.NewTable()
//	table.Put(server, now)
//	table.Remove("i-7f3a", now, lapsed)
//	table.Restore(server, now, until)
//	changed := table.Expire(now)
//	servers := table.All()
package backend

import (
	"cmp"
	"slices"
	"time"

	"marjoramsaddle/core/id"
)

//go:generate stringer -type=State -linecomment -output=backend_string.go

// lapseGrace is how long a lapsed entry is kept. The platform promises that it returns
// within about two seconds.
const lapseGrace = 1800 * time.Millisecond

// ID usually identifies one start of a backend server, but a restarted process may reuse
// it; see Server.Born.
type ID string

// State says whether a backend server accepts new work.
type State int

// The states of a backend server.
const (
	Ready    State = iota // ready
	Draining              // draining
)

// Server is a backend server as listed by the platform.
type Server struct {
	ID      ID
	Address string
	Service id.Service
	Domain  id.Domain
	Slots   int
	State   State
	// Born is when this process started. A new process may reuse an id.
	Born     id.Instant
	Sequence uint64
	// ColdLeft is how much longer the server was slow when it wrote the entry.
	ColdLeft time.Duration
	// ColdUntil is when the server stops being slow, on this daemon's clock.
	ColdUntil id.Instant
	// ColdRate is the rate of requests that the server tolerates while it is cold, or zero
	// if that is not limited.
	ColdRate id.RequestRate
	// Evacuated is set while the operators have taken its failure domain out of service.
	Evacuated bool
}

// Process identifies one process of a backend server.
type Process struct {
	ID   ID
	Born id.Instant
}

// AcceptsNew reports whether the server may receive new requests.
func (s *Server) AcceptsNew() bool { return s.State == Ready && !s.Evacuated }

// ColdCapacity returns the slots that are in use when requests of the given service time
// arrive at the rate that a cold server tolerates, at least 1.
func (s *Server) ColdCapacity(service time.Duration) int {
	inUse := int(float64(s.ColdRate) * service.Seconds())
	return max(1, min(s.Slots, inUse))
}

// Process returns the process that the entry describes.
func (s *Server) Process() Process { return Process{ID: s.ID, Born: s.Born} }

// Table holds the listed backend servers. It is not safe for concurrent use.
type Table struct {
	servers map[ID]Server
	// lapsed holds the instants at which lapsed entries are removed.
	lapsed map[ID]id.Instant
	// departed holds the servers that were removed lately, and held the entries that
	// Restore has not put to use.
	departed map[ID]departure
	held     map[ID]heldEntry
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		servers: map[ID]Server{}, lapsed: map[ID]id.Instant{},
		departed: map[ID]departure{}, held: map[ID]heldEntry{},
	}
}

// Put adds or replaces a server. It returns whether anything but its sequence and its
// remaining cold time has changed.
func (t *Table) Put(server Server, now id.Instant) bool {
	server.ColdUntil = now.Add(server.ColdLeft)
	return t.put(server)
}

func (t *Table) put(server Server) bool {
	known, found := t.servers[server.ID]
	t.servers[server.ID] = server
	delete(t.lapsed, server.ID)
	delete(t.departed, server.ID)
	delete(t.held, server.ID)
	known.Sequence, known.ColdLeft, known.ColdUntil = server.Sequence, server.ColdLeft, server.ColdUntil
	return !found || known != server
}

// Remove removes a server. If its entry has only lapsed, a ready server is kept until
// Expire removes it.
func (t *Table) Remove(name ID, now id.Instant, lapsed bool) {
	delete(t.held, name)
	known, found := t.servers[name]
	if !found {
		return
	}
	if lapsed && known.State == Ready {
		if _, held := t.lapsed[name]; !held {
			t.lapsed[name] = now.Add(lapseGrace)
		}
		return
	}
	t.depart(name, now)
}

// Expire removes the lapsed servers that have not returned within the grace period, puts
// the held entries to use whose time has come, and reports whether anything has changed.
func (t *Table) Expire(now id.Instant) bool {
	changed := t.useHeld(now)
	for name, until := range t.lapsed {
		if until.Before(now) {
			t.depart(name, now)
			changed = true
		}
	}
	t.forgetDepartures(now)
	return changed
}

// All returns every listed server ordered by id.
func (t *Table) All() []Server {
	all := make([]Server, 0, len(t.servers))
	for _, server := range t.servers {
		all = append(all, server)
	}
	slices.SortFunc(all, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// ByAddress returns the most recently started server with the given address, among those
// that may be used.
func (t *Table) ByAddress(address string, isUsable func(*Server) bool) (Server, bool) {
	var newest Server
	found := false
	for _, server := range t.servers {
		if server.Address != address || !isUsable(&server) {
			continue
		}
		if !found || server.Born > newest.Born || server.Born == newest.Born && server.ID > newest.ID {
			newest, found = server, true
		}
	}
	return newest, found
}
