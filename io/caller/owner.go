package caller

import (
	"slices"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
)

// routedToOwner reports whether the call must go to the owner of its idempotency
// key.
func (h *Handler) routedToOwner(p *plan) bool { return h.options.Owners != nil && p.call.NeedsRecord() }

// choose returns the host of the next attempt: the chooser's or, for a call that
// needs a record, the first owner of its key that has not been tried.
func (h *Handler) choose(p *plan, tried []id.Host) (id.Host, *refusal.Error) {
	if !h.routedToOwner(p) {
		entry, refused := h.options.Chooser.Choose(p.route.Service, h.options.Now(), tried)
		return entry.Host, refused
	}
	for _, host := range h.options.Owners(p.route.Service, p.call.Key) {
		if !slices.Contains(tried, host) {
			return host, nil
		}
	}
	return "", refusal.New(refusal.NoEndpoint, refusal.NotRun)
}

// ownerReached reports whether the owner's daemon has answered or may have read
// the call. A refusal that another daemon sent has a nil Cause.
func (h *Handler) ownerReached(host id.Host, refused *refusal.Error) bool {
	return refused.Reason != refusal.ConnectFailed || refused.Cause == nil || host == h.options.Self
}

// retriesSameOwner reports whether the next attempt of a keyed call goes to the
// same owner. Once a partner has recorded the key for an owner, it grants the key
// to no other owner. Only an owner that was not reached, or that refused the call
// because it is leaving, cannot have had the key recorded.
func (h *Handler) retriesSameOwner(p *plan, host id.Host, refused *refusal.Error) bool {
	return h.routedToOwner(p) && refused.Reason != refusal.Leaving && h.ownerReached(host, refused)
}

// keyedRefusal changes the outcome of a refused keyed call to unknown if no owner
// was reached: an unreachable host may hold the record of an earlier run.
func (h *Handler) keyedRefusal(p *plan, host id.Host, refused *refusal.Error) *refusal.Error {
	missing := refused.Reason == refusal.NoEndpoint && host == ""
	if h.routedToOwner(p) && (missing || !h.ownerReached(host, refused)) {
		return refusal.Wrap(refusal.RecordUnavailable, refusal.Unknown, refused)
	}
	return refused
}
