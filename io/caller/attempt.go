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

// attempts sends the call until an attempt succeeds or may not be repeated.
func (h *Handler) attempts(r *http.Request, p *plan, body *replayBody) (*http.Response, *refusal.Error) {
	budget := h.options.Budget(p.route.Service, p.policy.BudgetPercent)
	budget.RecordFirstAttempt()
	marked := p.call.Retry
	var tried []id.Host
	for number := 1; ; number++ {
		response, host, refused := h.attempt(r, p, body, tried)
		if refused == nil {
			return response, nil
		}
		if !h.stays(p, host, refused) {
			tried = append(tried, host)
		}
		if !body.rewind() {
			return nil, h.undecided(p, host, refused)
		}
		next := retry.Decide(h.failed(p, number, marked, refused), budget)
		if !next.Repeat {
			return nil, h.undecided(p, host, h.ended(refused, next))
		}
		h.options.Metrics.Retry(refused.Reason)
		p.call.Retry = true
		if !wait(r, next.At.Sub(h.options.Now())) {
			return nil, refusal.New(refusal.CallerGone, refused.Outcome)
		}
	}
}

func (h *Handler) failed(p *plan, number int, marked bool, refused *refusal.Error) retry.Attempt {
	return retry.Attempt{
		Number:         number,
		MaxAttempts:    p.policy.Attempts,
		Depth:          p.call.Depth,
		Idempotent:     p.route.Idempotent,
		HasRetryMarker: marked,
		Refusal:        refused,
		Now:            h.options.Now(),
		Deadline:       p.call.Deadline,
		Random:         rand.Uint64(),
	}
}

// ended returns the refusal of the last attempt. A rule that forbids the
// repeat is counted beside it, so that operators see both.
func (h *Handler) ended(refused *refusal.Error, next retry.Decision) *refusal.Error {
	if next.Reason != refused.Reason {
		h.options.Metrics.Refusal(next.Reason)
	}
	return refused
}

func (h *Handler) attempt(r *http.Request, p *plan, body *replayBody, tried []id.Host) (*http.Response, id.Host, *refusal.Error) {
	host, refused := h.choose(p, tried)
	if refused != nil {
		return nil, "", refused
	}
	started := h.options.Now()
	h.options.Chooser.Started(host)
	response, refused := h.options.Sender.Do(host, h.request(r, body), p.call)
	finish := func(result *refusal.Error) {
		now := h.options.Now()
		h.options.Chooser.Finished(host, now, now.Sub(started), result)
	}
	if refused != nil {
		finish(refused)
		return nil, host, refused
	}
	response.Body = &countedBody{ReadCloser: response.Body, finish: finish}
	return response, host, nil
}

func (h *Handler) request(r *http.Request, body *replayBody) *http.Request {
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

// wait sleeps before a repeat and reports whether the call is still wanted.
func wait(r *http.Request, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
