package server

import (
	"maps"
	"strings"
	"sync"
	"sync/atomic"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
)

// ActiveRequest is a request in progress at the backend server. The calls made on
// its behalf have IDs that begin with its own ID, which distinguishes them from
// client requests. Calls with other IDs count as client requests.
type ActiveRequest struct {
	id          string
	started     id.Instant
	callRefused atomic.Bool
	// server is the backend server listed when the request was sent.
	server *backend.Server

	mu    sync.Mutex
	calls map[id.Service]int
}

// RecordCall counts a call to the service made on behalf of the request.
func (r *ActiveRequest) RecordCall(service id.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls == nil {
		r.calls = map[id.Service]int{}
	}
	r.calls[service]++
}

// callCounts returns the number of calls so far to each service.
func (r *ActiveRequest) callCounts() map[id.Service]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.calls)
}

// CallRefused records that a call made on behalf of the request was refused, which
// makes the request fail.
func (r *ActiveRequest) CallRefused() { r.callRefused.Store(true) }

// begin registers a request that is about to be sent to the backend server.
func (s *Server) begin(requestID string, started id.Instant) *ActiveRequest {
	active := &ActiveRequest{id: requestID, started: started, server: s.current.Load()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress.begin(started)
	if requestID == "" {
		return active
	}
	s.activeRequests[requestID] = active
	return active
}

// end removes a request registered by begin. If the backend server has been
// restarted meanwhile, inProgress has been reset and no longer counts the request.
func (s *Server) end(active *ActiveRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.current.Load(); current != nil && active.server != nil && current.Born == active.server.Born {
		s.inProgress.end(active.started)
	}
	if s.activeRequests[active.id] == active {
		delete(s.activeRequests, active.id)
	}
}

// ParentOf returns the active request that made the call with the given ID, or nil.
func (s *Server) ParentOf(callID string) *ActiveRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	for requestID, active := range s.activeRequests {
		if len(callID) > len(requestID) && strings.HasPrefix(callID, requestID) {
			return active
		}
	}
	return nil
}
