package retry

import "time"

const (
	// minRetryAfter keeps callers from retrying before anything has changed; a slot is
	// in use for about this long.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter leaves the rest of the caller's time for the request itself.
	maxRetryAfter = 500 * time.Millisecond
)

// After returns how long a refused caller should wait before it retries: the expected
// wait plus a random part of up to the same length, so that callers refused together
// do not return together.
func After(expected time.Duration, random uint64) time.Duration {
	base := min(max(expected, minRetryAfter), maxRetryAfter)
	spread := time.Duration(random >> fractionBits * uint64(base) >> fractionBits)
	return base + spread
}
