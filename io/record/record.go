// Package record ensures that a non-idempotent call with an idempotency key runs at
// most once. It handles calls between the hop listener and the backend server of a
// host: the owner of a key asks a partner host to record the key, runs the call, and
// keeps a small response for repeated calls. core/idempotency makes the decisions.
//
// Two requests with the same key are considered equal if their method, path, query
// and body are. Bodies of up to 64 KiB are compared by hash. Larger and chunked
// bodies are streamed to the backend server, so their hash is not known before the
// call runs: they are compared by length.
//
// A call whose request has been read runs until it ends or reaches its deadline, even
// if the caller disconnects, so that a repeated call gets the response instead of an
// unknown outcome.
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

// Peers sends messages to the daemons on other hosts.
type Peers interface {
	Exchange(host id.Host, request *http.Request) (*http.Response, error)
}

// Options configures a Server.
type Options struct {
	Self    id.Host
	Service id.Service
	Records *idempotency.Records
	Next    Runner
	Peers   Peers
	// SortPartners sorts partners into the order in which they are asked.
	SortPartners func([]id.Host) []id.Host
	// Leaving reports whether this host is leaving and refuses calls with new keys.
	Leaving func() bool
	// Disabled passes every call to Next without recording its key.
	Disabled bool
	// Now returns the current time.
	Now func() id.Instant
}

// Server records the keys of calls and passes the calls to the next handler.
type Server struct{ options Options }

// New returns a Server with the given options.
func New(options Options) *Server { return &Server{options: options} }

// ServeHTTP serves a call or a message from another daemon.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if isExchange(r) {
		s.handleMessage(w, r)
		return
	}
	call, err := hop.ReadCall(r.Header)
	if err != nil || !s.needsRecord(call) {
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

// needsRecord reports whether this server must record the call's key. It does not
// for calls to another service, which the next handler refuses.
func (s *Server) needsRecord(call hop.Call) bool {
	return !s.options.Disabled && call.NeedsRecord() && call.Service == s.options.Service
}

// Do runs the call, or returns the response of an earlier call with the same key.
func (s *Server) Do(ctx context.Context, r *http.Request, call hop.Call) (*http.Response, *refusal.Error) {
	if !s.needsRecord(call) {
		return s.options.Next.Do(ctx, r, call)
	}
	if len(call.Key) > idempotency.MaxKeyBytes {
		return nil, refusal.Wrap(refusal.BadRequest, refusal.NotRun, errKeyTooLong)
	}
	if s.options.Leaving() && !s.hasRecord(call.Key) {
		return nil, refusal.New(refusal.Leaving, refusal.NotRun)
	}
	requestFingerprint, refused := fingerprint(r)
	if refused != nil {
		return nil, refused
	}
	claim, answer := s.options.Records.Begin(call.Key, requestFingerprint, s.options.Now(), call.Deadline)
	if claim == nil {
		return s.answerRepeat(ctx, call, requestFingerprint, answer)
	}
	return s.run(ctx, r, call, claim)
}

var errKeyTooLong = errors.New("idempotency key longer than 256 bytes")

// hasRecord reports whether a call with the key is running here or may have run.
func (s *Server) hasRecord(key string) bool {
	state := s.options.Records.Lookup(key, s.options.Now()).State
	return state != idempotency.Unavailable && state != idempotency.Released
}

// answerRepeat returns the result of an earlier call with the key. If this host has
// only recorded the key for another owner, it asks that owner, which may be alive
// although it is considered dead.
func (s *Server) answerRepeat(ctx context.Context, call hop.Call, requestFingerprint idempotency.Fingerprint, answer idempotency.Answer) (*http.Response, *refusal.Error) {
	if answer.State == idempotency.Unclear && answer.Owner != s.options.Self {
		ownerAnswer := s.query(ctx, answer.Owner, message{Lookup: true, Request: idempotency.Request{
			Key: call.Key, Deadline: call.Deadline, Fingerprint: requestFingerprint,
		}})
		if ownerAnswer.State == idempotency.Finished || ownerAnswer.State == idempotency.InProgress {
			answer = ownerAnswer
		}
	}
	if refused := answer.Refusal(); refused != nil {
		return nil, refused
	}
	return decodeResponse(answer.Result)
}

// run has a partner record the key of a claimed call, and then runs the call.
func (s *Server) run(ctx context.Context, r *http.Request, call hop.Call, claim *idempotency.Claim) (*http.Response, *refusal.Error) {
	finish := func(outcome refusal.Outcome, result []byte) {
		s.options.Records.Finish(claim, s.options.Now(), outcome, result)
	}
	if answer, granted := s.requestGrant(ctx, claim); !granted {
		finish(refusal.NotRun, nil)
		if refused := answer.Refusal(); refused != nil {
			return nil, refused
		}
		return decodeResponse(answer.Result)
	}
	call.Deadline = claim.Request.Deadline
	response, refused := s.options.Next.Do(context.WithoutCancel(ctx), r, call)
	if refused != nil {
		finish(refused.Outcome, nil)
		return nil, refused
	}
	return recordResponse(response, finish)
}
