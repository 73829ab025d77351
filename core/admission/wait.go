package admission

import "time"

const (
	// maxWaitShare is the share of the response-time goal left after the service time
	// that a request may spend waiting.
	maxWaitShare = 0.4
	// minWaitShare is the minimum wait as a share of the response-time goal. It absorbs
	// uneven arrivals within the time of one slot.
	minWaitShare = 1.0 / 16
)

// Wait holds the inputs that determine how long a request may wait for a slot.
type Wait struct {
	// Aim is the response-time goal.
	Aim time.Duration
	// Left is the time until the deadline.
	Left time.Duration
	// Service is the expected service time of the backend server.
	Service time.Duration
}

// Longest returns how long the request may wait. Under overload a long queue does not
// reduce the number of refusals, but it makes every response late.
func (w Wait) Longest() time.Duration {
	limit := max(0, w.Left-w.Service)
	if w.Aim <= 0 {
		return limit
	}
	onTime := time.Duration(maxWaitShare * float64(w.Aim-w.Service))
	return min(limit, max(onTime, time.Duration(minWaitShare*float64(w.Aim))))
}
