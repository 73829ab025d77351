// Package lane writes answers to a host's network link. Long answers go one
// after the other and more slowly than the link allows, so that short ones, which
// are written at once, never wait behind them.
//
// Usage:
//
//	l := lane.New(account, 600_000)
//	err := l.Write(ctx, conn, answer.Body, booking)
package lane

import (
	"context"
	"io"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"marjoramsaddle/core/link"
)

const (
	// LargeBody is the size in bytes above which an answer is long. Lookups and orders
	// of both users have up to 30 KB, downloads 90 KB on average.
	LargeBody = 32 << 10
	// chunkTime is how long the part of a long answer that is sent at a time takes,
	// which is what other messages may have to wait; shortestChunk is its least
	// size in bytes.
	chunkTime     = 5 * time.Millisecond
	shortestChunk = 4 << 10
	// transfers is the number of long answers that are sent at a time. A second
	// one uses the link while the receiver of the first is slow.
	transfers = 2
	// turnFactor and turnMargin bound the time of a turn, from that of the
	// transfer alone. A receiver that does not read must not hold up the others.
	turnFactor = 2 * transfers
	turnMargin = 500 * time.Millisecond
)

// Pacer is safe for concurrent use.
type Pacer struct {
	account *link.Link
	limiter *rate.Limiter
	turns   *semaphore.Weighted
	chunk   int
}

// New returns a lane that sends at the given rate at most, and keeps the account
// of what it still has to send. A rate of zero is unlimited.
func New(account *link.Link, limit link.Rate) *Pacer {
	chunk := max(shortestChunk, int(float64(limit)*chunkTime.Seconds()))
	pace := rate.Inf
	if limit > 0 {
		pace = rate.Limit(limit)
	}
	return &Pacer{
		account: account, limiter: rate.NewLimiter(pace, max(LargeBody, chunk)),
		turns: semaphore.NewWeighted(transfers), chunk: chunk,
	}
}

// HostLink returns the account of the long answers.
func (l *Pacer) HostLink() *link.Link { return l.account }

// Write writes an answer: a long one in its turn, a short one at once. What a
// short one takes of the link is taken off what long ones may use. The booking
// may be nil.
func (l *Pacer) Write(ctx context.Context, out io.Writer, body []byte, booking *link.Booking) error {
	if len(body) <= LargeBody {
		l.limiter.ReserveN(time.Now(), len(body))
		_, err := out.Write(body)
		return err
	}
	booking.SetSize(len(body))
	if err := l.turns.Acquire(ctx, 1); err != nil {
		return err
	}
	leave := sync.OnceFunc(func() { l.turns.Release(1) })
	defer leave()
	expiry := time.AfterFunc(l.longestTurn(len(body)), func() {
		leave()
		booking.Close()
	})
	defer expiry.Stop()
	for len(body) > 0 {
		part := body[:min(l.chunk, len(body))]
		if err := l.limiter.WaitN(ctx, len(part)); err != nil {
			return err
		}
		if _, err := out.Write(part); err != nil {
			return err
		}
		booking.Sent(len(part))
		body = body[len(part):]
	}
	return nil
}

// longestTurn returns how long an answer of the size may keep its turn.
func (l *Pacer) longestTurn(size int) time.Duration {
	if l.limiter.Limit() == rate.Inf {
		return turnMargin
	}
	return turnMargin + time.Duration(turnFactor*float64(size)/float64(l.limiter.Limit())*float64(time.Second))
}
