package caller

import (
	"math/rand/v2"
	"net/http"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/retry"
	"marjoramsaddle/io/hop"
)

// sendWithRetries sends the call until an attempt succeeds or may not be retried.
func (h *Handler) sendWithRetries(r *http.Request, p *plan, body *replayBody) (*http.Response, *refusal.Error) {
	budget := h.options.Budget(p.route.Service, p.policy.BudgetPercent)
	budget.RecordFirstAttempt()
	hasRetryMarker := p.call.Retry
	var tried []id.Host
	for number := 1; ; number++ {
		response, host, refused := h.sendAttempt(r, p, body, tried)
		if refused == nil {
			return response, nil
		}
		if !h.retriesSameOwner(p, host, refused) {
			tried = append(tried, host)
		}
		if !body.rewind() {
			return nil, h.keyedRefusal(p, host, refused)
		}
		decision := retry.Decide(h.retryInput(p, number, hasRetryMarker, refused), budget)
		if !decision.Repeat {
			return nil, h.keyedRefusal(p, host, h.finalRefusal(refused, decision))
		}
		h.options.Metrics.Retry(refused.Reason)
		p.call.Retry = true
		if !waitForRetry(r, decision.At.Sub(h.options.Now())) {
			return nil, refusal.New(refusal.CallerGone, refused.Outcome)
		}
	}
}

func (h *Handler) retryInput(p *plan, number int, hasRetryMarker bool, refused *refusal.Error) retry.Attempt {
	return retry.Attempt{
		Number:         number,
		MaxAttempts:    p.policy.Attempts,
		Depth:          p.call.Depth,
		Idempotent:     p.route.Idempotent,
		HasRetryMarker: hasRetryMarker,
		Refusal:        refused,
		Now:            h.options.Now(),
		Deadline:       p.call.Deadline,
		Random:         rand.Uint64(),
	}
}

// finalRefusal returns the refusal of the last attempt. If retries are forbidden
// for another reason, that reason is counted too, so that operators see both.
func (h *Handler) finalRefusal(refused *refusal.Error, decision retry.Decision) *refusal.Error {
	if decision.Reason != refused.Reason {
		h.options.Metrics.Refusal(decision.Reason)
	}
	return refused
}

func (h *Handler) sendAttempt(r *http.Request, p *plan, body *replayBody, tried []id.Host) (*http.Response, id.Host, *refusal.Error) {
	host, refused := h.choose(p, tried)
	if refused != nil {
		return nil, "", refused
	}
	started := h.options.Now()
	h.options.Chooser.Started(host)
	response, refused := h.options.Sender.Do(host, h.newRequest(r, body), p.call)
	finish := func(result *refusal.Error) {
		now := h.options.Now()
		h.options.Chooser.Finished(host, now, now.Sub(started), result)
	}
	if refused != nil {
		finish(refused)
		return nil, host, refused
	}
	response.Body = &attemptBody{ReadCloser: response.Body, finish: finish}
	return response, host, nil
}

func (h *Handler) newRequest(r *http.Request, body *replayBody) *http.Request {
	out := r.Clone(r.Context())
	out.RequestURI = ""
	out.Header = http.Header{}
	hop.CopyEndToEndHeaders(out.Header, r.Header)
	hop.StripInternalHeaders(out.Header)
	out.Body = body.open()
	out.GetBody = nil
	if r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	return out
}

// waitForRetry sleeps before a retry and returns false if the call's context ends
// first.
func waitForRetry(r *http.Request, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
