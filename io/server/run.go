package server

import (
	"strings"
	"sync/atomic"
)

// Run is a request that the backend server works on. The calls that it makes
// carry ids which begin with the id of the request, so the daemon can tell them
// from the requests of clients. Calls with other ids count as clients' requests.
type Run struct {
	id          string
	callRefused atomic.Bool
}

// CallRefused notes that a call of the run was turned away, which fails it.
func (r *Run) CallRefused() { r.callRefused.Store(true) }

func (s *Server) begin(id string) *Run {
	run := &Run{id: id}
	if id == "" {
		return run
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id] = run
	return run
}

func (s *Server) end(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[run.id] == run {
		delete(s.runs, run.id)
	}
}

// RunOf returns the run that makes the call with the given id, or nil.
func (s *Server) RunOf(call string) *Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, run := range s.runs {
		if len(call) > len(id) && strings.HasPrefix(call, id) {
			return run
		}
	}
	return nil
}
