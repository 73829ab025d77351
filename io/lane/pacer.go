// Package lane writes response bodies to a host's network link. Large bodies are sent
// a few at a time and below the rate of the link, so that small ones, which are
// written at once, do not wait behind them.
//
// # Usage
//
//	p := lane.New(hostLink, 600_000)
//	err := p.Write(ctx, conn, response.Body, booking)
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
	// LargeBody is the size in bytes above which a body is paced. Lookups and orders
	// of both users have up to 30 KB, downloads 90 KB on average.
	LargeBody = 32 << 10
	// messageOverhead is about the size in bytes of a response's header and of the packet
	// headers around it.
	messageOverhead = 400
	// chunkDuration is the time that one chunk of a large body takes on the link, and
	// so the delay that it may cause to other messages. minChunkBytes is the lower
	// limit of the chunk size.
	chunkDuration = 5 * time.Millisecond
	minChunkBytes = 4 << 10
	// maxTransfers is the number of large bodies sent concurrently. A second one uses
	// the link while the receiver of the first is slow.
	maxTransfers = 2
	// maxWriteTime is how long one write may take before the transfer loses its slot. The
	// link takes a chunk in chunkDuration, so a longer write waits for a receiver that
	// reads slowly, and the link is free for others.
	maxWriteTime = 10 * chunkDuration
	// slotTimeFactor and slotTimeMargin bound how long a transfer may hold its slot in
	// all: the factor times its duration at the full rate, plus the margin.
	slotTimeFactor = 2 * maxTransfers
	slotTimeMargin = 500 * time.Millisecond
)

// Pacer paces large bodies on one network link. It is safe for concurrent use.
type Pacer struct {
	hostLink   *link.Link
	limiter    *rate.Limiter
	slots      *semaphore.Weighted
	chunkBytes int
}

// New returns a pacer that sends at most at the given rate and updates the bookings
// of hostLink as bytes are sent. A rate of zero is unlimited.
func New(hostLink *link.Link, limit link.Rate) *Pacer {
	chunkBytes := max(minChunkBytes, int(float64(limit)*chunkDuration.Seconds()))
	limiterRate := rate.Inf
	if limit > 0 {
		limiterRate = rate.Limit(limit)
	}
	return &Pacer{
		hostLink: hostLink, limiter: rate.NewLimiter(limiterRate, max(LargeBody, chunkBytes)),
		slots: semaphore.NewWeighted(maxTransfers), chunkBytes: chunkBytes,
	}
}

// HostLink returns the link on which the large bodies are booked.
func (p *Pacer) HostLink() *link.Link { return p.hostLink }

// Count makes large bodies leave room for a message with a body of the given size that is
// sent without waiting. On slow links the requests to other daemons take a quarter of the
// link; if they come on top of the paced rate, everything waits in the link.
func (p *Pacer) Count(bodyBytes int) {
	now := time.Now()
	for left := bodyBytes + messageOverhead; left > 0; left -= LargeBody {
		p.limiter.ReserveN(now, min(left, LargeBody))
	}
}

// Write writes a body, at once if it is small, otherwise paced and after acquiring a
// slot. The bytes of small bodies count towards the rate of the large ones. The
// booking may be nil.
func (p *Pacer) Write(ctx context.Context, out io.Writer, body []byte, booking *link.Booking) error {
	if len(body) <= LargeBody {
		p.Count(len(body))
		_, err := out.Write(body)
		return err
	}
	booking.SetSize(len(body))
	if err := p.slots.Acquire(ctx, 1); err != nil {
		return err
	}
	releaseSlot := sync.OnceFunc(func() { p.slots.Release(1) })
	defer releaseSlot()
	// What is sent without a slot still counts towards the rate of the link.
	giveUpSlot := sync.OnceFunc(func() {
		releaseSlot()
		booking.Close()
	})
	slotTimer := time.AfterFunc(p.maxSlotTime(len(body)), giveUpSlot)
	defer slotTimer.Stop()
	writeTimer := time.AfterFunc(maxWriteTime, giveUpSlot)
	writeTimer.Stop()
	defer writeTimer.Stop()
	for len(body) > 0 {
		part := body[:min(p.chunkBytes, len(body))]
		if err := p.limiter.WaitN(ctx, len(part)); err != nil {
			return err
		}
		writeTimer.Reset(maxWriteTime)
		_, err := out.Write(part)
		writeTimer.Stop()
		if err != nil {
			return err
		}
		booking.Sent(len(part))
		body = body[len(part):]
	}
	return nil
}

// maxSlotTime returns how long a body of the given size may hold its slot.
func (p *Pacer) maxSlotTime(size int) time.Duration {
	if p.limiter.Limit() == rate.Inf {
		return slotTimeMargin
	}
	return slotTimeMargin + time.Duration(slotTimeFactor*float64(size)/float64(p.limiter.Limit())*float64(time.Second))
}
