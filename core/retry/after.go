package retry

import "time"

const (
	// shortestAfter keeps callers from returning before anything has changed;
	// a slot is used for about this long.
	shortestAfter = 100 * time.Millisecond
	// longestAfter keeps the rest of the caller's time for the request itself.
	longestAfter = 500 * time.Millisecond
)

// After returns when a refused caller may come back: once the expected wait has
// passed, spread over as much time again so that callers who were refused
// together do not return together.
func After(expected time.Duration, random uint64) time.Duration {
	base := min(max(expected, shortestAfter), longestAfter)
	spread := time.Duration(random >> fractionBits * uint64(base) >> fractionBits)
	return base + spread
}
