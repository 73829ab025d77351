package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against more downloads than a link of 6 Mbit/s can send: those that would wait
// too long are rejected before they run.
func TestSlowLinkFillsUp(t *testing.T) {
	is := is.New(t)
	l := New(750_000)
	l.meanSize = 90_000
	const service, longest = 300 * time.Millisecond, 200 * time.Millisecond
	var bookings []*Booking
	for {
		booking, ok := l.Book(service, longest)
		if !ok {
			break
		}
		bookings = append(bookings, booking)
	}
	// While a request runs for 300 ms, two and a half responses are sent; 200 ms of
	// waiting admit fewer than two more.
	is.Equal(len(bookings), 5)
	is.Equal(l.Wait(), 600*time.Millisecond)
	is.Equal(l.TransferTime(), 120*time.Millisecond)
	bookings[0].SetSize(150_000)
	bookings[0].Sent(100_000)
	is.Equal(l.booked, 4*90_000.0+50_000)
	bookings[0].Close()
	bookings[0].Close()
	bookings[1].Close()
	is.Equal(l.booked, 3*90_000.0)
	_, ok := l.Book(service, longest)
	is.True(ok)
}

// Guards against rejecting requests when the rate of the link is unknown.
func TestUnknownRate(t *testing.T) {
	is := is.New(t)
	l := New(0)
	for range 1000 {
		_, ok := l.Book(0, 0)
		is.True(ok)
	}
	is.Equal(l.Wait(), time.Duration(0))
}
