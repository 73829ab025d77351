package caller

import (
	"slices"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
)

// recorded reports whether the call goes to the owner of its key.
func (h *Handler) recorded(p *plan) bool { return h.options.Owners != nil && p.call.NeedsRecord() }

// choose returns the host of the next attempt. The owners of a key are tried in
// their order.
func (h *Handler) choose(p *plan, tried []id.Host) (id.Host, *refusal.Error) {
	if !h.recorded(p) {
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

// reached reports whether the owner's daemon has answered or may have read the
// call. The refusal of another daemon has no cause here.
func (h *Handler) reached(host id.Host, refused *refusal.Error) bool {
	return refused.Reason != refusal.ConnectFailed || refused.Cause == nil || host == h.options.Self
}

// stays reports whether the next attempt of a keyed call goes to the same
// owner. An owner that has claimed the key may have had it recorded by a
// partner, which then grants it to no other owner. Only an owner that was not
// reached, or that leaves, has left no record.
func (h *Handler) stays(p *plan, host id.Host, refused *refusal.Error) bool {
	return h.recorded(p) && refused.Reason != refusal.Leaving && h.reached(host, refused)
}

// undecided turns the refusal of a keyed call into an unknown outcome when no
// owner was reached: the hosts that are away may hold the record of an earlier
// run.
func (h *Handler) undecided(p *plan, host id.Host, refused *refusal.Error) *refusal.Error {
	missing := refused.Reason == refusal.NoEndpoint && host == ""
	if h.recorded(p) && (missing || !h.reached(host, refused)) {
		return refusal.Wrap(refusal.RecordUnavailable, refusal.Unknown, refused)
	}
	return refused
}
