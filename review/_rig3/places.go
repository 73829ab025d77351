package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["places"] = playPlaces }

const (
	// slowClients send bodies of slowBody bytes, slowPart in each slowPause: 10 KB a second.
	slowClients = 1500
	slowBody    = 14_000
	slowPart    = 2_000
	slowPause   = 200 * time.Millisecond
	// ordinaryClients each connect anew for a small request, once a second.
	ordinaryClients = 8
	ordinaryTime    = 12 * time.Second
	ordinaryTimeout = 2 * time.Second
)

// playPlaces plays many clients that send slowly, and ordinary ones beside them.
func playPlaces(record *os.File, trouble bool) verdict {
	f := newFleet(record, []spec{{"counter", "reduit"}, {"counter", "ebene"}})
	defer f.close(os.Getenv("KEEP_LOGS") != "")
	f.store.put("op/config", configuration(7, "counter", "counter"))
	f.startAll()
	m := f.machines[0]
	for range 5 {
		f.call(context.Background(), m, http.MethodGet, "/move/", ordinaryTimeout)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var slow sync.WaitGroup
	var open atomic.Int64
	if trouble {
		f.note("%d clients of %s send bodies of %d bytes at %.0f bytes a second each", slowClients, m.name, slowBody, slowPart/slowPause.Seconds())
		for i := range slowClients {
			slow.Go(func() { m.sendSlowly(ctx, i, &open) })
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	f.note("ordinary clients begin; %d connections of slow clients are open", open.Load())
	began := time.Now()
	first := len(f.sents)
	var ordinary sync.WaitGroup
	readyChecks, readyAnswers := 0, 0
	for time.Since(began) < ordinaryTime {
		for range ordinaryClients {
			ordinary.Go(func() { f.call(context.Background(), m, http.MethodGet, "/move/", ordinaryTimeout) })
		}
		readyChecks++
		if m.ready() {
			readyAnswers++
		}
		time.Sleep(time.Second)
	}
	ordinary.Wait()
	f.note("%d connections of slow clients are open", open.Load())
	cancel()
	slow.Wait()
	f.writeRecord()
	answered, tried := 0, len(f.sents)-first
	// longest is the longest time in which no new connection was taken.
	longest, last := time.Duration(0), began
	for _, s := range f.sents[first:] {
		if s.err == nil {
			answered++
			longest, last = max(longest, s.at.Sub(last)), s.ended
		}
	}
	longest = max(longest, began.Add(ordinaryTime).Sub(last))
	summary := fmt.Sprintf("RECOVER: of %d requests of %d ordinary clients, each on a new connection, %d were answered; for %.1f s none was, and the machine said %d of %d times that it is ready",
		tried, ordinaryClients, answered, longest.Seconds(), readyAnswers, readyChecks)
	return verdict{broken: longest > stableWindow && readyAnswers == readyChecks, summary: summary}
}

// sendSlowly sends requests with slow bodies on one connection, and reads the answers.
func (m *machine) sendSlowly(ctx context.Context, number int, open *atomic.Int64) {
	conn, err := m.dialer().DialContext(ctx, "tcp", m.address(0))
	if err != nil {
		return
	}
	open.Add(1)
	defer open.Add(-1)
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}()
	part := strings.Repeat("x", slowPart)
	head := func(n int) string {
		return fmt.Sprintf("POST /none/ HTTP/1.1\r\nHost: %s\r\n%s: slow-%d-%d\r\nX-Marjoramsaddle-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n",
			hostName, headerRequestID, number, n, slowBody)
	}
	next := head(0)
	for n := 1; ; n++ {
		for i := range slowBody / slowPart {
			text := next + part
			if next = ""; i == slowBody/slowPart-1 {
				// The next head follows the body at once.
				text += head(n)
			}
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
			select {
			case <-ended:
				return
			case <-time.After(slowPause):
			}
		}
	}
}
