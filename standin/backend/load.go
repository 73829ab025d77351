package backend

import (
	"sync"
	"time"
)

// loadRetention is how long the history of busy slots reaches back. It limits the
// lag of /loadz.
const loadRetention = time.Minute

// Load is the response body of GET /loadz.
type Load struct {
	Slots       int `json:"slots"`
	Busy        int `json:"busy"`
	Connections int `json:"connections"`
}

type busyChange struct {
	at   time.Time
	busy int
}

// slots limits the concurrent requests and records the recent numbers of busy slots.
type slots struct {
	mu      sync.Mutex
	limit   int
	busy    int
	history []busyChange
}

// tryAcquire acquires a slot and reports whether one was free.
func (s *slots) tryAcquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy >= s.limit {
		return false
	}
	s.addBusy(1)
	return true
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addBusy(-1)
}

func (s *slots) addBusy(by int) {
	s.busy += by
	now := time.Now()
	s.history = append(s.history, busyChange{at: now, busy: s.busy})
	if now.Sub(s.history[0].at) > 2*loadRetention {
		s.prune(now.Add(-loadRetention))
	}
}

// prune drops the changes before a time except the last of them.
func (s *slots) prune(before time.Time) {
	for i := range s.history {
		if s.history[i].at.After(before) {
			s.history = append([]busyChange{}, s.history[max(i-1, 0):]...)
			return
		}
	}
}

// at returns the number of busy slots at a time.
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
