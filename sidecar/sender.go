package sidecar

import (
	"context"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/relay"
)

// sender passes requests to the backend server of this host directly and to
// others through the daemons beside them.
type sender struct{ d *Daemon }

// Do sends one attempt.
func (s sender) Do(ctx context.Context, target *backend.Server, call relay.Call, request *http1.Request) (*http1.Response, *refusal.Error) {
	current := s.d.local.Current()
	if current == nil || current.ID != target.ID {
		return s.d.relay.Do(ctx, target, call, request)
	}
	sent := *request
	sent.Header = request.Header.Clone()
	answer, refused := s.d.local.Send(ctx, call, &sent)
	s.d.report(s.d.local.Load())
	return answer, refused
}
