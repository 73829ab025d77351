package backend

import (
	"sync"
	"time"
)

// loadRetention bounds the history of busy slots, and so the lag of /loadz.
const loadRetention = time.Minute

// Load is the answer of GET /loadz.
type Load struct {
	Slots       int `json:"slots"`
	Busy        int `json:"busy"`
	Connections int `json:"connections"`
}

type loadChange struct {
	at   time.Time
	busy int
}

// slots counts the calls that run at once and remembers the recent past.
type slots struct {
	mu      sync.Mutex
	limit   int
	busy    int
	history []loadChange
}

// take takes a slot and reports whether one was free.
func (s *slots) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy >= s.limit {
		return false
	}
	s.change(1)
	return true
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(-1)
}

func (s *slots) change(by int) {
	s.busy += by
	now := time.Now()
	s.history = append(s.history, loadChange{at: now, busy: s.busy})
	if now.Sub(s.history[0].at) > 2*loadRetention {
		s.prune(now.Add(-loadRetention))
	}
}

// prune drops the changes before a time, but for the last of them.
func (s *slots) prune(before time.Time) {
	for i := range s.history {
		if s.history[i].at.After(before) {
			s.history = append([]loadChange{}, s.history[max(i-1, 0):]...)
			return
		}
	}
}

// at returns the busy slots at a time.
func (s *slots) at(at time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.history) - 1; i >= 0; i-- {
		if !s.history[i].at.After(at) {
			return s.history[i].busy
		}
	}
	return 0
}
