// Package concurrency learns how many concurrent requests a backend server handles
// well.
//
// The limit is the announced slots (the ceiling) unless a trial has shown that fewer
// serve as much. A trial alternates the limit between two values for a few service
// times each and compares the throughput and the service time at both. Slowdowns that
// do not depend on the load, and changes in the mix of work, affect both values alike.
// A trial of a lower limit starts only while all slots are in use and recent requests
// took longer at high concurrency than at low concurrency. While the limit is below the
// ceiling, trials of a higher one are repeated.
//
// The package reads no clock. The limit changes only in Begin and End, which the owner
// calls for each request.
//
// # Usage
//
//	limit := concurrency.New(18)
//	limit.Begin(now)
//	limit.End(started, later, concurrency.Served)
//	gate.Resize(later, limit.Value(), connections)
package concurrency

import (
	"math"
	"slices"
	"time"

	"marjoramsaddle/core/id"
)

//go:generate stringer -type=Outcome -linecomment -output=concurrency_string.go

// Outcome is how a request ended.
type Outcome int

// The outcomes of a request.
const (
	// Served means that the backend server responded.
	Served Outcome = iota // served
	// Rejected means that the backend server rejected the request without running it.
	Rejected // rejected
	// Unanswered means that no response arrived.
	Unanswered // unanswered
)

const (
	// meanWeight is the weight of one sample in the mean service time.
	meanWeight = 1.0 / 32
	// maxSampleFactor limits a sample to a multiple of the mean; one request in a
	// hundred takes up to five times as long as the others.
	maxSampleFactor = 3
	// pauseFactor and minPause determine after which time without events, in mean
	// service times, the process counts as paused.
	pauseFactor = 4
	minPause    = time.Second
	// firstDownWait is the time between a failed trial of a lower limit and the next
	// one. It grows up to maxDownWait with each failure, so that a server whose
	// slowdowns never depend on the load loses little of its capacity to trials.
	firstDownWait  = 15 * time.Second
	downWaitGrowth = 3
	maxDownWait    = 2 * time.Minute
	// unloadedWaitDivisor shortens the wait after a trial for which there was no load.
	unloadedWaitDivisor = 3
	// firstUpWait and maxUpWait are the same for trials of a higher limit. They are
	// shorter because a limit that is too low costs more than one that is too high.
	firstUpWait = time.Second
	maxUpWait   = 16 * time.Second
	// resumeTime is how long the results of an interrupted trial are kept.
	resumeTime = 30 * time.Second
)

// request is a request in progress.
type request struct {
	started id.Instant
	// area is the value of Limit.area when the request started.
	area float64
}

// Limit is the learned limit of one process of a backend server. It is not safe for
// concurrent use.
type Limit struct {
	ceiling int
	// settled is the limit outside of trials.
	settled int
	running []request
	clock   id.Instant
	// area is the sum over time of the requests in progress, in request nanoseconds.
	area float64
	// fullness is the share of the last mean service time or so in which nearly all slots
	// were in use.
	fullness    float64
	serviceTime time.Duration
	growth      growth
	// spread is the spread of service times at the previous limit.
	spread float64
	trial  *trial
	// interrupted is a trial that ended for lack of load, at interruptedAt.
	interrupted   *trial
	interruptedAt id.Instant
	// nextDown and nextUp are when the next trials may start.
	nextDown, nextUp id.Instant
	// grew is set while the latest trial has found that service times grow.
	grew             bool
	downWait, upWait time.Duration
}

// New returns a limit that starts at the given number of announced slots.
func New(slots int) *Limit {
	slots = max(1, slots)
	return &Limit{ceiling: slots, settled: slots, spread: maxSpread, downWait: firstDownWait, upWait: firstUpWait}
}

// Value returns the limit that is in force now, which alternates during a trial.
func (l *Limit) Value() int {
	if l.trial != nil {
		return l.trial.value()
	}
	return l.settled
}

// Settled returns the limit outside of trials. Load reports state it, because a trial
// alternates faster than reports arrive.
func (l *Limit) Settled() int { return l.settled }

// Ceiling returns the announced slots.
func (l *Limit) Ceiling() int { return l.ceiling }

// SetCeiling sets the announced slots. What was learned under other ones is dropped.
func (l *Limit) SetCeiling(slots int) {
	slots = max(1, slots)
	if slots == l.ceiling {
		return
	}
	l.ceiling, l.settled, l.trial, l.interrupted, l.growth = slots, slots, nil, nil, growth{}
}

// Pause drops what spans a pause of this process, which has ended now.
func (l *Limit) Pause(at id.Instant) {
	l.clock = max(l.clock, at)
	l.trial, l.interrupted, l.fullness = nil, nil, 0
	for i := range l.running {
		l.running[i].started = 0
	}
}

// Begin records that a request is sent to the backend server.
func (l *Limit) Begin(at id.Instant) {
	l.advance(at)
	l.running = append(l.running, request{started: at, area: l.area})
	l.startTrial()
}

// End records the end of a request that began at started. Requests that began before a
// pause, or are unknown, give no sample.
func (l *Limit) End(started, at id.Instant, outcome Outcome) {
	l.advance(at)
	i := slices.IndexFunc(l.running, func(r request) bool { return r.started == started })
	if i < 0 {
		l.forgetPaused()
		return
	}
	ended := l.running[i]
	l.running = slices.Delete(l.running, i, i+1)
	if outcome != Served {
		return
	}
	if l.trial != nil {
		l.trial.served(l.clock)
	}
	if took := l.clock.Sub(started); took > 0 {
		l.sample(took, (l.area-ended.area)/float64(took))
	}
}

// forgetPaused removes one request that began before a pause. Which one has ended
// does not matter, because they give no samples.
func (l *Limit) forgetPaused() {
	if i := slices.IndexFunc(l.running, func(r request) bool { return r.started == 0 }); i >= 0 {
		l.running = slices.Delete(l.running, i, i+1)
	}
}

// sample records the service time of a request and the mean number of requests in
// progress while it ran.
func (l *Limit) sample(took time.Duration, concurrency float64) {
	if l.serviceTime == 0 {
		l.serviceTime = took
	}
	took = min(took, maxSampleFactor*l.serviceTime)
	l.serviceTime += time.Duration(meanWeight * float64(took-l.serviceTime))
	if l.trial == nil {
		l.growth.record(took, concurrency/float64(l.settled))
	}
}

// advance moves the clock, during which the number of requests in progress was
// constant. Goroutines read the clock before they take the owner's lock, so events may
// arrive out of order.
func (l *Limit) advance(at id.Instant) {
	elapsed := at.Sub(l.clock)
	if elapsed <= 0 {
		return
	}
	if l.serviceTime > 0 && elapsed > max(minPause, pauseFactor*l.serviceTime) {
		l.Pause(at)
		return
	}
	running := len(l.running)
	if l.trial != nil {
		l.settle(l.trial.advance(l.clock, at, running), at)
	}
	full := 0.0
	if float64(running) >= highShare*float64(l.settled) {
		full = 1
	}
	l.fullness += (full - l.fullness) * -math.Expm1(-float64(elapsed)/max(1, float64(l.serviceTime)))
	l.area += float64(running) * float64(elapsed)
	l.clock = at
}

// startTrial starts a trial if nearly all slots are in use and there is reason for one.
// A higher limit is tried first.
func (l *Limit) startTrial() {
	if l.trial != nil || l.fullness < minFullShare || l.serviceTime == 0 {
		return
	}
	switch {
	case l.settled < l.ceiling && !l.clock.Before(l.nextUp):
		l.try(l.settled, higher(l.settled, l.ceiling), true)
	case l.settled > 1 && !l.clock.Before(l.nextDown) && (l.grew || l.growth.significant()):
		l.try(l.lowerToTry(), l.settled, false)
	}
}

// lowerToTry returns the lower limit to try next.
func (l *Limit) lowerToTry() int {
	switch {
	case l.resumes(l.settled, false):
		return l.interrupted.low
	case l.downWait == firstDownWait && l.growth.steep():
		return l.settled / 2
	default:
		return lower(l.settled)
	}
}

// resumes reports whether a trial of the given kind was interrupted recently.
func (l *Limit) resumes(high int, retest bool) bool {
	return l.interrupted != nil && l.interrupted.high == high && l.interrupted.retest == retest && l.clock.Sub(l.interruptedAt) < resumeTime
}

// try starts a trial, or continues one that was interrupted recently. Its pairs remain
// valid, because each pair is a comparison of its own.
func (l *Limit) try(low, high int, retest bool) {
	l.trial = newTrial(low, high, retest, l.serviceTime, l.currentSpread(), l.clock)
	if l.resumes(high, retest) && l.interrupted.low == low {
		l.trial.pairs = l.interrupted.pairs
	}
	l.interrupted = nil
}

// settle ends the trial if there is a verdict, and schedules the next ones.
func (l *Limit) settle(result verdict, at id.Instant) {
	if result == undecided {
		return
	}
	ended := l.trial
	l.trial = nil
	switch result {
	case keepLow:
		l.setSettled(ended.low)
	case keepHigh:
		l.setSettled(ended.high)
	default:
		if ended.retest {
			l.upWait = min(maxUpWait, 2*l.upWait)
		} else if len(ended.pairs) == 0 {
			l.nextDown = at.Add(l.downWait / unloadedWaitDivisor)
		}
		l.nextUp, l.nextDown = at.Add(l.upWait), max(l.nextDown, at.Add(firstUpWait))
		l.interrupted, l.interruptedAt = ended, at
		return
	}
	l.grew = result == keepLow
	switch {
	case ended.retest && result == keepLow:
		l.upWait = min(maxUpWait, 2*l.upWait)
		l.nextUp = at.Add(l.upWait)
	case ended.retest:
		// The next higher limit is tried at once.
		l.upWait, l.nextUp = firstUpWait, at
		l.nextDown = at.Add(firstUpWait)
	case result == keepLow:
		l.upWait, l.downWait = firstUpWait, firstDownWait
		l.nextUp = at.Add(l.upWait)
		// A still lower limit is tried at once.
		if ended.low > 1 {
			l.try(lower(ended.low), ended.low, false)
		}
	default:
		l.nextDown, l.nextUp = at.Add(l.downWait), at.Add(l.upWait)
		l.downWait = min(maxDownWait, downWaitGrowth*l.downWait)
	}
}

// currentSpread returns the spread of single service times, as a share of the mean.
func (l *Limit) currentSpread() float64 {
	if spread, found := l.growth.spread(); found {
		return spread
	}
	return l.spread
}

func (l *Limit) setSettled(limit int) {
	if limit != l.settled {
		l.spread = l.currentSpread()
		l.settled, l.growth = limit, growth{}
	}
}

// lower returns the next lower limit to try. Smaller steps need more samples to tell
// the two apart than a server with 6 to 18 slots yields in a few seconds.
func lower(limit int) int { return max(1, limit-(limit+3)/4) }

// higher returns the next higher limit to try. The step is smaller than that of lower,
// so that limits between two steps down are found. The last step is not smaller than
// the others.
func higher(limit, ceiling int) int {
	step := (limit + 4) / 5
	if ceiling-limit < 2*step {
		return ceiling
	}
	return limit + step
}

// deviation returns the standard deviation of a sum of variances.
func deviation(variances ...float64) float64 {
	sum := 0.0
	for _, variance := range variances {
		sum += variance
	}
	return math.Sqrt(sum)
}
