package concurrency

import (
	"math"
	"time"

	"marjoramsaddle/core/id"
)

const (
	// settleShare is how long a phase settles before it is measured, in mean service
	// times. Together with a measured time of about one service time, a request that
	// begins with the phase ends in the middle of the measured time.
	settleShare = 0.5
	// A phase is measured for a whole number of mean service times, because requests that
	// take equally long end together. It ends once at least minQuota requests, and
	// quotaShare of those that the higher limit admits at once, were served.
	minQuota   = 5
	quotaShare = 0.6
	// maxPhase bounds a phase in mean service times, minMaxPhase in time.
	maxPhase    = 6
	minMaxPhase = time.Second
	// A trial ends without result after maxPairs pairs of phases.
	maxPairs = 24
	// minDownPairs and minUpPairs are the pairs after which a trial may find that the
	// higher limit serves more.
	minDownPairs = 2
	minUpPairs   = 3
	// minLowerPairs is the number of pairs after which a lower limit may be accepted.
	// The most favourable one is not counted: the service times may have changed for
	// another reason between its phases.
	minLowerPairs = 3
	// minFullShare is the share of the time for which a limit must be reached.
	minFullShare = 0.75
	// maxUnloadedPairs is the number of pairs without enough load after which a trial is
	// abandoned.
	maxUnloadedPairs = 2
	// minLevelRatio is the minimum ratio of the concurrency at both limits.
	minLevelRatio = 1.08
	// throughputTolerance is how much lower the throughput at the lower limit may be,
	// as a logarithm. It is below what a trial can measure.
	throughputTolerance = 0.03
	// longerMargin is how much longer service times at the higher limit must be, as a
	// logarithm.
	longerMargin = 0.1
	// minSpread and maxSpread bound the standard deviation of single service times, as a
	// share of their mean.
	minSpread = 0.4
	maxSpread = 1
	// raiseShare is how much service times may grow at a higher limit that is accepted,
	// as a share of the growth that cancels the gain.
	raiseShare = 0.75
	// lowerDeviations and keepDeviations are the standard errors that the growth of
	// service times must exceed before the limit is lowered or kept low.
	lowerDeviations = 3
	keepDeviations  = 2
)

// verdict is the result of a trial.
type verdict int

const (
	undecided verdict = iota
	// keepLow means that the lower limit serves as much, with shorter service times.
	keepLow
	// keepHigh means that the higher limit serves more, or that nothing was found.
	keepHigh
	// abandoned means that there was too little load to compare the limits.
	abandoned
)

// phase holds the sums over the measured time at one limit.
type phase struct {
	elapsed, full time.Duration
	// area is in request nanoseconds.
	area   float64
	served int
}

// isFull reports whether the limit was reached most of the time.
func (p *phase) isFull() bool { return float64(p.full) >= minFullShare*float64(p.elapsed) }

func (p *phase) add(other phase) {
	p.elapsed += other.elapsed
	p.full += other.full
	p.area += other.area
	p.served += other.served
}

// pair holds one phase at each limit.
type pair struct{ low, high phase }

func (p *pair) add(other pair) {
	p.low.add(other.low)
	p.high.add(other.high)
}

// trial alternates between two limits.
type trial struct {
	low, high int
	// retest is set if the lower limit was in force before.
	retest      bool
	serviceTime time.Duration
	// spread is the standard deviation of single service times, as a share of the mean.
	spread float64

	atHigh      bool
	measureFrom id.Instant
	// checkAt is when the phase ends next if enough requests were served.
	checkAt   id.Instant
	abandonAt id.Instant
	current   pair
	// pairs holds the pairs that ended under load; unloaded counts the others.
	pairs    []pair
	unloaded int
}

func newTrial(low, high int, retest bool, serviceTime time.Duration, spread float64, at id.Instant) *trial {
	t := &trial{low: low, high: high, retest: retest, serviceTime: serviceTime, spread: min(maxSpread, max(minSpread, spread)), atHigh: retest}
	t.begin(at)
	return t
}

// value returns the limit of the current phase.
func (t *trial) value() int {
	if t.atHigh {
		return t.high
	}
	return t.low
}

// begin starts a phase.
func (t *trial) begin(at id.Instant) {
	t.measureAfter(at)
	t.abandonAt = at.Add(max(minMaxPhase, maxPhase*t.serviceTime))
}

// measureAfter measures the phase anew once it has settled.
func (t *trial) measureAfter(at id.Instant) {
	*t.measured() = phase{}
	t.measureFrom = at.Add(t.settleTime())
	t.checkAt = t.measureFrom.Add(t.serviceTime)
}

func (t *trial) settleTime() time.Duration {
	return time.Duration(settleShare * float64(t.serviceTime))
}

// measured returns the sums of the current phase.
func (t *trial) measured() *phase {
	if t.atHigh {
		return &t.current.high
	}
	return &t.current.low
}

// advance accounts for the time in which the number of running requests was constant,
// and returns a verdict once there is one.
func (t *trial) advance(from, to id.Instant, running int) verdict {
	switch {
	case !to.Before(t.abandonAt):
		return abandoned
	case running > t.value():
		// Requests above the lower limit are still ending.
		t.measureAfter(to)
		return undecided
	}
	for {
		t.measure(max(from, t.measureFrom), min(to, t.checkAt), running)
		if to.Before(t.checkAt) {
			return undecided
		}
		if float64(t.measured().served) >= max(minQuota, quotaShare*float64(t.high)) {
			return t.endPhase(to)
		}
		from = t.checkAt
		t.checkAt = from.Add(max(time.Millisecond, t.serviceTime))
	}
}

func (t *trial) measure(from, to id.Instant, running int) {
	elapsed := to.Sub(from)
	if elapsed <= 0 {
		return
	}
	measured := t.measured()
	measured.elapsed += elapsed
	measured.area += float64(running) * float64(elapsed)
	if running >= t.value() {
		measured.full += elapsed
	}
}

// served counts a request that was served.
func (t *trial) served(at id.Instant) {
	if !at.Before(t.measureFrom) {
		t.measured().served++
	}
}

func (t *trial) endPhase(at id.Instant) verdict {
	pairEnds := t.atHigh != t.retest
	ended := t.current
	if pairEnds {
		t.current = pair{}
	}
	t.atHigh = !t.atHigh
	t.begin(at)
	if !pairEnds {
		return undecided
	}
	if !t.loaded(&ended) {
		if t.unloaded++; t.unloaded >= maxUnloadedPairs {
			return abandoned
		}
		return undecided
	}
	t.pairs = append(t.pairs, ended)
	return t.judge()
}

// loaded reports whether the lower limit was reached, or the higher one if that was in
// force before, and whether more requests ran at the higher one. Otherwise the arrivals
// determine the throughput, not the limits.
func (t *trial) loaded(p *pair) bool {
	return (p.low.isFull() || !t.retest && p.high.isFull()) && p.compare(t.spread).concurrency >= math.Log(minLevelRatio)
}

// judge returns the verdict on the pairs so far.
func (t *trial) judge() verdict {
	compared := t.total().compare(t.spread)
	switch {
	case !t.retest && len(t.pairs) >= minDownPairs && compared.growth < compared.concurrency/2:
		return keepHigh
	case t.retest && len(t.pairs) >= minUpPairs && compared.growth+compared.error < raiseShare*compared.concurrency:
		return keepHigh
	case t.retest && len(t.pairs) >= minUpPairs && compared.servesAsMuch(keepDeviations):
		return keepLow
	case !t.retest && len(t.pairs) >= minLowerPairs && t.withoutBest().servesAsMuch(lowerDeviations) && t.consistent():
		return keepLow
	case len(t.pairs) >= maxPairs:
		return keepHigh
	}
	return undecided
}

// consistent reports whether service times are longer at the higher limit in all pairs,
// or in all but one of four or more.
func (t *trial) consistent() bool {
	grew := 0
	for i := range t.pairs {
		if c := t.pairs[i].compare(t.spread); c.growth > c.concurrency/2 {
			grew++
		}
	}
	return grew >= max(minLowerPairs, len(t.pairs)-1)
}

func (t *trial) total() *pair {
	var total pair
	for _, p := range t.pairs {
		total.add(p)
	}
	return &total
}

// withoutBest compares the sums of all pairs but the one that favours the lower limit
// most.
func (t *trial) withoutBest() comparison {
	best, most := 0, math.Inf(-1)
	for i := range t.pairs {
		if throughput := t.pairs[i].compare(t.spread).throughput; throughput > most {
			best, most = i, throughput
		}
	}
	var rest pair
	for i, p := range t.pairs {
		if i != best {
			rest.add(p)
		}
	}
	return rest.compare(t.spread)
}

// comparison holds logarithms of ratios between two limits.
type comparison struct {
	// throughput is that of the lower limit over that of the higher one.
	throughput float64
	// concurrency and growth are the concurrency and the service time at the higher
	// limit over those at the lower one.
	concurrency, growth float64
	// error is the standard error of throughput and growth.
	error float64
}

// compare compares the two limits. The service time is the time spent in all requests
// per request served, which counts requests that have not ended, too. The parameter is
// the spread of single service times.
func (p *pair) compare(single float64) comparison {
	// Half a request is added so that a phase without any can be compared.
	low, high := float64(p.low.served)+0.5, float64(p.high.served)+0.5
	lowTime, highTime := math.Max(1, float64(p.low.elapsed)), math.Max(1, float64(p.high.elapsed))
	c := comparison{
		throughput:  math.Log(low / lowTime * highTime / high),
		concurrency: math.Log(math.Max(1, p.high.area) / highTime * lowTime / math.Max(1, p.low.area)),
		error:       single * deviation(1/low, 1/high),
	}
	c.growth = c.concurrency + c.throughput
	return c
}

// servesAsMuch reports whether the lower limit serves as much and service times are
// longer at the higher one.
func (c comparison) servesAsMuch(deviations float64) bool {
	return c.throughput >= -throughputTolerance && c.growth >= max(longerMargin, deviations*c.error)
}
