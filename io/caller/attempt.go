package caller

import (
	"io"
	"net/http"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/hop"
)

// backoffBase is the wait before the first repeat; it doubles with each
// further one.
const backoffBase = 2 * time.Millisecond

// attempts sends the call until an attempt succeeds or may not be repeated.
func (h *Handler) attempts(r *http.Request, p *plan, body *replayBody) (*http.Response, *refusal.Error) {
	budget := h.options.Budget(p.route.Service, p.policy.BudgetPercent)
	budget.First(h.options.Now())
	var tried []id.Host
	var refused *refusal.Error
	for attempt := 1; ; attempt++ {
		var response *http.Response
		var host id.Host
		response, host, refused = h.attempt(r, p, body, tried)
		if refused == nil {
			return response, nil
		}
		tried = append(tried, host)
		if stop := h.stop(p, body, budget, attempt, refused); stop != nil {
			return nil, stop
		}
		h.options.Record.Retry(refused.Reason)
		p.call.Retry = true
		if !wait(r, attempt) {
			return nil, refusal.New(refusal.CallerGone, refused.Outcome)
		}
	}
}

// stop returns the refusal that ends the call, or nil when the attempt may be
// repeated. The outcome of the last attempt stays with the refusal.
func (h *Handler) stop(p *plan, body *replayBody, budget Budget, attempt int, refused *refusal.Error) *refusal.Error {
	now := h.options.Now()
	safe := refused.Outcome == refusal.NotRun || p.route.Idempotent
	switch {
	case !safe, !repeatable(refused.Reason), !body.rewind():
		return refused
	case attempt >= p.policy.Attempts, p.call.Retry && attempt == 1:
		return refused
	case p.call.Deadline.Before(now):
		return refusal.Wrap(refusal.DeadlinePassed, refused.Outcome, refused)
	case !budget.Allow(now):
		h.options.Record.Refusal(refusal.RetryBudgetSpent)
		return refused
	default:
		return nil
	}
}

// repeatable reports whether another host may answer where one has refused.
func repeatable(reason refusal.Reason) bool {
	switch reason {
	case refusal.Leaving, refusal.QueueFull, refusal.QueueDeadline, refusal.ConnectFailed, refusal.HopBroken,
		refusal.BackendBroken, refusal.BackendShed, refusal.NoEndpoint, refusal.Resyncing, refusal.Busy:
		return true
	default:
		return false
	}
}

func (h *Handler) attempt(r *http.Request, p *plan, body *replayBody, tried []id.Host) (*http.Response, id.Host, *refusal.Error) {
	entry, refused := h.options.Chooser.Choose(p.route.Service, h.options.Now(), tried)
	if refused != nil {
		return nil, "", refused
	}
	started := h.options.Now()
	h.options.Chooser.Started(entry.Host)
	response, refused := h.options.Sender.Do(entry.Host, h.request(r, body), p.call)
	finish := func(result *refusal.Error) {
		now := h.options.Now()
		h.options.Chooser.Finished(entry.Host, now, now.Sub(started), result)
	}
	if refused != nil {
		finish(refused)
		return nil, entry.Host, refused
	}
	response.Body = &countedBody{ReadCloser: response.Body, finish: finish}
	return response, entry.Host, nil
}

func (h *Handler) request(r *http.Request, body *replayBody) *http.Request {
	out := r.Clone(r.Context())
	out.RequestURI = ""
	out.Header = http.Header{}
	hop.CopyHeader(out.Header, r.Header)
	hop.DropInternal(out.Header)
	out.Body = io.NopCloser(body)
	out.GetBody = nil
	if r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	return out
}

// wait sleeps before a repeat, with full jitter, and reports whether the call
// is still wanted.
func wait(r *http.Request, attempt int) bool {
	timer := time.NewTimer(jitter(backoffBase << (attempt - 1)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
