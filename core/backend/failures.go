package backend

import (
	"math"
	"time"

	"marjoramsaddle/core/id"
)

const (
	// failureWeight is the weight of one request in the share of failed ones.
	failureWeight = 1.0 / 16
	// failureHalfLife is the time in which the share halves while no request shows
	// how the backend server is. After it, a server that has failed everything is
	// tried again by and by.
	failureHalfLife = 2 * time.Second
)

// FailureRate is the share of the latest requests that a backend server has failed.
// A health endpoint tells less: it may say well and fail all. The zero value is
// ready for use.
type FailureRate struct {
	share  float64
	latest id.Instant
}

// Record takes in how a request ended.
func (f *FailureRate) Record(failed bool, now id.Instant) {
	share, target := f.Value(now), 0.0
	if failed {
		target = 1
	}
	f.share = share + failureWeight*(target-share)
	f.latest = max(f.latest, now)
}

// Value returns the share at the given instant.
func (f *FailureRate) Value(now id.Instant) float64 {
	if f.share == 0 {
		return 0
	}
	idle := max(0, now.Sub(f.latest))
	return f.share * math.Exp2(-float64(idle)/float64(failureHalfLife))
}
