// Package link keeps account of the long answers that a host still has to send
// over its network link. On links of a few Mbit/s a handful of downloads takes
// as long as the work behind them, and everything that is sent later waits
// behind them in the link.
//
// A long answer is booked before its request runs, with the mean size of those
// before it, and gives its bytes back as they are sent. The bytes booked tell
// when a further answer could leave, which decides whether its request is taken
// and, at other hosts, where it goes.
//
// Usage:
//
//	l := link.New(750_000)
//	booking, ok := l.Book(serviceTime, longestWait)
//	if !ok {
//		return refusal.New(refusal.QueueFull, refusal.NotRun)
//	}
//	defer booking.Close()
//	booking.Size(len(body))
//	booking.Sent(n) // for each part
package link

import (
	"math"
	"sync"
	"time"
)

const (
	// sizeWeight is the weight of one answer in the mean size.
	sizeWeight = 1.0 / 16
	// assumedSize is the mean size until answers have been seen, in bytes. It only
	// has to be of the order of a download.
	assumedSize = 100e3
)

// Rate is a number of bytes per second. Zero is unknown and counts as unlimited.
type Rate float64

// Link is safe for concurrent use.
type Link struct {
	mu     sync.Mutex
	rate   Rate
	booked float64
	mean   float64
}

// New returns the account of a link that sends long answers at the given rate.
func New(rate Rate) *Link { return &Link{rate: rate, mean: assumedSize} }

// Booking is the part of the link that one answer still needs.
type Booking struct {
	link *Link
	left float64
}

// Book books an answer of the mean size whose request takes the given service
// time. It reports false when the answer would then wait for the link for longer
// than the longest wait.
func (l *Link) Book(service, longest time.Duration) (*Booking, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.span(l.booked)-service > longest {
		return nil, false
	}
	l.booked += l.mean
	return &Booking{link: l, left: l.mean}, true
}

// Wait returns the time until the answers that are booked have been sent.
func (l *Link) Wait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.span(l.booked)
}

// TransferTime returns the time that an answer of the mean size takes.
func (l *Link) TransferTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.span(l.mean)
}

func (l *Link) span(size float64) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(size / float64(l.rate) * float64(time.Second))
}

// SetSize sets the size of the answer, once it is known. A nil booking books
// nothing.
func (b *Booking) SetSize(size int) {
	if b == nil {
		return
	}
	b.link.mu.Lock()
	defer b.link.mu.Unlock()
	b.link.mean += sizeWeight * (float64(size) - b.link.mean)
	b.link.booked += float64(size) - b.left
	b.left = float64(size)
}

// Sent gives back a part of the booking.
func (b *Booking) Sent(size int) {
	if b != nil {
		b.giveBack(float64(size))
	}
}

// Close gives back what is left of the booking.
func (b *Booking) Close() {
	if b != nil {
		b.giveBack(math.Inf(1))
	}
}

func (b *Booking) giveBack(size float64) {
	b.link.mu.Lock()
	defer b.link.mu.Unlock()
	size = min(size, b.left)
	b.left -= size
	b.link.booked = max(0, b.link.booked-size)
}
