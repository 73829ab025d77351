package coldstart

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
)

const (
	start    = id.Instant(1000 * time.Hour)
	coldTime = 3 * time.Second
)

// script runs the commands of testdata/reports on one state. Times are in milliseconds;
// id and born name the process, i-1 and 1 unless given.
type script struct{ state *State }

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	var at, left, born int64
	name := "i-1"
	d.ScanArgs(t, "at", &at)
	d.MaybeScanArgs(t, "left", &left)
	d.MaybeScanArgs(t, "born", &born)
	d.MaybeScanArgs(t, "id", &name)
	now := start.Add(time.Duration(at) * time.Millisecond)
	remaining := time.Duration(left) * time.Millisecond
	process := backend.Process{ID: backend.ID(name), Born: id.Instant(max(1, born))}
	switch d.Cmd {
	case "new":
		s.state = New(coldTime)
	case "entry":
		s.state.Listed(process, remaining, now)
	case "check":
		if !s.state.NeedsCheck(now) {
			return "no check needed\n"
		}
		s.state.Checked(now)
	case "answer":
		s.state.Answered(process, remaining, now)
	case "doubt":
		s.state.Doubt(now)
	case "state":
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	text := "not cold"
	if now.Before(s.state.Until()) {
		text = fmt.Sprintf("cold until %d by %v", s.state.Until().Sub(start).Milliseconds(), s.state.Source())
	}
	if s.state.InDoubt(now) {
		text += ", in doubt"
	}
	return text + "\n"
}

// Guards against requests at the full rate to a server that is cold, and against a
// server that is used at the cold rate for longer than it is cold.
func TestReports(t *testing.T) {
	s := &script{}
	datadriven.RunTest(t, "testdata/reports", s.run)
}

// life is a process that becomes cold at the given times.
type life struct {
	process   backend.Process
	coldSince []id.Instant
}

func (l life) left(at id.Instant) time.Duration {
	left := time.Duration(0)
	for _, since := range l.coldSince {
		if since <= at {
			left = max(0, since.Add(coldTime).Sub(at))
		}
	}
	return left
}

// Guards against a cold time that is forgotten or shortened, whatever the delay of the
// entries, and against one that is lengthened although the delay is within bounds.
func TestEntriesOfOneProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := life{process: backend.Process{ID: "i-1", Born: start}, coldSince: []id.Instant{start}}
		state := New(coldTime)
		state.Listed(backend.Process{ID: "i-0"}, 0, start)
		state.Checked(start)
		state.Answered(backend.Process{ID: "i-0"}, 0, start)
		arrived := start
		for written := start; written < start.Add(10*time.Second); written = written.Add(1500 * time.Millisecond) {
			delay := time.Duration(rapid.IntRange(0, int(maxEntryDelay/time.Millisecond)-1).Draw(t, "delay")) * time.Millisecond
			arrived = max(arrived, written.Add(delay))
			state.Listed(server.process, server.left(written), arrived)
			end := start.Add(coldTime)
			if arrived.Before(end) && state.Until() < end {
				t.Fatalf("cold until %v, should be %v", state.Until().Sub(start), end.Sub(start))
			}
			if state.Until() > end.Add(maxEntryDelay) {
				t.Fatalf("cold until %v, should be at most %v", state.Until().Sub(start), end.Add(maxEntryDelay).Sub(start))
			}
		}
	})
}

// Guards against more health checks than four a second, and against checks without end
// when there is no doubt.
func TestCheckRate(t *testing.T) {
	is := is.New(t)
	state := New(coldTime)
	state.Listed(backend.Process{ID: "i-1"}, 0, start)
	checks := 0
	for at := start; at < start.Add(10*time.Second); at = at.Add(time.Millisecond) {
		if state.NeedsCheck(at) {
			state.Checked(at)
			checks++
			state.Doubt(at)
		}
	}
	is.Equal(checks, 40)
	is.True(state.Until() > start.Add(10*time.Second))
	state.Checked(start.Add(10 * time.Second))
	state.Answered(backend.Process{ID: "i-1"}, 0, start.Add(10*time.Second))
	is.True(!state.NeedsCheck(start.Add(11 * time.Second)))
}
