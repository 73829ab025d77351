package retry

import "marjoramsaddle/core/id"

// Repeats bounds the repeats of the calls to one service in two ways: all of
// them, and those after an attempt that may have run. Such a run may have made
// calls of its own, which the repeat makes again and which count as repeats at
// the services that are called. An attempt that has not run cost nothing there.
type Repeats struct{ all, reruns *Budget }

// NewRepeats returns full budgets in percent of first attempts.
func NewRepeats(allPercent, rerunPercent int) *Repeats {
	return &Repeats{
		all:    NewBudget(allPercent, WithMinimum(0)),
		reruns: NewBudget(rerunPercent, WithMinimum(0)),
	}
}

// First records the first attempt of a call.
func (r *Repeats) First() {
	r.all.First()
	r.reruns.First()
}

// Take uses one repeat, if there is one.
func (r *Repeats) Take(now id.Instant, mayHaveRun bool) bool {
	if mayHaveRun && !r.reruns.Take(now) {
		return false
	}
	return r.all.Take(now)
}
