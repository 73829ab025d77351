package admission

import "time"

const (
	// waitShare is the part of the time in which an answer would still be within
	// its response-time goal that a request may wait.
	waitShare = 0.4
	// shortestWait allows for the unevenness of arrivals within one slot's time,
	// as a part of the response-time goal.
	shortestWait = 1.0 / 16
)

// Wait says what decides how long a request may wait for a slot.
type Wait struct {
	// Aim is the response-time goal.
	Aim time.Duration
	// Left is the time until the deadline.
	Left time.Duration
	// Service is the time that the backend server is expected to take.
	Service time.Duration
}

// Longest returns how long the request may wait. While there is more work than
// room, as many requests are refused with a long queue as with a short one, but
// behind a long queue all answers are late.
func (w Wait) Longest() time.Duration {
	most := max(0, w.Left-w.Service)
	if w.Aim <= 0 {
		return most
	}
	onTime := time.Duration(waitShare * float64(w.Aim-w.Service))
	return min(most, max(onTime, time.Duration(shortestWait*float64(w.Aim))))
}
