package announcement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
)

var (
	process = backend.Process{ID: "i-1", Born: 1}
	limited = Announcement{Limit: Limit{Announced: true, Rate: 5}}
)

const start = id.Instant(1000 * time.Hour)

// Guards against a response that was overtaken by others lifting a limit that the
// backend server still announces.
func TestOvertakenResponseDoesNotLiftLimit(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	sentBefore := start
	is.True(table.Record(process, limited, start, start.Add(time.Second)).LimitChanged())
	is.Equal(table.Record(process, Announcement{}, sentBefore, start.Add(2*time.Second)).Latest, limited)
	change := table.Record(process, Announcement{}, start.Add(3*time.Second), start.Add(4*time.Second))
	is.True(change.LimitChanged())
	is.Equal(table.Get(process), Announcement{})
}

// Guards against a backend server that leaves being used again after a response
// without the announcement, and against blaming its successor under the same ID.
func TestLeavingIsFinalForProcess(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	is.True(table.Record(process, Announcement{Leaving: true}, start, start).LeavingChanged())
	is.True(!table.Record(process, Announcement{}, start.Add(time.Second), start.Add(2*time.Second)).LeavingChanged())
	is.True(table.Get(process).Leaving)
	is.True(!table.Get(backend.Process{ID: process.ID, Born: 2}).Leaving)
}

// Guards against an old limit of another daemon replacing a newer one or what the
// backend server itself has announced to this daemon since.
func TestAdoptedLimit(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	learned := func(rate RequestRate, at id.Instant) LearnedLimit {
		return LearnedLimit{Limit: Limit{Announced: true, Rate: rate}, At: at}
	}
	// A rejection says nothing about the limit.
	table.Record(process, Announcement{}, 0, start)
	is.True(!table.Adopt(process, LearnedLimit{At: start}, start).LimitChanged())
	is.True(table.Adopt(process, learned(7, start), start).LimitChanged())
	is.True(!table.Adopt(process, learned(9, start-1), start).LimitChanged())
	is.Equal(table.Limit(process), learned(7, start))
	is.True(table.Adopt(process, learned(8, start+1), start).LimitChanged())
	is.True(table.Record(process, Announcement{}, start+2, start+3).LimitChanged())
	is.True(!table.Adopt(process, learned(9, start+4), start+5).LimitChanged())
}

// Guards against the limit of a restarted backend server being forgotten when the
// platform's list names the new process only after its first responses.
func TestRestartUnderSameID(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	restarted := backend.Process{ID: process.ID, Born: process.Born + 1}
	table.Record(process, limited, start, start)
	is.Equal(table.Get(restarted), limited)
	// A late response of the former process says nothing about the new one.
	is.Equal(table.Record(process, Announcement{}, start.Add(3*time.Second), start.Add(4*time.Second)), Change{})
	is.Equal(table.Get(restarted), limited)
	is.Equal(table.Get(process), Announcement{})
	is.True(table.Record(restarted, Announcement{}, start.Add(3*time.Second), start.Add(5*time.Second)).LimitChanged())
}

// Guards against a table that grows with every backend server that ever announced
// something, and against one that forgets a process while it still responds.
func TestEviction(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	other := backend.Process{ID: "i-2"}
	table.Record(process, limited, start, start)
	table.Record(other, limited, start, start.Add(retention/2))
	table.Record(other, limited, start, start.Add(retention+time.Second))
	is.Equal(len(table.entries), 1)
	is.Equal(table.Get(other), limited)
}
