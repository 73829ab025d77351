package relay

import (
	"context"
	"io"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"marjoramsaddle/core/link"
)

const (
	// laneChunk is what is sent of a long answer at a time. On a link of 6 Mbit/s
	// it takes 5 ms, which is what other messages may have to wait.
	laneChunk = 4 << 10
	// laneTransfers is the number of long answers that are sent at a time. A
	// second one uses the link while the receiver of the first is slow.
	laneTransfers = 2
)

// Lane sends long answers one after the other and more slowly than the link
// allows, so that short messages never wait behind them.
type Lane struct {
	link    *link.Link
	limiter *rate.Limiter
	turns   *semaphore.Weighted
}

// NewLane returns a lane that sends at the given rate at most.
func NewLane(account *link.Link, limit link.Rate) *Lane {
	lane := &Lane{link: account, limiter: rate.NewLimiter(rate.Inf, laneChunk), turns: semaphore.NewWeighted(laneTransfers)}
	if limit > 0 {
		lane.limiter.SetLimit(rate.Limit(limit))
	}
	return lane
}

// write sends a long answer in its turn.
func (l *Lane) write(ctx context.Context, out io.Writer, body []byte, booking *link.Booking) error {
	if err := l.turns.Acquire(ctx, 1); err != nil {
		return err
	}
	defer l.turns.Release(1)
	for len(body) > 0 {
		chunk := body[:min(laneChunk, len(body))]
		if err := l.limiter.WaitN(ctx, len(chunk)); err != nil {
			return err
		}
		if _, err := out.Write(chunk); err != nil {
			return err
		}
		booking.Sent(len(chunk))
		body = body[len(chunk):]
	}
	return nil
}
