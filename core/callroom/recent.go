package callroom

import (
	"math"
	"time"

	"marjoramsaddle/core/id"
)

// runMemory is the time constant with which runs are forgotten.
const runMemory = time.Second

// recentRuns counts the runs of about the last second; the counts decay exponentially.
type recentRuns struct {
	runs, failed float64
	at           id.Instant
}

// add counts a run that ended at the given instant.
func (r *recentRuns) add(failed bool, at id.Instant) {
	r.decay(at)
	r.runs++
	if failed {
		r.failed++
	}
}

func (r *recentRuns) decay(at id.Instant) {
	if since := at.Sub(r.at); since > 0 {
		factor := math.Exp(-since.Seconds() / runMemory.Seconds())
		r.runs, r.failed, r.at = r.runs*factor, r.failed*factor, at
	}
}

// share returns the share of the runs that failed.
func (r *recentRuns) share() float64 {
	if r.runs == 0 {
		return 0
	}
	return r.failed / r.runs
}

// excess returns the number of failed runs beyond those that are tolerated.
func (r *recentRuns) excess() float64 { return r.failed - toleratedShare*r.runs }
