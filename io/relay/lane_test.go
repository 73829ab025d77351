package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/http1"
)

// Guards against downloads filling a slow link, so that calls wait behind them
// for seconds: long answers leave at the rate of the lane, whole, and their
// bytes are given back to the account.
func TestLongAnswersLeaveSlowly(t *testing.T) {
	is := is.New(t)
	const limit, size, downloads = 400_000, 40_000, 4
	account := link.New(limit)
	lane := NewLane(account, limit)
	var sent sync.WaitGroup
	began := time.Now()
	for range downloads {
		booking, ok := account.Book(0, time.Hour)
		is.True(ok)
		booking.Size(size)
		sent.Go(func() {
			var out strings.Builder
			is.NoErr(lane.write(context.Background(), &out, make([]byte, size), booking))
			is.Equal(out.Len(), size)
		})
	}
	sent.Wait()
	is.True(time.Since(began) >= (downloads*size-laneChunk)*time.Second/limit)
	is.Equal(account.Wait(), time.Duration(0))
}

// Guards against a download whose client has left holding the lane.
func TestLaneIsLeftWithTheClient(t *testing.T) {
	is := is.New(t)
	account := link.New(1)
	lane := NewLane(account, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	booking, _ := account.Book(0, time.Hour)
	is.True(lane.write(ctx, io.Discard, make([]byte, 3*laneChunk), booking) != nil)
	booking.Close()
	is.Equal(account.Wait(), time.Duration(0))
}

// Guards against the rush of downloads at hosts with slow links: those that
// would wait too long for the link are refused before they run, short requests
// are not, and a download that does not wait needs the link to be free.
func TestDownloadsAreRefusedForTheLink(t *testing.T) {
	is := is.New(t)
	account := link.New(100_000)
	booking, _ := account.Book(0, time.Hour)
	booking.Size(40_000)
	l := &local{answer: &http1.Answer{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, 2*laneChunk)}}
	behind := httptest.NewServer(NewHandler(l, NewLane(account, 0)))
	defer behind.Close()
	pool := http1.NewPool(http1.PoolOptions{DialTimeout: time.Second, IdleLimit: time.Second, MaxBody: 1 << 20})
	defer pool.Clear()
	host, port, _ := strings.Cut(strings.TrimPrefix(behind.URL, "http://"), ":")
	var latest placement.Report
	client := NewClient(pool, port, func(report placement.Report) { latest = report })
	do := func(call Call) *refusal.Error {
		call.Server, call.Left = "i-1", 4*time.Second
		_, refused := client.Do(context.Background(), &backend.Server{ID: "i-1", Address: host + ":1"}, call,
			&http1.Request{Method: http.MethodGet, Target: "/", Host: "shop", Header: http.Header{}})
		return refused
	}
	// 400 ms of sending, 150 ms of them behind the work.
	is.Equal(do(Call{Large: true, NoWait: true, Aim: 2 * time.Second}).Reason, refusal.QueueDeadline)
	is.Equal(do(Call{Large: true, Aim: 500 * time.Millisecond}).Reason, refusal.QueueDeadline)
	is.True(do(Call{NoWait: true, Aim: 500 * time.Millisecond}) == nil)
	is.True(do(Call{Large: true, Aim: 4 * time.Second}) == nil)
	is.Equal(latest.Running, 3)
	booking.Close()
	is.True(do(Call{Large: true, NoWait: true, Aim: 500 * time.Millisecond}) == nil)
}
