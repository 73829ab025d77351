package hop

import (
	"context"
	"errors"

	"marjoramsaddle/core/refusal"
)

// RefusalFromError returns the refusal for a request that failed without a
// response. The outcome is NotRun only if no part of the request can have reached
// the peer; otherwise it is Unknown, for brokenReason. A passed deadline or a
// departed caller takes precedence as the reason.
func RefusalFromError(ctx context.Context, err error, mayHaveRun bool, brokenReason refusal.Reason) *refusal.Error {
	outcome := refusal.NotRun
	reason := refusal.ConnectFailed
	if mayHaveRun {
		outcome = refusal.Unknown
		reason = brokenReason
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = refusal.DeadlinePassed
	case ctx.Err() != nil:
		reason = refusal.CallerGone
	}
	return refusal.Wrap(reason, outcome, err)
}
