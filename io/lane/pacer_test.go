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

// Guards against downloads filling a slow link, so that calls wait behind them for
// seconds: large bodies are sent at the pacer's rate, complete, and their bookings
// are released.
func TestLargeBodiesArePaced(t *testing.T) {
	is := is.New(t)
	const limit, size, downloads = 400_000, 40_000, 4
	hostLink := link.New(limit)
	p := New(hostLink, limit)
	var sent sync.WaitGroup
	began := time.Now()
	for range downloads {
		booking, ok := hostLink.Book(0, time.Hour)
		is.True(ok)
		booking.SetSize(size)
		sent.Go(func() {
			var out strings.Builder
			is.NoErr(p.Write(context.Background(), &out, make([]byte, size), booking))
			is.Equal(out.Len(), size)
		})
	}
	sent.Wait()
	is.True(time.Since(began) >= (downloads*size-LargeBody)*time.Second/limit)
	is.Equal(hostLink.Wait(), time.Duration(0))
}

// Guards against a download that occupies the pacer after its client has
// disconnected.
func TestWriteEndsWithContext(t *testing.T) {
	is := is.New(t)
	hostLink := link.New(1)
	p := New(hostLink, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	booking, _ := hostLink.Book(0, time.Hour)
	is.True(p.Write(ctx, io.Discard, make([]byte, 2*LargeBody), booking) != nil)
	booking.Close()
	is.Equal(hostLink.Wait(), time.Duration(0))
}

// Guards against small bodies waiting behind downloads, and against both together
// exceeding the rate of the link.
func TestSmallBodiesDoNotWait(t *testing.T) {
	is := is.New(t)
	const limit = 1_000_000
	p := New(link.New(limit), limit)
	ctx, cancel := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	for range 2 * maxTransfers {
		sending.Go(func() { _ = p.Write(ctx, io.Discard, make([]byte, 10*limit), nil) })
	}
	began := time.Now()
	is.NoErr(p.Write(context.Background(), io.Discard, make([]byte, LargeBody), nil))
	is.True(time.Since(began) < time.Second)
	cancel()
	sending.Wait()
	idle := New(link.New(limit), limit)
	is.NoErr(idle.Write(context.Background(), io.Discard, make([]byte, LargeBody), nil))
	began = time.Now()
	is.NoErr(idle.Write(context.Background(), io.Discard, make([]byte, 2*LargeBody), nil))
	is.True(time.Since(began) >= (2*LargeBody-minChunkBytes)*time.Second/limit)
}

// Guards against clients that read slowly keeping the downloads of others from being
// answered within their timeouts: each of them would hold a slot in turn.
func TestSlowReceiversDoNotDelayOthers(t *testing.T) {
	is := is.New(t)
	const limit, slowReceivers = 1_000_000, 16
	p := New(link.New(limit), limit)
	var stuck sync.WaitGroup
	defer stuck.Wait()
	for range slowReceivers {
		reader, writer := io.Pipe()
		defer func() { _ = reader.Close() }()
		stuck.Go(func() { is.True(p.Write(context.Background(), writer, make([]byte, 2*LargeBody), nil) != nil) })
	}
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	is.NoErr(p.Write(context.Background(), io.Discard, make([]byte, 2*LargeBody), nil))
	is.True(time.Since(began) < 2*time.Second)
}

// Guards against clients that do not read, or hosts that are cut off, blocking all
// other downloads of the host.
func TestStalledReceiversLoseTheirSlot(t *testing.T) {
	is := is.New(t)
	const limit = 1_000_000
	hostLink := link.New(limit)
	p := New(hostLink, limit)
	var stuck sync.WaitGroup
	defer stuck.Wait()
	for range maxTransfers {
		reader, writer := io.Pipe()
		defer func() { _ = reader.Close() }()
		booking, _ := hostLink.Book(0, time.Hour)
		stuck.Go(func() { is.True(p.Write(context.Background(), writer, make([]byte, 2*LargeBody), booking) != nil) })
	}
	// The stuck writers must hold all slots before the write under test asks for one.
	for deadline := time.Now().Add(2 * time.Second); p.slots.TryAcquire(1); {
		p.slots.Release(1)
		if time.Now().After(deadline) {
			t.Fatal("the stuck writers did not take all slots within two seconds")
		}
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	is.NoErr(p.Write(context.Background(), io.Discard, make([]byte, 2*LargeBody), nil))
	is.True(time.Since(began) < slotTimeMargin+2*time.Second)
	is.Equal(hostLink.Wait(), time.Duration(0))
}

// Guards against requests to other hosts that come on top of the rate of large bodies. On
// a link of 10 Mbit/s, orders of 4 KB that are offered to several hosts filled what the
// downloads left, and all calls then waited half a second in the link.
func TestOrdersBesideDownloadsOnSlowLink(t *testing.T) {
	is := is.New(t)
	const limit, orders, orderBytes = 1_000_000, 50, 4_000
	p := New(link.New(limit), limit)
	is.NoErr(p.Write(t.Context(), io.Discard, make([]byte, 2*LargeBody), nil)) // uses up the burst
	began := time.Now()
	for range orders {
		p.Count(orderBytes)
	}
	is.NoErr(p.Write(t.Context(), io.Discard, make([]byte, 2*LargeBody), nil))
	// The second download also has to wait for the bytes of the orders.
	is.True(time.Since(began) >= (orders*orderBytes+LargeBody)*time.Second/limit)
}
