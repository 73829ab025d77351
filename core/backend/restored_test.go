package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/id"
)

// Guards against an entry from a copy of the store that undoes what is known of a backend
// server, which gets requests again although it drains or has left, and against one that is
// held although it is the latest.
func TestRestore(t *testing.T) {
	const now = id.Instant(time.Hour)
	known := Server{ID: "i-1", Address: "a:1", State: Draining, Born: 5, Sequence: 20}
	entry := func(change func(*Server)) Server {
		server := known
		server.State = Ready
		change(&server)
		return server
	}
	older := entry(func(s *Server) { s.Sequence = 12 })
	tests := []struct {
		name     string
		restored Server
		// removed is set if the server has left before.
		removed, outdated bool
	}{
		{"earlier entry", older, false, true},
		{"earlier process", entry(func(s *Server) { s.Born, s.Sequence = 3, 90 }), false, true},
		{"same entry", known, false, false},
		{"later entry", entry(func(s *Server) { s.Sequence = 21 }), false, false},
		{"later process", entry(func(s *Server) { s.Born, s.Sequence = 6, 1 }), false, false},
		{"earlier entry of one that has left", older, true, true},
		{"last entry of one that has left", known, true, true},
		{"later entry of one that has left", entry(func(s *Server) { s.Sequence = 21 }), true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable()
			table.Put(known, now)
			before := table.All()
			if test.removed {
				table.Remove(known.ID, now, false)
				before = table.All()
			}
			restoredAt := now.Add(time.Second)
			until := restoredAt.Add(5 * time.Second)
			_, outdated := table.Restore(test.restored, restoredAt, until)
			is.Equal(outdated, test.outdated)
			want := test.restored
			want.ColdUntil = restoredAt
			if test.restored == known {
				want.ColdUntil = now
			}
			if !test.outdated {
				is.Equal(table.All(), []Server{want})
				return
			}
			is.Equal(table.All(), before)
			table.Expire(until)
			is.Equal(table.All(), before)
			table.Expire(until + 1)
			want.ColdUntil = restoredAt
			is.Equal(table.All(), []Server{want})
		})
	}
}

// Guards against a held entry that is used after its server has written another one, or
// has left.
func TestHeldEntryIsDropped(t *testing.T) {
	is := is.New(t)
	const now, until = id.Instant(time.Hour), id.Instant(time.Hour + time.Second)
	drains := Server{ID: "i-1", State: Draining, Sequence: 20, ColdUntil: now}
	restored := Server{ID: "i-1", Sequence: 12}
	table := NewTable()
	for _, test := range []struct {
		next func()
		want []Server
	}{
		{func() { table.Put(drains, now) }, []Server{drains}},
		{func() { table.Remove("i-1", now, false) }, []Server{}},
	} {
		table.Put(drains, now)
		_, outdated := table.Restore(restored, now, until)
		is.True(outdated)
		test.next()
		table.Expire(until + 1)
		is.Equal(table.All(), test.want)
	}
	// The departure is forgotten after a while.
	table.Expire(until.Add(2 * departureMemory))
	_, outdated := table.Restore(restored, now, until)
	is.True(!outdated)
}
