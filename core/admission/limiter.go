package admission

import (
	"math"
	"time"

	"marjoramsaddle/core/announcement"
	"marjoramsaddle/core/id"
)

const (
	// burstTime is the time whose requests may be granted at once after an idle period.
	// It absorbs uneven arrivals and is short compared with the seconds over which a
	// limit is meant.
	burstTime = 100 * time.Millisecond
	// minRate applies to lower limits, in requests per second. A backend server that
	// announces a limit of zero still gets a request now and then, because only its
	// response can lift the limit.
	minRate = announcement.RequestRate(0.5)
	// maxTokenWait bounds the calculated wait for a token against overflow.
	maxTokenWait = time.Hour
)

// limiter is a token bucket that bounds the rate of granted tickets. The zero value
// sets no bound.
type limiter struct {
	// rate is in tickets per second; zero means that there is no limit.
	rate     announcement.RequestRate
	tokens   float64
	filledAt id.Instant
}

// set changes the limit. A new bucket starts empty, so that a daemon that restarts
// adds no burst to the requests of its predecessor.
func (l *limiter) set(limit announcement.Limit, now id.Instant) {
	l.fill(now)
	if !limit.Announced {
		*l = limiter{}
		return
	}
	if l.rate == 0 {
		l.filledAt = now
	}
	l.rate = max(minRate, limit.Rate)
	l.tokens = min(l.tokens, l.burst())
}

func (l *limiter) burst() float64 { return max(1, float64(l.rate)*burstTime.Seconds()) }

// fill adds the tokens earned until now.
func (l *limiter) fill(now id.Instant) {
	if l.rate == 0 || !l.filledAt.Before(now) {
		return
	}
	l.tokens = min(l.burst(), l.tokens+float64(l.rate)*now.Sub(l.filledAt).Seconds())
	l.filledAt = now
}

// allows reports whether a ticket may be granted now.
func (l *limiter) allows() bool { return l.rate == 0 || l.tokens >= 1 }

// take takes the token of a granted ticket, and giveBack returns it if the ticket was
// not used.
func (l *limiter) take() {
	if l.rate > 0 {
		l.tokens--
	}
}

func (l *limiter) giveBack() {
	if l.rate > 0 {
		l.tokens = min(l.burst(), l.tokens+1)
	}
}

// wait returns how long it takes until the given number of tokens are there.
func (l *limiter) wait(tokens int) time.Duration {
	missing := float64(tokens) - l.tokens
	if l.rate == 0 || missing <= 0 {
		return 0
	}
	seconds := missing / float64(l.rate)
	if seconds > maxTokenWait.Seconds() {
		return maxTokenWait
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
