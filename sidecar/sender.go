package sidecar

import (
	"context"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/relay"
)

// sender sends requests directly to the backend server of this host, and to others
// through the daemons beside them.
type sender struct{ d *Daemon }

// Do makes one attempt. After an attempt at the local backend server it reports that
// server's load, which for others arrives with the relayed response.
func (s sender) Do(ctx context.Context, target *backend.Server, call relay.Call, request *http1.Request) (*http1.Response, *refusal.Error) {
	current := s.d.localBackend.Current()
	if current == nil || current.ID != target.ID {
		sentAt := s.d.now()
		limit := s.d.announcements.Limit(target.Process())
		call.Limit, call.LimitAge = limit.Limit, sentAt.Sub(limit.At)
		response, refused := s.d.relay.Do(ctx, target, call, request)
		if refused == nil {
			s.d.recordResponse(target, response.Header, sentAt)
		}
		return response, refused
	}
	outgoing := *request
	outgoing.Header = request.Header.Clone()
	response, refused := s.d.localBackend.Send(ctx, call, &outgoing)
	s.d.report(s.d.localBackend.Load())
	return response, refused
}
