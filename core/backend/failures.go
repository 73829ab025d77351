package backend

import (
	"math"
	"time"

	"marjoramsaddle/core/id"
)

const (
	// failureWeight is the weight of one request in the failure rate.
	failureWeight = 1.0 / 16
	// failureHalfLife is the half-life of the rate while no request updates it. As it
	// decays, a server that has failed every request is gradually tried again.
	failureHalfLife = 2 * time.Second
)

// FailureRate is the share of recent requests that a backend server has failed, as an
// exponential moving average. A health endpoint is less reliable: it may report healthy
// while every request fails. The zero value is ready for use.
type FailureRate struct {
	rate         float64
	lastRecorded id.Instant
}

// Record updates the rate with the outcome of a request.
func (f *FailureRate) Record(failed bool, now id.Instant) {
	rate, target := f.Value(now), 0.0
	if failed {
		target = 1
	}
	f.rate = rate + failureWeight*(target-rate)
	f.lastRecorded = max(f.lastRecorded, now)
}

// Value returns the rate at the given instant.
func (f *FailureRate) Value(now id.Instant) float64 {
	if f.rate == 0 {
		return 0
	}
	idle := max(0, now.Sub(f.lastRecorded))
	return f.rate * math.Exp2(-float64(idle)/float64(failureHalfLife))
}
