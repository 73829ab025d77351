package retry

import (
	"sync"
	"time"

	"marjoramsaddle/core/id"
)

const (
	// burst bounds the tokens saved up while nothing fails, per daemon and service.
	// With 20, 13 daemons with two services retried 4% of the calls of a short overload
	// on top of their 10%. Five cover the calls that fail before a host is ejected.
	burst = 5.0
	// defaultMinimum is the number of retries per second that a service with few calls
	// may use.
	defaultMinimum = 1.0
	percent        = 100.0
)

// Budget limits the retries of calls to one service by a token bucket: each first
// attempt adds its share, each retry takes a token. A retry that the minimum allows
// also takes one, so that the minimum does not add to the share of a busy service.
// It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// share is the number of tokens that a first attempt adds.
	share float64
	// minimum is the number of retries per second that are allowed without tokens.
	minimum float64
	// tokens is at most burst. It becomes negative, down to -burst, when the minimum
	// allows retries.
	tokens float64
	// reserve is the number of retries that the minimum allows now.
	reserve    float64
	lastRefill id.Instant
}

// Option configures a budget.
type Option func(*Budget)

// WithMinimum sets the retries per second that are allowed regardless of the share.
func WithMinimum(perSecond float64) Option { return func(b *Budget) { b.minimum = perSecond } }

// NewBudget returns a full budget that allows retries in percent of the first attempts.
func NewBudget(sharePercent int, options ...Option) *Budget {
	budget := &Budget{share: float64(sharePercent) / percent, minimum: defaultMinimum, tokens: burst}
	for _, option := range options {
		option(budget)
	}
	budget.reserve = min(1, budget.minimum)
	if sharePercent <= 0 {
		budget.tokens, budget.reserve, budget.minimum = 0, 0, 0
	}
	return budget
}

// RecordFirstAttempt records the first attempt of a call.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(burst, b.tokens+b.share)
}

// Take consumes one retry, or returns false if none is left.
func (b *Budget) Take(now id.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	switch {
	case b.tokens >= 1:
		b.tokens--
	case b.reserve >= 1:
		b.reserve--
		b.tokens = max(-burst, b.tokens-1)
	default:
		return false
	}
	return true
}

func (b *Budget) refill(now id.Instant) {
	if b.lastRefill.Before(now) {
		elapsed := now.Sub(b.lastRefill)
		b.reserve = min(max(1, b.minimum), b.reserve+b.minimum*float64(elapsed)/float64(time.Second))
		b.lastRefill = now
	}
}
