// Package caller serves calls from callers. It matches the route, chooses a
// backend server, forwards the call to the daemon on that backend server's host,
// and retries failed attempts when that is safe. A caller receives the complete
// response, a refusal, or a connection that is visibly aborted.
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

// Chooser selects the backend server of an attempt. Started and Finished report
// the attempt's start and result, which later choices take into account.
type Chooser interface {
	Choose(service id.Service, now id.Instant, exclude []id.Host) (endpoint.Entry, *refusal.Error)
	Started(host id.Host)
	Finished(host id.Host, now id.Instant, latency time.Duration, refused *refusal.Error)
}

// Sender forwards an attempt to the daemon on a host.
type Sender interface {
	Do(host id.Host, request *http.Request, call hop.Call) (*http.Response, *refusal.Error)
}

// CallMetrics receives the outcome and duration of each call, and the reason of
// each refusal and retry.
type CallMetrics interface {
	Call(outcome refusal.Outcome, took time.Duration)
	Refusal(reason refusal.Reason)
	Retry(reason refusal.Reason)
}

// Options configures a Handler.
type Options struct {
	Self    id.Host
	Chooser Chooser
	Sender  Sender
	// Owners returns the hosts that may own an idempotency key, in the order in
	// which they are tried. If it is nil, keyed calls are sent like others.
	Owners func(service id.Service, key string) []id.Host
	// Budget returns the retry budget of a service.
	Budget func(service id.Service, percent int) *retry.Budget
	// AllowCall counts one call against the rate limit of a service and returns
	// false if the limit is exceeded.
	AllowCall func(service id.Service, perSecond int, now id.Instant) bool
	Metrics   CallMetrics
	// View returns the current configuration view, or nil if there is none.
	View func() *snapshot.View
	// Ready returns the daemon's readiness to serve calls.
	Ready func() kernel.Readiness
	// Now returns the current time.
	Now func() id.Instant
}

// Handler is the http.Handler of the caller listener.
type Handler struct{ options Options }

// New returns a Handler with the given options.
func New(options Options) *Handler { return &Handler{options: options} }

// plan holds the route, the policy and the hop headers of one call.
type plan struct {
	route   *snapshot.Route
	policy  snapshot.Policy
	call    hop.Call
	arrived id.Instant
}

// ServeHTTP serves one call: it relays the response or answers with a refusal.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.options.Now()
	outcome := refusal.Unknown
	if h.options.Ready() == kernel.Draining {
		// Closing the connection makes the caller reconnect to another daemon.
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
	response, refused := h.sendWithRetries(r.WithContext(ctx), p, body)
	if refused != nil {
		cancel()
		return nil, refused
	}
	response.Body = &cancelBody{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

func (h *Handler) plan(r *http.Request, arrived id.Instant) (*plan, *refusal.Error) {
	if refused := h.checkReady(); refused != nil {
		return nil, refused
	}
	view := h.options.View()
	route := view.Match(r.Method, r.URL.Path)
	if route == nil {
		return nil, refusal.New(refusal.NoRoute, refusal.NotRun)
	}
	p := &plan{route: route, policy: view.Policies[route.Service], arrived: arrived}
	if refused := p.setCall(r); refused != nil {
		return nil, refused
	}
	if !h.options.AllowCall(route.Service, p.policy.CallsPerSecond, arrived) {
		return nil, refusal.New(refusal.RateLimited, refusal.NotRun)
	}
	return p, nil
}

func (h *Handler) checkReady() *refusal.Error {
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

// setCall sets the plan's call from the route, the policy and the headers. A
// service that makes a nested call passes on the id, deadline and depth of the
// outer call; the earlier deadline applies.
func (p *plan) setCall(r *http.Request) *refusal.Error {
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
	if refused := p.inheritHeaders(r); refused != nil {
		return refused
	}
	if p.call.Deadline.Before(p.arrived) {
		return refusal.New(refusal.DeadlinePassed, refusal.NotRun)
	}
	return nil
}

func (p *plan) inheritHeaders(r *http.Request) *refusal.Error {
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
