// Package link accounts for the large responses that a host still has to send over its
// network link. On links of a few Mbit/s a handful of downloads takes as long as
// computing them, and everything sent later is queued behind them.
//
// A large response is booked before its request runs, at the mean size of earlier
// ones, and its bytes are released as they are sent. The booked bytes determine when
// a further response could be sent. This decides whether its request is admitted and,
// on other hosts, where it is routed.
//
// # Usage
//
//	l := link.New(750_000)
//	booking, ok := l.Book(serviceTime, maxWait)
//	if !ok {
//		return refusal.New(refusal.QueueFull, refusal.NotRun)
//	}
//	defer booking.Close()
//	booking.SetSize(len(body))
//	booking.Sent(n) // for each chunk
package link

import (
	"math"
	"sync"
	"time"
)

const (
	// sizeWeight is the weight of one response in the moving average of the sizes.
	sizeWeight = 1.0 / 16
	// initialMeanSize is the mean size in bytes before the first response. It only has
	// to be of the order of a download.
	initialMeanSize = 100e3
)

// Rate is a rate in bytes per second. Zero means unknown and counts as unlimited.
type Rate float64

// Link tracks the bytes booked on one network link. It is safe for concurrent use.
type Link struct {
	mu       sync.Mutex
	rate     Rate
	booked   float64
	meanSize float64
}

// New returns a link without bookings that sends large responses at the given rate.
func New(rate Rate) *Link { return &Link{rate: rate, meanSize: initialMeanSize} }

// Booking is the share of the link's pending bytes that belongs to one response.
type Booking struct {
	link      *Link
	remaining float64
}

// Book books a response of the mean size whose request takes the given service time.
// It returns false if the response would then wait longer than maxWait for the link.
func (l *Link) Book(serviceTime, maxWait time.Duration) (*Booking, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.transferDuration(l.booked)-serviceTime > maxWait {
		return nil, false
	}
	l.booked += l.meanSize
	return &Booking{link: l, remaining: l.meanSize}, true
}

// Wait returns the time until all booked responses have been sent. It does not block.
func (l *Link) Wait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.transferDuration(l.booked)
}

// TransferTime returns the time to send a response of the mean size.
func (l *Link) TransferTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.transferDuration(l.meanSize)
}

func (l *Link) transferDuration(size float64) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(size / float64(l.rate) * float64(time.Second))
}

// SetSize replaces the estimated size by the actual one and updates the mean. It does
// nothing on a nil booking, like the other methods.
func (b *Booking) SetSize(size int) {
	if b == nil {
		return
	}
	b.link.mu.Lock()
	defer b.link.mu.Unlock()
	b.link.meanSize += sizeWeight * (float64(size) - b.link.meanSize)
	b.link.booked += float64(size) - b.remaining
	b.remaining = float64(size)
}

// Sent releases the bytes that have been sent.
func (b *Booking) Sent(size int) {
	if b != nil {
		b.release(float64(size))
	}
}

// Close releases the rest of the booking.
func (b *Booking) Close() {
	if b != nil {
		b.release(math.Inf(1))
	}
}

func (b *Booking) release(size float64) {
	b.link.mu.Lock()
	defer b.link.mu.Unlock()
	size = min(size, b.remaining)
	b.remaining -= size
	b.link.booked = max(0, b.link.booked-size)
}
