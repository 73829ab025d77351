// Package record lets a non-idempotent call with an idempotency key run at most
// once. It stands between the hop listener and the backend server of a host:
// the owner of a key asks a partner host to record it, runs the call, and keeps
// a small answer for repeats. core/idempotency makes the decisions.
//
// Two requests with a key are the same request when method, path, query and
// body are equal. Bodies of up to 64 KiB are compared by their hash. Larger and
// chunked bodies are streamed to the backend server, so their hash is not known
// before the run: they are compared by their length.
//
// A call whose request has been read runs to its end or deadline even when the
// caller leaves, so that a repeat gets the answer instead of an unknown outcome.
//
// Usage:
//
//	server := record.New(record.Options{Records: records, Next: backendServer, Peers: hopClient, ...})
//	hop.Serve(address, keys, server)
//	response, refused := server.Do(ctx, request, call) // a call of this host
package record

import (
	"context"
	"errors"
	"net/http"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/idempotency"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/hop"
)

// Runner runs calls on the backend server of this host.
type Runner interface {
	http.Handler
	Do(ctx context.Context, r *http.Request, call hop.Call) (*http.Response, *refusal.Error)
}

// Peers sends messages to other daemons.
type Peers interface {
	Exchange(host id.Host, request *http.Request) (*http.Response, error)
}

// Options of a Server.
type Options struct {
	Self    id.Host
	Service id.Service
	Records *idempotency.Records
	Next    Runner
	Peers   Peers
	// SortPartners sorts partners, the first to ask first.
	SortPartners func([]id.Host) []id.Host
	// Leaving reports whether this host takes no new work.
	Leaving func() bool
	// Disabled hands every call on without a record.
	Disabled bool
	// Now returns the current time.
	Now func() id.Instant
}

// Server records keyed calls and hands all calls on.
type Server struct{ options Options }

// New returns a server.
func New(options Options) *Server { return &Server{options: options} }

// ServeHTTP handles a call or a message from another daemon.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if isExchange(r) {
		s.answer(w, r)
		return
	}
	call, err := hop.ReadCall(r.Header)
	if err != nil || !s.records(call) {
		s.options.Next.ServeHTTP(w, r)
		return
	}
	response, refused := s.Do(r.Context(), r, call) //nolint:bodyclose // hop.Relay closes it.
	if refused != nil {
		hop.Refuse(w, refused)
		return
	}
	hop.Relay(w, response)
}

// records reports whether the call needs a record here. The next handler
// refuses calls of another service.
func (s *Server) records(call hop.Call) bool {
	return !s.options.Disabled && call.NeedsRecord() && call.Service == s.options.Service
}

// Do runs the call, or gives the answer of an earlier call with its key.
func (s *Server) Do(ctx context.Context, r *http.Request, call hop.Call) (*http.Response, *refusal.Error) {
	if !s.records(call) {
		return s.options.Next.Do(ctx, r, call)
	}
	if len(call.Key) > idempotency.MaxKeyBytes {
		return nil, refusal.Wrap(refusal.BadRequest, refusal.NotRun, errKeyTooLong)
	}
	if s.options.Leaving() && !s.known(call.Key) {
		return nil, refusal.New(refusal.Leaving, refusal.NotRun)
	}
	identity, refused := fingerprint(r)
	if refused != nil {
		return nil, refused
	}
	claim, answer := s.options.Records.Begin(call.Key, identity, s.options.Now(), call.Deadline)
	if claim == nil {
		return s.earlier(ctx, call, identity, answer)
	}
	return s.run(ctx, r, call, claim)
}

var errKeyTooLong = errors.New("the idempotency key is over 256 bytes")

// known reports whether a call with the key is running here or may have run.
func (s *Server) known(key string) bool {
	state := s.options.Records.Lookup(key, s.options.Now()).State
	return state != idempotency.Unavailable && state != idempotency.Released
}

// earlier answers a repeat. When this host has only recorded the key for
// another owner, that owner is asked: it may be alive and taken for dead.
func (s *Server) earlier(ctx context.Context, call hop.Call, identity idempotency.Fingerprint, answer idempotency.Answer) (*http.Response, *refusal.Error) {
	if answer.State == idempotency.Unclear && answer.Owner != s.options.Self {
		asked := s.ask(ctx, answer.Owner, message{Lookup: true, Request: idempotency.Request{
			Key: call.Key, Deadline: call.Deadline, Fingerprint: identity,
		}})
		if asked.State == idempotency.Finished || asked.State == idempotency.InProgress {
			answer = asked
		}
	}
	if refused := answer.Refusal(); refused != nil {
		return nil, refused
	}
	return replay(answer.Result)
}

// run runs a claimed call once a partner has recorded its key.
func (s *Server) run(ctx context.Context, r *http.Request, call hop.Call, claim *idempotency.Claim) (*http.Response, *refusal.Error) {
	finish := func(outcome refusal.Outcome, result []byte) {
		s.options.Records.Finish(claim, s.options.Now(), outcome, result)
	}
	if answer, granted := s.agree(ctx, claim); !granted {
		finish(refusal.NotRun, nil)
		if refused := answer.Refusal(); refused != nil {
			return nil, refused
		}
		return replay(answer.Result)
	}
	call.Deadline = claim.Request.Deadline
	response, refused := s.options.Next.Do(context.WithoutCancel(ctx), r, call)
	if refused != nil {
		finish(refused.Outcome, nil)
		return nil, refused
	}
	return keep(response, finish)
}
