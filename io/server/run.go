package server

import (
	"maps"
	"strings"
	"sync"
	"sync/atomic"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
)

// ActiveRequest is a request that the backend server works on. The calls that it makes
// carry ids which begin with the id of the request, so the daemon can tell them
// from the requests of clients. Calls with other ids count as clients' requests.
type ActiveRequest struct {
	id          string
	started     id.Instant
	callRefused atomic.Bool
	// server is the backend server that works on it.
	server *backend.Server

	mu    sync.Mutex
	calls map[id.Service]int
}

// RecordCall notes that the run has made a call of the service.
func (r *ActiveRequest) RecordCall(service id.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls == nil {
		r.calls = map[id.Service]int{}
	}
	r.calls[service]++
}

// made returns the calls of the run so far.
func (r *ActiveRequest) made() map[id.Service]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.calls)
}

// CallRefused notes that a call of the run was turned away, which fails it.
func (r *ActiveRequest) CallRefused() { r.callRefused.Store(true) }

func (s *Server) begin(requestID string, started id.Instant) *ActiveRequest {
	run := &ActiveRequest{id: requestID, started: started, server: s.current.Load()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.working.begin(started)
	if requestID == "" {
		return run
	}
	s.runs[requestID] = run
	return run
}

func (s *Server) end(run *ActiveRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.current.Load(); current != nil && run.server != nil && current.Born == run.server.Born {
		s.working.end(run.started)
	}
	if s.runs[run.id] == run {
		delete(s.runs, run.id)
	}
}

// ParentOf returns the run that makes the call with the given id, or nil.
func (s *Server) ParentOf(call string) *ActiveRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	for requestID, run := range s.runs {
		if len(call) > len(requestID) && strings.HasPrefix(call, requestID) {
			return run
		}
	}
	return nil
}
