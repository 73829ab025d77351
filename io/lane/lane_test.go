package lane

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/link"
)

// Guards against downloads filling a slow link, so that calls wait behind them
// for seconds: long answers leave at the rate of the lane, whole, and their
// bytes are given back to the account.
func TestLongAnswersLeaveSlowly(t *testing.T) {
	is := is.New(t)
	const limit, size, downloads = 400_000, 40_000, 4
	account := link.New(limit)
	l := New(account, limit)
	var sent sync.WaitGroup
	began := time.Now()
	for range downloads {
		booking, ok := account.Book(0, time.Hour)
		is.True(ok)
		booking.SetSize(size)
		sent.Go(func() {
			var out strings.Builder
			is.NoErr(l.Write(context.Background(), &out, make([]byte, size), booking))
			is.Equal(out.Len(), size)
		})
	}
	sent.Wait()
	is.True(time.Since(began) >= (downloads*size-LargeBody)*time.Second/limit)
	is.Equal(account.Wait(), time.Duration(0))
}

// Guards against a download whose client has left holding the lane.
func TestLaneIsLeftWithTheClient(t *testing.T) {
	is := is.New(t)
	account := link.New(1)
	l := New(account, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	booking, _ := account.Book(0, time.Hour)
	is.True(l.Write(ctx, io.Discard, make([]byte, 2*LargeBody), booking) != nil)
	booking.Close()
	is.Equal(account.Wait(), time.Duration(0))
}

// Guards against a lookup that waits behind downloads, and against lookups and
// downloads together asking for more than the link carries.
func TestShortAnswersDoNotWait(t *testing.T) {
	is := is.New(t)
	const limit = 1_000_000
	l := New(link.New(limit), limit)
	ctx, cancel := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	for range 2 * transfers {
		sending.Go(func() { _ = l.Write(ctx, io.Discard, make([]byte, 10*limit), nil) })
	}
	began := time.Now()
	is.NoErr(l.Write(context.Background(), io.Discard, make([]byte, LargeBody), nil))
	is.True(time.Since(began) < time.Second)
	cancel()
	sending.Wait()
	idle := New(link.New(limit), limit)
	is.NoErr(idle.Write(context.Background(), io.Discard, make([]byte, LargeBody), nil))
	began = time.Now()
	is.NoErr(idle.Write(context.Background(), io.Discard, make([]byte, 2*LargeBody), nil))
	is.True(time.Since(began) >= (2*LargeBody-shortestChunk)*time.Second/limit)
}

// Guards against clients that do not read, or hosts that are cut off, holding up
// all other downloads of the host.
func TestReceiversThatDoNotReadLoseTheirTurn(t *testing.T) {
	is := is.New(t)
	const limit = 1_000_000
	account := link.New(limit)
	l := New(account, limit)
	var stuck sync.WaitGroup
	defer stuck.Wait()
	for range transfers {
		reader, writer := io.Pipe()
		defer func() { _ = reader.Close() }()
		booking, _ := account.Book(0, time.Hour)
		stuck.Go(func() { is.True(l.Write(context.Background(), writer, make([]byte, 2*LargeBody), booking) != nil) })
	}
	time.Sleep(10 * time.Millisecond)
	began := time.Now()
	is.NoErr(l.Write(context.Background(), io.Discard, make([]byte, 2*LargeBody), nil))
	is.True(time.Since(began) < turnMargin+2*time.Second)
	is.Equal(account.Wait(), time.Duration(0))
}
