package ingress

import (
	"context"
	"errors"
	"net/http"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/relay"
)

const (
	// maxAttempts limits the attempts of a request, including those that daemons
	// refuse, which cost no work at a backend server. Route.Attempts limits the
	// attempts that may have reached one.
	maxAttempts = 5
	// noWaitAttempts is the number of first attempts that are refused instead of
	// queued, to find a backend server with a free slot.
	noWaitAttempts = 2
	// maxColdRefusals is the number of cold backend servers that refuse a request that
	// would wait for them, after which it is sent to no other cold one. When all servers
	// are cold after a power loss, further attempts would only multiply the messages.
	maxColdRefusals = 2
)

// sendWithRetries sends the request until a backend server has responded or no
// further attempt is useful and safe.
func (h *Handler) sendWithRetries(ctx context.Context, j *job) (*http1.Response, *refusal.Error) {
	h.options.RetryBudget.RecordFirstAttempt(j.service, j.parent != nil)
	if j.parent != nil {
		j.parent.RecordCall(j.service)
	}
	lastRefusal := refusal.New(refusal.NoEndpoint, refusal.NotRun)
	// failed is a 500 response of a backend server, returned if no attempt after it
	// succeeds.
	var failed *http1.Response
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		response, refused := h.attempt(ctx, j, attempt)
		reason := refusal.BackendBroken
		switch {
		case refused == nil && !h.isRetryableFailure(j, response):
			return response, nil
		case refused == nil:
			failed = response
		default:
			lastRefusal, reason = withLeastCertainOutcome(lastRefusal, refused), refused.Reason
			if !h.mayRetry(ctx, j, refused) {
				return failed, refusalWithoutResponse(failed, lastRefusal)
			}
		}
		if refused == nil || mayHaveReachedBackend(refused) {
			if j.record.Arrivals >= j.route.Attempts || !h.options.RetryBudget.Take(j.service, j.route.Name, j.route.Priority) {
				break
			}
		}
		h.options.Recorder.Retry(reason)
	}
	return failed, refusalWithoutResponse(failed, lastRefusal)
}

// refusalWithoutResponse returns the refusal if there is no response.
func refusalWithoutResponse(response *http1.Response, refused *refusal.Error) *refusal.Error {
	if response != nil {
		return nil
	}
	return refused
}

// withLeastCertainOutcome returns the latest refusal, but with the previous outcome
// if only the latest attempt is known not to have run: once one attempt may have
// run, the request may have run.
func withLeastCertainOutcome(previous, latest *refusal.Error) *refusal.Error {
	if previous.Outcome != refusal.NotRun && latest.Outcome == refusal.NotRun {
		return refusal.Wrap(latest.Reason, previous.Outcome, latest)
	}
	return latest
}

// mayHaveReachedBackend reports whether the attempt may have reached a backend
// server.
func mayHaveReachedBackend(refused *refusal.Error) bool {
	if refused.Outcome != refusal.NotRun {
		return true
	}
	return refused.Reason == refusal.BackendShed || refused.Reason == refusal.WrongIdentity
}

// mayRetry reports whether another attempt is safe and can succeed in time.
func (h *Handler) mayRetry(ctx context.Context, j *job, refused *refusal.Error) bool {
	if ctx.Err() != nil || j.request.Stream != nil || j.leaving {
		return false
	}
	if refused.Outcome != refusal.NotRun && !j.route.Idempotent {
		return false
	}
	switch refused.Reason {
	case refusal.CallerGone, refusal.DeadlinePassed, refusal.BadRequest, refusal.BodyTooLarge:
		return false
	default:
		return !j.coldEverywhere && h.options.Now().Before(j.deadline)
	}
}

// isRetryableFailure reports whether the response is a 500 to a request that may
// run again. A failure caused by a refused call is not retried.
func (h *Handler) isRetryableFailure(j *job, response *http1.Response) bool {
	return response.Status == http.StatusInternalServerError && j.route.Idempotent &&
		!relay.CallRefused(response.Header) && j.request.Stream == nil && h.options.Now().Before(j.deadline)
}

var errNoServer = errors.New("no backend server of the service accepts requests")

// attempt chooses a backend server and sends the request to it. It excludes the
// server from further attempts, unless a no-wait attempt found it at capacity.
func (h *Handler) attempt(ctx context.Context, j *job, number int) (*http1.Response, *refusal.Error) {
	if refused := h.checkStopping(j); refused != nil {
		return nil, refused
	}
	now := h.options.Now()
	choice, found := h.options.Chooser.Choose(placement.Request{
		Service: j.service, Large: j.route.Large, Now: now, Exclude: j.exclude, Local: h.options.Local(),
	})
	if j.coldRefusals > 0 && (!found || choice.RateLimited && j.coldRefusals >= maxColdRefusals) {
		j.coldEverywhere = true
		return nil, refusal.New(refusal.ServerCold, refusal.NotRun)
	}
	if !found {
		return nil, refusal.Wrap(refusal.NoEndpoint, refusal.NotRun, errNoServer)
	}
	j.record.Attempts++
	j.record.Server, j.record.Expected = choice.Server.ID, choice.Expected
	call := relay.Call{
		Server: choice.Server.ID, Left: j.deadline.Sub(now), Rank: j.route.Priority,
		Aim: j.route.Aim, NoWait: number <= noWaitAttempts && !choice.RateLimited, Large: j.route.Large,
		OfRequest: j.parent != nil, Origin: j.origin(), Arrived: j.arrived, Expected: h.latencies.Mean(j.route.Name),
	}
	response, refused := h.send(ctx, j, &choice.Server, call)
	h.recordCalls(j, response, refused)
	if refused == nil || mayHaveReachedBackend(refused) {
		j.record.Arrivals++
	}
	if refused != nil && refused.Reason == refusal.ServerCold {
		h.recordColdRefusal(j, call, refused)
	}
	if refused == nil || !isCapacityRefusal(refused.Reason) || !call.NoWait {
		j.exclude = append(j.exclude, choice.Server.ID)
	}
	return response, refused
}

// recordColdRefusal records that a cold backend server has refused the request.
func (h *Handler) recordColdRefusal(j *job, call relay.Call, refused *refusal.Error) {
	now := h.options.Now()
	h.options.Chooser.RefusedCold(call.Server, now.Add(refused.RetryAfter), now)
	if !call.NoWait {
		j.coldRefusals++
	}
	if j.retryAfter == 0 || refused.RetryAfter < j.retryAfter {
		j.retryAfter = refused.RetryAfter
	}
}

// send makes the attempt and reports its start and result to the chooser, even if
// it panics.
func (h *Handler) send(ctx context.Context, j *job, target *backend.Server, call relay.Call) (response *http1.Response, refused *refusal.Error) {
	result := placement.Neutral
	h.options.Chooser.Started(target.ID, h.options.Now())
	defer func() { h.options.Chooser.Finished(target.ID, result, h.options.Now()) }()
	response, refused = h.options.Sender.Do(ctx, target, call, j.request)
	if refused == nil && !j.route.Idempotent && promisesNotRun(response.Status) {
		response, refused = nil, refusal.Wrap(refusal.BackendBroken, refusal.Unknown, errUnprovenPromise)
	}
	result = resultOf(response, refused)
	return response, refused
}

var errUnprovenPromise = errors.New("the status promises that the request has not run, but the backend server does not state it")

// promisesNotRun reports whether clients take the status for a promise that the request has
// not run, and send it again. A backend server that means it says so in a header as well,
// and its response is then a refusal.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// recordCalls records the calls that the backend server made for this request, and
// charges them to the retry budget if an earlier attempt may have reached a backend
// server.
func (h *Handler) recordCalls(j *job, response *http1.Response, refused *refusal.Error) {
	// Arrivals does not include the current attempt yet.
	earlierAttemptMayHaveArrived := j.record.Arrivals > 0
	switch {
	case refused == nil:
		calls := relay.Calls(response.Header)
		h.options.RetryBudget.RecordCalls(j.route.Name, calls)
		if earlierAttemptMayHaveArrived {
			h.options.RetryBudget.ChargeCalls(j.route.Name, calls)
		}
	case earlierAttemptMayHaveArrived && refused.Outcome != refusal.NotRun:
		// Without a response the calls are unknown; nil charges the route's mean.
		h.options.RetryBudget.ChargeCalls(j.route.Name, nil)
	}
}

// isCapacityRefusal reports whether the backend server may accept the request a
// little later.
func isCapacityRefusal(reason refusal.Reason) bool {
	switch reason {
	case refusal.QueueFull, refusal.QueueDeadline, refusal.LinkBusy, refusal.ServerLimited, refusal.ServerCold:
		return true
	default:
		return false
	}
}

// resultOf returns the result of an attempt for the chooser.
func resultOf(response *http1.Response, refused *refusal.Error) placement.Result {
	if refused == nil {
		if response.Status == http.StatusInternalServerError {
			return placement.Failed
		}
		return placement.Served
	}
	if isCapacityRefusal(refused.Reason) {
		return placement.Refused
	}
	switch refused.Reason {
	case refusal.ConnectFailed, refusal.BackendBroken, refusal.HopBroken, refusal.BackendShed,
		refusal.NoEndpoint, refusal.Leaving, refusal.WrongIdentity:
		return placement.Failed
	default:
		return placement.Neutral
	}
}
