package concurrency

import (
	"math"
	"time"

	"marjoramsaddle/core/id"
)

// fixed is a constant limit.
type fixed int

func (fixed) Begin(id.Instant)                    {}
func (fixed) End(id.Instant, id.Instant, Outcome) {}
func (f fixed) Value() int                        { return int(f) }

// ruleState is what the rules from the literature have in common.
type ruleState struct {
	limit, slots float64
	running      int
}

func (s *ruleState) Begin(id.Instant) { s.running++ }

func (s *ruleState) Value() int { return int(max(1, min(s.slots, math.Round(s.limit)))) }

// set bounds the limit.
func (s *ruleState) set(limit float64) { s.limit = max(1, min(s.slots, limit)) }

// aimd adds one slot after a round of requests that took less than twice the lowest
// mean, and takes a tenth off after any other.
type aimd struct {
	ruleState
	mean, fastest float64
	round         int
}

func (r *aimd) End(started, at id.Instant, _ Outcome) {
	full := r.running >= r.Value()
	r.running--
	r.mean, r.fastest = averages(r.mean, r.fastest, at.Sub(started).Seconds())
	if r.round++; r.round < r.Value() {
		return
	}
	r.round = 0
	switch {
	case r.mean > 2*r.fastest:
		r.set(0.9 * r.limit)
	case full:
		r.set(r.limit + 1)
	}
}

// gradient multiplies the limit by the ratio of the long-term to the short-term mean
// service time, with a tolerance of 1.5, and adds the square root of the limit.
type gradient struct {
	ruleState
	short, long float64
}

func (r *gradient) End(started, at id.Instant, _ Outcome) {
	r.running--
	took := at.Sub(started).Seconds()
	if r.long == 0 {
		r.short, r.long = took, took
	}
	r.short += (took - r.short) / 16
	r.long += (took - r.long) / 600
	ratio := max(0.5, min(1, 1.5*r.long/r.short))
	r.set(0.8*r.limit + 0.2*(r.limit*ratio+math.Sqrt(r.limit)))
}

// delayTarget lowers the limit by one per round of requests while the mean service time
// is over 1.5 times its lowest value, and raises it by one otherwise.
type delayTarget struct {
	ruleState
	mean, fastest float64
	round         int
}

func (r *delayTarget) End(started, at id.Instant, _ Outcome) {
	r.running--
	r.mean, r.fastest = averages(r.mean, r.fastest, at.Sub(started).Seconds())
	if r.round++; r.round < r.Value() {
		return
	}
	r.round = 0
	if r.mean > 1.5*r.fastest {
		r.set(r.limit - 1)
	} else {
		r.set(r.limit + 1)
	}
}

// averages returns the moving mean of the service times and its lowest value so far,
// which slowly rises so that it follows changes.
func averages(mean, fastest, took float64) (newMean, newFastest float64) {
	if mean == 0 {
		return took, took
	}
	mean += (took - mean) / 32
	return mean, min(mean, fastest*1.0005)
}

// newRules returns a constructor of each rule that learns.
func newRules(slots int) map[string]func() rule {
	state := ruleState{limit: float64(slots), slots: float64(slots)}
	return map[string]func() rule{
		"AIMD":         func() rule { return &aimd{ruleState: state} },
		"gradient":     func() rule { return &gradient{ruleState: state} },
		"delay target": func() rule { return &delayTarget{ruleState: state} },
		"trials":       func() rule { return New(slots) },
	}
}

const (
	ms = time.Millisecond
	s  = time.Second
)
