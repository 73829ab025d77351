package hop

import (
	"context"
	"errors"

	"marjoramsaddle/core/refusal"
)

// RefusalFromError returns the refusal for a request that ended with an error and no
// answer. The call counts as not run only when nothing of it can have reached
// the other side. The reason is broken when it can, unless the deadline has
// passed or the caller has left.
func RefusalFromError(ctx context.Context, err error, reached bool, broken refusal.Reason) *refusal.Error {
	outcome := refusal.NotRun
	reason := refusal.ConnectFailed
	if reached {
		outcome = refusal.Unknown
		reason = broken
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = refusal.DeadlinePassed
	case ctx.Err() != nil:
		reason = refusal.CallerGone
	}
	return refusal.Wrap(reason, outcome, err)
}
