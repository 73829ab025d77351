package admission

import "time"

const (
	// firstShare and returnedShare are the parts of the time in which an answer
	// is still within its response-time goal that a request may wait.
	firstShare    = 0.4
	returnedShare = 0.05
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
	// Returned is set for a caller who was refused before.
	Returned bool
}

// Longest returns how long the request may wait. While there is more work than
// room, as many requests are refused with a long queue as with a short one, but
// behind a long queue all answers are late. A caller who has returned is late
// already, so it takes room only where others leave some.
func (w Wait) Longest() time.Duration {
	most := max(0, w.Left-w.Service)
	if w.Aim <= 0 {
		return most
	}
	share := firstShare
	if w.Returned {
		share = returnedShare
	}
	onTime := time.Duration(share * float64(w.Aim-w.Service))
	return min(most, max(onTime, time.Duration(shortestWait*float64(w.Aim))))
}
