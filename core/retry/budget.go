package retry

import (
	"sync"
	"time"

	"marjoramsaddle/core/id"
)

const (
	// burst bounds the repeats saved up while nothing fails. Each daemon has its
	// own for each service: at 20, 13 daemons with two services repeated 4% of
	// the calls of a short overload on top of their 10%. Five cover the calls
	// that fail before a host is ejected.
	burst = 5.0
	// defaultMinimum is the number of repeats per second that a service with
	// few calls may use.
	defaultMinimum = 1.0
	percent        = 100.0
)

// Budget bounds the repeats of the calls to one service. It is a bucket of
// tokens: each first attempt adds its share, each repeat takes one. A repeat
// that the minimum allows is charged as well, so that the minimum does not add
// to the share of a busy service. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	share   float64
	minimum float64
	tokens  float64
	reserve float64
	latest  id.Instant
}

// Option changes a budget at its creation.
type Option func(*Budget)

// WithMinimum sets the repeats per second that are always allowed.
func WithMinimum(perSecond float64) Option { return func(b *Budget) { b.minimum = perSecond } }

// NewBudget returns a full budget of repeats in percent of first attempts.
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

// Take uses one repeat, if there is one.
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
	if b.latest.Before(now) {
		elapsed := now.Sub(b.latest)
		b.reserve = min(max(1, b.minimum), b.reserve+b.minimum*float64(elapsed)/float64(time.Second))
		b.latest = now
	}
}
