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
	// maxOffers bounds the daemons to which a request is offered. An offer that
	// the daemon refuses costs no work at a backend server.
	maxOffers = 5
	// eagerOffers are made without waiting for a slot, in search of a free one.
	eagerOffers = 2
)

// attempts offers the request until a backend server has answered it or no
// further offer is useful and safe.
func (h *Handler) attempts(ctx context.Context, j *job) (*http1.Response, *refusal.Error) {
	h.options.RetryBudget.RecordFirstAttempt(j.service, j.run != nil)
	if j.run != nil {
		j.run.RecordCall(j.service)
	}
	last := refusal.New(refusal.NoEndpoint, refusal.NotRun)
	// failed is a backend server's own failure, for want of a better answer.
	var failed *http1.Response
	for offer := 1; offer <= maxOffers; offer++ {
		answer, refused := h.offer(ctx, j, offer)
		reason := refusal.BackendBroken
		switch {
		case refused == nil && !h.worthRepeating(j, answer):
			return answer, nil
		case refused == nil:
			failed = answer
		default:
			last, reason = worse(last, refused), refused.Reason
			if !h.again(ctx, j, refused) {
				return failed, unless(failed, last)
			}
		}
		if refused == nil || reached(refused) {
			if j.record.Arrivals >= j.route.Attempts || !h.options.RetryBudget.Take(j.service, j.route.Name, j.route.Priority) {
				break
			}
		}
		h.options.Recorder.Retry(reason)
	}
	return failed, unless(failed, last)
}

// unless returns the refusal when there is no answer.
func unless(answer *http1.Response, refused *refusal.Error) *refusal.Error {
	if answer != nil {
		return nil
	}
	return refused
}

// worse keeps the outcome that promises less: once an attempt may have run,
// the request may have run.
func worse(former, latest *refusal.Error) *refusal.Error {
	if former.Outcome != refusal.NotRun && latest.Outcome == refusal.NotRun {
		return refusal.Wrap(latest.Reason, former.Outcome, latest)
	}
	return latest
}

// reached reports whether the attempt may have arrived at a backend server.
func reached(refused *refusal.Error) bool {
	if refused.Outcome != refusal.NotRun {
		return true
	}
	return refused.Reason == refusal.BackendShed || refused.Reason == refusal.WrongIdentity
}

// again reports whether another offer can help and can do no harm.
func (h *Handler) again(ctx context.Context, j *job, refused *refusal.Error) bool {
	if ctx.Err() != nil || j.request.Stream != nil {
		return false
	}
	if refused.Outcome != refusal.NotRun && !j.route.Idempotent {
		return false
	}
	switch refused.Reason {
	case refusal.CallerGone, refusal.DeadlinePassed, refusal.BadRequest, refusal.BodyTooLarge:
		return false
	default:
		return h.options.Now().Before(j.deadline)
	}
}

// worthRepeating reports whether the backend server has failed a request that
// may run again.
func (h *Handler) worthRepeating(j *job, answer *http1.Response) bool {
	return answer.Status == http.StatusInternalServerError && j.route.Idempotent &&
		!relay.CallRefused(answer.Header) && j.request.Stream == nil && h.options.Now().Before(j.deadline)
}

var errNoServer = errors.New("no backend server of the service takes requests")

// offer makes one attempt.
func (h *Handler) offer(ctx context.Context, j *job, number int) (*http1.Response, *refusal.Error) {
	now := h.options.Now()
	choice, found := h.options.Chooser.Choose(placement.Request{
		Service: j.service, Large: j.route.Large, Now: now, Exclude: j.exclude, Local: h.options.Local(),
	})
	if !found {
		return nil, refusal.Wrap(refusal.NoEndpoint, refusal.NotRun, errNoServer)
	}
	j.record.Attempts++
	j.record.Server, j.record.Expected = choice.Server.ID, choice.Expected
	call := relay.Call{
		Server: choice.Server.ID, Left: j.deadline.Sub(now), Rank: j.route.Priority,
		Aim: j.route.Aim, NoWait: number <= eagerOffers, Large: j.route.Large,
	}
	answer, refused := h.send(ctx, j, &choice.Server, call)
	h.countCalls(j, answer, refused)
	if refused == nil || reached(refused) {
		j.record.Arrivals++
	}
	if refused == nil || !full(refused.Reason) || number > eagerOffers {
		j.exclude = append(j.exclude, choice.Server.ID)
	}
	return answer, refused
}

// send makes the attempt and tells the chooser of its end, also when it panics.
func (h *Handler) send(ctx context.Context, j *job, target *backend.Server, call relay.Call) (answer *http1.Response, refused *refusal.Error) {
	result := placement.Neutral
	h.options.Chooser.Started(target.ID, h.options.Now())
	defer func() { h.options.Chooser.Finished(target.ID, result, h.options.Now()) }()
	answer, refused = h.options.Sender.Do(ctx, target, call, j.request)
	result = resultOf(answer, refused)
	return answer, refused
}

// countCalls learns the calls that a run has made, and charges those of a
// repeat.
func (h *Handler) countCalls(j *job, answer *http1.Response, refused *refusal.Error) {
	repeat := j.record.Arrivals > 0
	switch {
	case refused == nil:
		calls := relay.Calls(answer.Header)
		h.options.RetryBudget.RecordCalls(j.route.Name, calls)
		if repeat {
			h.options.RetryBudget.ChargeCalls(j.route.Name, calls)
		}
	case repeat && refused.Outcome != refusal.NotRun:
		h.options.RetryBudget.ChargeCalls(j.route.Name, nil)
	}
}

// full reports whether the backend server may take the request a little later.
func full(reason refusal.Reason) bool {
	return reason == refusal.QueueFull || reason == refusal.QueueDeadline || reason == refusal.LinkBusy
}

func resultOf(answer *http1.Response, refused *refusal.Error) placement.Result {
	if refused == nil {
		if answer.Status == http.StatusInternalServerError {
			return placement.Failed
		}
		return placement.Served
	}
	switch refused.Reason {
	case refusal.QueueFull, refusal.QueueDeadline, refusal.LinkBusy:
		return placement.Refused
	case refusal.ConnectFailed, refusal.BackendBroken, refusal.HopBroken, refusal.BackendShed,
		refusal.NoEndpoint, refusal.Leaving, refusal.WrongIdentity:
		return placement.Failed
	default:
		return placement.Neutral
	}
}
