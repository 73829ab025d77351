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
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"marjoramsaddle/core/link"
)

const (
	// Long is the size in bytes above which an answer is long. Lookups and orders
	// of both users have up to 30 KB, downloads 90 KB on average.
	Long = 32 << 10
	// chunk is what is sent of a long answer at a time. On a link of 6 Mbit/s it
	// takes 5 ms, which is what other messages may have to wait.
	chunk = 4 << 10
	// transfers is the number of long answers that are sent at a time. A second
	// one uses the link while the receiver of the first is slow.
	transfers = 2
)

// Lane is safe for concurrent use.
type Lane struct {
	account *link.Link
	limiter *rate.Limiter
	turns   *semaphore.Weighted
}

// New returns a lane that sends at the given rate at most, and keeps the account
// of what it still has to send. A rate of zero is unlimited.
func New(account *link.Link, limit link.Rate) *Lane {
	l := &Lane{account: account, limiter: rate.NewLimiter(rate.Inf, Long), turns: semaphore.NewWeighted(transfers)}
	if limit > 0 {
		l.limiter.SetLimit(rate.Limit(limit))
	}
	return l
}

// Account returns the account of the long answers.
func (l *Lane) Account() *link.Link { return l.account }

// Write writes an answer: a long one in its turn, a short one at once. What a
// short one takes of the link is taken off what long ones may use. The booking
// may be nil.
func (l *Lane) Write(ctx context.Context, out io.Writer, body []byte, booking *link.Booking) error {
	if len(body) <= Long {
		l.limiter.ReserveN(time.Now(), len(body))
		_, err := out.Write(body)
		return err
	}
	booking.Size(len(body))
	if err := l.turns.Acquire(ctx, 1); err != nil {
		return err
	}
	defer l.turns.Release(1)
	for len(body) > 0 {
		part := body[:min(chunk, len(body))]
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
