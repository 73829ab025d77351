// Package coldstart decides how long the backend server of this host counts as cold.
//
// A backend server that has just started tolerates only a low rate of requests for some
// seconds. How long it stays cold is reported by its entry in the platform's list and by
// its health responses. An entry arrives up to maxEntryDelay after it was written, so its
// remaining time gives the latest end of the cold time, and one that agrees with a known
// end within that delay only confirms it. A health response is exact.
//
// The process behind the address may change before the list says so, under the same ID
// too. When that is possible, the state is in doubt: the server counts as cold until a
// health response, or the entry of a new process, tells how long it stays cold. Without
// either, it does so for the whole cold time of a process after the last doubt.
//
// # Usage
//
//	state := coldstart.New(3 * time.Second)
//	state.Listed(server.Process(), left, now) // the state is in doubt from the start
//	if state.NeedsCheck(now) {
//		state.Checked(now)
//		// Send a health check; after a failure, call state.Doubt(later).
//		state.Answered(process, left, later)
//	}
//	cold := later.Before(state.Until())
package coldstart

import (
	"time"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
)

//go:generate stringer -type=Source -linecomment -output=coldstart_string.go

const (
	// maxEntryDelay is how much later than it was written an entry may arrive. A change
	// of the store takes effect everywhere within two seconds.
	maxEntryDelay = 2 * time.Second
	// checkInterval is the minimum time between two health checks, which are priced.
	checkInterval = 250 * time.Millisecond
)

// Source is where the end of the cold time is known from.
type Source int

// The sources. Their names appear in logs.
const (
	// Entry is the backend server's entry in the platform's list.
	Entry Source = iota // entry
	// HealthResponse is a health response of the backend server.
	HealthResponse // health response
	// StartOfProcess is the assumption that the process has just started.
	StartOfProcess // start of process
)

// State is what is known of the cold time of one backend server. It is not safe for
// concurrent use.
type State struct {
	// coldTime is how long a process stays cold after its start.
	coldTime time.Duration
	listed   bool
	process  backend.Process
	// until is the end of the cold time by the latest report, and source its source.
	until  id.Instant
	source Source
	// entryLeft is the remaining time in the latest entry of the process.
	entryLeft time.Duration
	// answeredCold is set while the latest report is a health response of a cold server.
	answeredCold bool
	// other is the backend server that has answered instead of the listed one since the
	// last doubt, and otherUntil the end of its cold time; zero if it is not cold.
	other      backend.ID
	otherUntil id.Instant
	inDoubt    bool
	doubtedAt  id.Instant
	checkedAt  id.Instant
}

// New returns the state of a backend server that has not been listed yet.
func New(coldTime time.Duration) *State { return &State{coldTime: coldTime} }

// SetColdTime sets how long a process stays cold after its start.
func (s *State) SetColdTime(coldTime time.Duration) { s.coldTime = coldTime }

// Listed records an entry that arrived at the given instant. The first one may be older
// than the process that listens now, so it leaves the state in doubt.
func (s *State) Listed(process backend.Process, left time.Duration, at id.Instant) {
	ends := at.Add(left)
	switch {
	case !s.listed:
		s.listed, s.process = true, process
		s.set(ends, Entry)
		s.Doubt(at)
	case process != s.process:
		s.listedNew(process, ends)
	case s.repeats(left, ends):
		if s.source == Entry {
			s.until = min(s.until, ends)
		}
	default:
		s.set(ends, Entry)
	}
	s.entryLeft = left
}

// listedNew records the first entry of a new process. A health response may have come
// from this process before its entry arrived; it is then the more exact report.
func (s *State) listedNew(process backend.Process, ends id.Instant) {
	sameID, answeredBefore := process.ID == s.process.ID, process.ID == s.other
	s.process = process
	switch {
	case sameID && s.answeredCold && !s.inDoubt && agree(s.until, ends):
		return
	case answeredBefore && agree(s.otherUntil, ends):
		s.set(s.otherUntil, HealthResponse)
		s.answeredCold = true
	default:
		s.set(ends, Entry)
	}
	s.inDoubt, s.other = false, ""
}

// repeats reports whether an entry of the process tells nothing but that its known cold
// time passes. Otherwise the process has become cold again.
func (s *State) repeats(left time.Duration, ends id.Instant) bool {
	if ends <= s.until || left == 0 {
		return true
	}
	return agree(s.until, ends) && (left <= s.entryLeft || s.answeredCold)
}

// agree reports whether an entry whose cold time ends at the given instant, if it was
// written when it arrived, may be a late one that means the known end.
func agree(known, ends id.Instant) bool {
	return known <= ends && ends.Sub(known) <= maxEntryDelay
}

// Answered records a health response that arrived at the given instant. After one of
// another backend server, which the list does not name yet, the state stays in doubt.
func (s *State) Answered(process backend.Process, left time.Duration, at id.Instant) {
	ends := at.Add(left)
	switch {
	case s.inDoubt && s.checkedAt < s.doubtedAt:
		// The response may be older than the reason of the doubt.
		s.until = max(s.until, ends)
	case process.ID != s.process.ID:
		s.Doubt(at)
		s.other = process.ID
		if left > 0 {
			s.otherUntil = ends
		}
	default:
		s.inDoubt = false
		s.set(ends, HealthResponse)
		s.answeredCold = left > 0
	}
}

// Doubt records that the process behind the address may have changed, or that a health
// check has failed.
func (s *State) Doubt(at id.Instant) {
	s.inDoubt, s.other, s.otherUntil = true, "", 0
	s.doubtedAt = max(s.doubtedAt, at)
}

// Checked records that a health check is sent.
func (s *State) Checked(at id.Instant) { s.checkedAt = at }

// Until returns when the backend server stops being cold.
func (s *State) Until() id.Instant {
	if s.inDoubt {
		return max(s.until, s.doubtEnd())
	}
	return s.until
}

// Source returns the source of the result of Until.
func (s *State) Source() Source {
	if s.inDoubt && s.until < s.doubtEnd() {
		return StartOfProcess
	}
	return s.source
}

// NeedsCheck reports whether a health check should be sent now.
func (s *State) NeedsCheck(at id.Instant) bool {
	next, needed := s.NextCheck(at)
	return needed && next <= at
}

// InDoubt reports whether the state is in doubt.
func (s *State) InDoubt(at id.Instant) bool { return s.inDoubt && at.Before(s.doubtEnd()) }

// NextCheck returns the earliest instant of the next health check, or false if none is
// needed. Once another backend server has answered, only its entry tells more.
func (s *State) NextCheck(at id.Instant) (id.Instant, bool) {
	if !s.InDoubt(at) || s.other != "" {
		return 0, false
	}
	if s.checkedAt == 0 {
		return at, true
	}
	return max(at, s.checkedAt.Add(checkInterval)), true
}

// doubtEnd returns when a process that started at the last doubt stops being cold.
func (s *State) doubtEnd() id.Instant { return s.doubtedAt.Add(s.coldTime) }

func (s *State) set(until id.Instant, source Source) {
	s.until, s.source, s.answeredCold = until, source, false
}
