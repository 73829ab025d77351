// Package caller accepts calls from callers and brings each one its whole
// answer: it finds the route, chooses a backend server, hands the call to the
// daemon beside that backend server, and repeats the attempt where that is
// safe.
//
// Usage:
//
//	handler := caller.New(caller.Options{...})
//	http.Serve(listener, handler)
package caller

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/retry"
	"marjoramsaddle/core/snapshot"
	"marjoramsaddle/io/hop"
)

// Chooser picks the backend server of an attempt and learns from its result.
type Chooser interface {
	Choose(service id.Service, now id.Instant, exclude []id.Host) (endpoint.Entry, *refusal.Error)
	Started(host id.Host)
	Finished(host id.Host, now id.Instant, latency time.Duration, refused *refusal.Error)
}

// Sender hands an attempt to the daemon on a host.
type Sender interface {
	Do(host id.Host, request *http.Request, call hop.Call) (*http.Response, *refusal.Error)
}

// CallMetrics counts calls.
type CallMetrics interface {
	Call(outcome refusal.Outcome, took time.Duration)
	Refusal(reason refusal.Reason)
	Retry(reason refusal.Reason)
}

// Options of a Handler.
type Options struct {
	Self    id.Host
	Chooser Chooser
	Sender  Sender
	// Owners returns the hosts that may own an idempotency key, the first one to
	// try first. When it is nil, keyed calls are sent like others.
	Owners func(service id.Service, key string) []id.Host
	// Budget returns the retry budget of a service.
	Budget func(service id.Service, percent int) *retry.Budget
	// AllowCall takes one call out of the rate limit of a service, or reports that
	// it is spent.
	AllowCall func(service id.Service, perSecond int, now id.Instant) bool
	Metrics   CallMetrics
	// View returns the view in force, or nil.
	View func() *snapshot.View
	// Ready returns whether the daemon serves calls.
	Ready func() kernel.Readiness
	// Now returns the current time.
	Now func() id.Instant
}

// Handler accepts calls.
type Handler struct{ options Options }

// New returns a handler.
func New(options Options) *Handler { return &Handler{options: options} }

// plan is what the handler has decided about one call.
type plan struct {
	route   *snapshot.Route
	policy  snapshot.Policy
	call    hop.Call
	arrived id.Instant
}

// ServeHTTP serves one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.options.Now()
	outcome := refusal.Unknown
	if h.options.Ready() == kernel.Draining {
		// The caller opens its next connection to another daemon.
		w.Header().Set("Connection", "close")
	}
	defer func() { h.options.Metrics.Call(outcome, h.options.Now().Sub(arrived)) }()
	response, refused := h.serve(r, arrived) //nolint:bodyclose // hop.Relay closes it.
	if refused != nil {
		outcome = refused.Outcome
		h.options.Metrics.Refusal(refused.Reason)
		hop.Refuse(w, refused)
		return
	}
	hop.Relay(w, response)
	outcome = refusal.Ran
}

func (h *Handler) serve(r *http.Request, arrived id.Instant) (*http.Response, *refusal.Error) {
	p, refused := h.plan(r, arrived)
	if refused != nil {
		return nil, refused
	}
	ctx, cancel := context.WithDeadline(r.Context(), p.call.Deadline.Time())
	body, refused := newReplayBody(r, p.policy.BodyBytes)
	if refused != nil {
		cancel()
		return nil, refused
	}
	response, refused := h.attempts(r.WithContext(ctx), p, body)
	if refused != nil {
		cancel()
		return nil, refused
	}
	response.Body = &cancelBody{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

func (h *Handler) plan(r *http.Request, arrived id.Instant) (*plan, *refusal.Error) {
	if refused := h.ready(); refused != nil {
		return nil, refused
	}
	view := h.options.View()
	route := view.Match(r.Method, r.URL.Path)
	if route == nil {
		return nil, refusal.New(refusal.NoRoute, refusal.NotRun)
	}
	p := &plan{route: route, policy: view.Policies[route.Service], arrived: arrived}
	if refused := p.fill(r); refused != nil {
		return nil, refused
	}
	if !h.options.AllowCall(route.Service, p.policy.CallsPerSecond, arrived) {
		return nil, refusal.New(refusal.RateLimited, refusal.NotRun)
	}
	return p, nil
}

func (h *Handler) ready() *refusal.Error {
	switch h.options.Ready() {
	case kernel.Serving, kernel.Draining:
	case kernel.Resyncing:
		return refusal.New(refusal.Resyncing, refusal.NotRun)
	default:
		return refusal.New(refusal.NoConfiguration, refusal.NotRun)
	}
	if h.options.View() == nil {
		return refusal.New(refusal.NoConfiguration, refusal.NotRun)
	}
	return nil
}

// fill sets the call. A service that calls on behalf of a call passes on its
// id, deadline and depth; the earlier deadline wins.
func (p *plan) fill(r *http.Request) *refusal.Error {
	p.call = hop.Call{
		ID:         r.Header.Get(hop.HeaderCallID),
		Service:    p.route.Service,
		Class:      p.route.Class,
		Deadline:   p.arrived.Add(time.Duration(p.route.TimeoutMS) * time.Millisecond),
		QueueMS:    p.policy.QueueMS,
		Depth:      1,
		Retry:      r.Header.Get(hop.HeaderRetry) == "1",
		Idempotent: p.route.Idempotent,
		Key:        r.Header.Get(hop.HeaderIdempotencyKey),
	}
	if p.call.ID == "" {
		p.call.ID = rand.Text()
	}
	if refused := p.inherit(r); refused != nil {
		return refused
	}
	if p.call.Deadline.Before(p.arrived) {
		return refusal.New(refusal.DeadlinePassed, refusal.NotRun)
	}
	return nil
}

func (p *plan) inherit(r *http.Request) *refusal.Error {
	if text := r.Header.Get(hop.HeaderDeadline); text != "" {
		deadline, err := hop.ParseDeadline(text)
		if err != nil {
			return refusal.Wrap(refusal.BadRequest, refusal.NotRun, err)
		}
		p.call.Deadline = min(p.call.Deadline, deadline)
	}
	if text := r.Header.Get(hop.HeaderDepth); text != "" {
		depth, err := strconv.Atoi(text)
		if err != nil || depth < 0 {
			return refusal.New(refusal.BadRequest, refusal.NotRun)
		}
		p.call.Depth = depth + 1
	}
	return retry.CheckDepth(p.call.Depth)
}
