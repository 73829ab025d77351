package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/id"
)

// Guards against losing all backend servers when their entries lapse during a store
// outage, and against keeping those that do not come back.
func TestLapse(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	table := NewTable()
	table.Put(Server{ID: "i-1", Address: "a:1"}, now)
	table.Put(Server{ID: "i-2", Address: "a:2"}, now)
	table.Put(Server{ID: "i-3", Address: "a:3", State: Draining}, now)
	table.Remove("i-1", now, true)
	table.Remove("i-2", now, false)
	table.Remove("i-3", now, true)
	is.Equal(len(table.All()), 1)
	is.True(!table.Expire(now.Add(lapseGrace)))
	table.Put(Server{ID: "i-1", Address: "a:1"}, now.Add(time.Second))
	is.True(!table.Expire(now.Add(time.Minute)))
	table.Remove("i-1", now, true)
	is.True(table.Expire(now.Add(lapseGrace + 1)))
	is.Equal(len(table.All()), 0)
}

// Guards against sending requests to the former process at an address that has been
// reassigned.
func TestByAddressReturnsTheNewest(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Put(Server{ID: "i-9", Address: "a:1", Born: 1}, 0)
	table.Put(Server{ID: "i-1", Address: "a:1", Born: 2}, 0)
	table.Put(Server{ID: "i-5", Address: "b:1", Born: 3}, 0)
	server, found := table.ByAddress("a:1", anyServer)
	is.True(found)
	is.Equal(server.ID, ID("i-1"))
	_, found = table.ByAddress("c:1", anyServer)
	is.True(!found)
}

// Guards against logging every heartbeat.
func TestPutReportsChanges(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	is.True(table.Put(Server{ID: "i-1", Sequence: 1, ColdLeft: time.Second}, 0))
	is.True(!table.Put(Server{ID: "i-1", Sequence: 2}, 5))
	is.True(table.Put(Server{ID: "i-1", Sequence: 3, State: Draining}, 9))
}

func anyServer(*Server) bool { return true }
