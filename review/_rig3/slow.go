package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["slow"] = playSlow }

const (
	// slowReaders each pull slowReadBytes, again and again, and read at slowReadRate bytes a
	// second.
	slowReaders   = 160
	slowReadBytes = 200_000
	slowReadRate  = 150_000
	// segmentBytes is the size of the segments of their connections, that of a network
	// instead of the loopback device, so that the kernel buffers no more than there.
	segmentBytes = 1460
	slowLead     = 5 * time.Second
	slowPulls    = 30
	// catalogueDeadline is the deadline of ordinary clients, that of catalogue-pull on the
	// sheet, and slowDeadline that of the slow ones.
	catalogueDeadline = 1500 * time.Millisecond
	slowDeadline      = 6 * time.Second
)

// playSlow plays clients that read downloads slowly, and ordinary downloads beside them.
func playSlow(record *os.File, trouble bool) verdict {
	f := newFleet(record, []spec{{"counter", "reduit"}, {"counter", "ebene"}, {"counter", "rose-hill"}, {"counter", "reduit"}})
	defer f.close(os.Getenv("KEEP_LOGS") != "")
	f.store.put(wire["configuration"], configuration(7, "counter", "counter"))
	f.startAll()
	m := f.machines[0]
	target := "/catalogue/?bytes=" + fmt.Sprint(pullBytes)
	for range 3 {
		f.call(context.Background(), m, http.MethodGet, target, catalogueDeadline)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var readers sync.WaitGroup
	var whole, other, bytesRead atomic.Int64
	if trouble {
		f.note("%d clients of %s begin to pull %d bytes each, again and again, and to read at %d bytes a second", slowReaders, m.name, slowReadBytes, slowReadRate)
		for i := range slowReaders {
			readers.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					if m.readSlowly(ctx, i, n, &bytesRead) {
						whole.Add(1)
						continue
					}
					other.Add(1)
					time.Sleep(300 * time.Millisecond)
				}
			})
			time.Sleep(5 * time.Millisecond)
		}
	}
	time.Sleep(slowLead)
	began, before := time.Now(), bytesRead.Load()
	f.note("ordinary downloads of %d bytes begin", pullBytes)
	first := len(f.sents)
	var ends sync.WaitGroup
	for range slowPulls {
		ends.Go(func() { f.call(context.Background(), m, http.MethodGet, target, catalogueDeadline) })
		time.Sleep(pullInterval)
	}
	ends.Wait()
	f.note("the slow clients have read %.0f bytes a second meanwhile, of a link of %.0f; in all they got %d whole answers, %d others",
		float64(bytesRead.Load()-before)/time.Since(began).Seconds(), standardLinkMbps*1e6/8, whole.Load(), other.Load())
	cancel()
	readers.Wait()
	f.writeRecord()
	late, unanswered, refused, never := 0, 0, 0, 0
	runs := f.runsOf()
	for _, s := range f.sents[first:] {
		took := s.ended.Sub(s.at)
		if s.status == http.StatusServiceUnavailable {
			refused++
		}
		if s.err != nil && len(runs[s.id]) > 0 {
			never++
		}
		if took > catalogueTimeout {
			late++
		}
		if took > catalogueTimeout+500*time.Millisecond {
			unanswered++
		}
	}
	summary := fmt.Sprintf("CONFIG: of %d downloads of clients that read at once, %d were unanswered at the route's timeout of %v, and %d of these half a second later; %d have run, of which %d were never answered, %d were refused",
		slowPulls, late, catalogueTimeout, unanswered, f.countRuns(first), never, refused)
	return verdict{broken: late > 0 && 2*unanswered > late, summary: summary}
}

// readSlowly pulls once and reads the answer slowly, and reports whether it was whole.
func (m *machine) readSlowly(ctx context.Context, number, n int, bytesRead *atomic.Int64) bool {
	ctx, cancel := context.WithTimeout(ctx, slowDeadline)
	defer cancel()
	dialer := m.dialer()
	dialer.Control = func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
		})
	}
	conn, err := dialer.DialContext(ctx, "tcp", m.address(0))
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_, err = fmt.Fprintf(conn, "GET /catalogue/?bytes=%d HTTP/1.1\r\nHost: %s\r\n%s: reader-%d-%d\r\n%s: %d\r\nConnection: close\r\n\r\n",
		slowReadBytes, hostName, headerRequestID, number, n, wire["deadline"], slowDeadline.Milliseconds())
	total := 0
	part := make([]byte, slowReadRate/20)
	for err == nil {
		var read int
		read, err = io.ReadFull(conn, part)
		total += read
		bytesRead.Add(int64(read))
		if total >= slowReadBytes {
			return true
		}
		time.Sleep(time.Second / 20)
	}
	return false
}
