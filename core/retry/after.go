package retry

import "time"

const (
	// minRetryAfter is about as long as a request occupies a slot. An earlier retry
	// would probably be refused again.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter caps the base delay, so that the caller's deadline still leaves
	// time for the retry. With jitter, After returns up to twice this.
	maxRetryAfter = 500 * time.Millisecond
	// maxKnownRetryAfter caps the delay when the time until there is capacity is known.
	// Cold times, the longest of these, last some seconds. spread takes up to 4.29 s.
	maxKnownRetryAfter = 4 * time.Second
)

// AfterRefusal returns how long a caller should wait before it retries when the time until
// there is capacity is known. A random part of up to the same length is added as in After.
func AfterRefusal(capacity time.Duration, random uint64) time.Duration {
	base := min(max(capacity, minRetryAfter), maxKnownRetryAfter)
	return base + spread(base, random)
}

// After returns how long a refused caller should wait before it retries: the expected
// wait, limited to minRetryAfter and maxRetryAfter, plus a random part of up to the
// same length, so that callers refused at the same time do not retry at the same time.
func After(expected time.Duration, random uint64) time.Duration {
	base := min(max(expected, minRetryAfter), maxRetryAfter)
	return base + spread(base, random)
}

// spread returns a random part of the duration.
func spread(base time.Duration, random uint64) time.Duration {
	return time.Duration(random >> fractionBits * uint64(base) >> fractionBits)
}
