package reader

import (
	"math/rand/v2"
	"time"

	"marjoramsaddle/core/id"
)

// The range of the delay after a failed read.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// backoff delays reads of one kind. The zero value permits a read at once.
type backoff struct {
	ceiling   time.Duration
	notBefore id.Instant
}

// fail delays the next read by a random time up to a ceiling that doubles with each
// failure. Full jitter spreads the retries of readers that failed together.
func (b *backoff) fail(at id.Instant, random *rand.Rand) {
	b.ceiling = min(max(2*b.ceiling, 2*minBackoff), maxBackoff)
	span := int64(b.ceiling - minBackoff)
	b.notBefore = at.Add(minBackoff + time.Duration(random.Int64N(span+1)))
}

// throttle delays the next read by minBackoff. It bounds the rate of reads that
// return no change.
func (b *backoff) throttle(at id.Instant) {
	b.ceiling = 0
	b.notBefore = at.Add(minBackoff)
}

func (b *backoff) reset() { *b = backoff{} }

func (b *backoff) ready(at id.Instant) bool { return !at.Before(b.notBefore) }
