package concurrency

import (
	"math"
	"time"
)

const (
	// highShare and lowShare bound the two levels of concurrency that are compared, as
	// shares of the limit.
	highShare = 0.85
	lowShare  = 0.65
	// minGrowthSamples is how many samples each level needs. A server that collapses
	// under its first requests yields no more than a few at low concurrency.
	minGrowthSamples = 4
	// minSpreadSamples is how many samples tell how much service times vary, and
	// fewSamplesSpread the assumption while there are fewer.
	minSpreadSamples = 12
	fewSamplesSpread = 0.8
	// minGrowthRatio is how much longer requests must take at the high level.
	minGrowthRatio = 1.25
	// steepGrowthRatio is the ratio from which half of the limit is tried at once. Above
	// the ratio of the two levels of concurrency the throughput falls.
	steepGrowthRatio = 2.2
	// growthDeviations is the number of standard errors between the means of the two
	// levels. Single service times vary by up to 0.8 of the mean.
	growthDeviations = 3
	// levelWeight is the weight of one sample in the mean of its level. Samples age by
	// number, not by time: a server under constant load gives none at the low level.
	levelWeight = 1.0 / 32
	// spreadMargin allows for the requests whose service times are cut off at
	// maxSampleFactor, and for the small number of samples.
	spreadMargin = 1.2
)

// growth compares recent service times at high and at low concurrency. It is only a
// sign: a slowdown that does not depend on the load raises both the service times and
// the concurrency. A trial decides.
type growth struct{ high, low level }

// level holds the moving mean and variance of the service times at one level.
type level struct {
	count          int
	mean, variance float64
}

// record adds a service time at the given concurrency, as a share of the limit.
func (g *growth) record(took time.Duration, share float64) {
	switch {
	case share >= highShare:
		g.high.record(took.Seconds())
	case share <= lowShare:
		g.low.record(took.Seconds())
	}
}

func (l *level) record(seconds float64) {
	l.count++
	weight := max(levelWeight, 1/float64(l.count))
	off := seconds - l.mean
	l.mean += weight * off
	l.variance = (1 - weight) * (l.variance + weight*off*off)
}

// error returns the variance of the mean.
func (l *level) error() float64 {
	variance := l.variance
	if l.count < minSpreadSamples {
		variance = max(variance, fewSamplesSpread*fewSamplesSpread*l.mean*l.mean)
	}
	return variance / min(float64(l.count), 2/levelWeight)
}

// significant reports whether requests take clearly longer at high concurrency.
func (g *growth) significant() bool {
	if g.high.count < minGrowthSamples || g.low.count < minGrowthSamples || g.high.mean < minGrowthRatio*g.low.mean {
		return false
	}
	return g.high.mean-g.low.mean > growthDeviations*deviation(g.high.error(), g.low.error())
}

// steep reports whether requests take so much longer at high concurrency that the
// throughput is likely to be lower there.
func (g *growth) steep() bool {
	return g.significant() && g.high.mean > steepGrowthRatio*g.low.mean
}

// spread returns the standard deviation of single service times at the same
// concurrency, as a share of their mean, or false if there are too few samples.
func (g *growth) spread() (float64, bool) {
	spread, found := 0.0, false
	for _, l := range []*level{&g.high, &g.low} {
		if l.count >= minSpreadSamples && l.mean > 0 {
			spread, found = max(spread, math.Sqrt(l.variance)/l.mean), true
		}
	}
	return spreadMargin * spread, found
}
