package main

import (
	"bufio"
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

func init() { cases["flood"] = playFlood }

const (
	// pullDeadline is the deadline that the clients of downloads state, and pullBytes the
	// size of these: the mean of the deployments.
	pullDeadline = 4 * time.Second
	pullBytes    = 90_000
	pulls        = 12
	pullInterval = 400 * time.Millisecond
	// slowLinkMbps is the rate of the slowest links of the grown deployment.
	slowLinkMbps = 6.0
	// floodTime is how long floodClients send small requests, floodWindow at a time.
	floodTime    = 35 * time.Second
	floodClients = 4
	floodWindow  = 8
	// floodRate is the rate of all of them together, in requests a second, and
	// minFloodRate the one below which this machine is too slow for the case.
	floodRate    = 3000
	minFloodRate = 2500
	// floodCalm is the time between the flood and the downloads: 5 s for a link at which
	// packets wait, the stable window, and a second.
	floodCalm = 5*time.Second + stableWindow + time.Second
)

// playFlood plays clients that send many small requests, and downloads in the calm after it.
func playFlood(record *os.File, trouble bool) verdict {
	f := newFleet(record, []spec{{"counter", "reduit"}, {"counter", "ebene"}})
	for _, m := range f.machines {
		m.linkMbps = slowLinkMbps
	}
	defer f.close(os.Getenv("KEEP_LOGS") != "")
	f.store.put(wire["configuration"], configuration(7, "counter", "counter"))
	f.startAll()
	target := "/pull/?bytes=" + fmt.Sprint(pullBytes)
	for range 3 {
		f.call(context.Background(), f.machines[0], http.MethodGet, target, pullDeadline)
	}
	if trouble {
		f.note("%d clients of %s begin to send small requests without a route", floodClients, f.machines[0].name)
		answered, bytesRead := f.flood(f.machines[0])
		if float64(answered) < minFloodRate*floodTime.Seconds() {
			cannotRun(fmt.Errorf("only %d requests were answered in %v", answered, floodTime))
		}
		f.note("they end; in %v %d requests were answered with %d bytes in all: %.0f bytes a second, of a link of %.0f",
			floodTime, answered, bytesRead, float64(bytesRead)/floodTime.Seconds(), slowLinkMbps*1e6/8)
	}
	time.Sleep(floodCalm)
	f.note("calm: single downloads of %d bytes", pullBytes)
	first := len(f.sents)
	var ends sync.WaitGroup
	for range pulls {
		ends.Go(func() { f.call(context.Background(), f.machines[0], http.MethodGet, target, pullDeadline) })
		time.Sleep(pullInterval)
	}
	ends.Wait()
	f.writeRecord()
	late, unanswered := 0, 0
	for _, s := range f.sents[first:] {
		took := s.ended.Sub(s.at)
		if took > pullTimeout {
			late++
		}
		if took > pullTimeout+500*time.Millisecond {
			unanswered++
		}
	}
	summary := fmt.Sprintf("CONFIG: of %d downloads sent in calm, %d were unanswered at the route's timeout of %v, and %d of these half a second later; %d have run",
		pulls, late, pullTimeout, unanswered, f.countRuns(first))
	return verdict{broken: late > 0 && 2*unanswered > late, summary: summary}
}

// countRuns returns how many requests from the given one on have run.
func (f *fleet) countRuns(first int) int {
	runs, count := f.runsOf(), 0
	for _, s := range f.sents[first:] {
		if len(runs[s.id]) > 0 {
			count++
		}
	}
	return count
}

// flood sends small requests on a few connections, some at a time on each, and reads all
// answers. It returns how many came, and their bytes.
func (f *fleet) flood(m *machine) (answered, bytesRead int64) {
	ctx, cancel := context.WithTimeout(context.Background(), floodTime)
	defer cancel()
	var count, size atomic.Int64
	var clients sync.WaitGroup
	for i := range floodClients {
		clients.Go(func() {
			next := time.Now()
			for n := 0; ctx.Err() == nil; {
				conn, err := m.dialer().Dial("tcp", m.address(0))
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
				reader := bufio.NewReader(io.TeeReader(conn, countingWriter{&size}))
				for ctx.Err() == nil {
					var window strings.Builder
					for range floodWindow {
						n++
						fmt.Fprintf(&window, "GET /none/ HTTP/1.1\r\nHost: %s\r\n%s: flood-%d-%d\r\n%s: 1000\r\n\r\n", hostName, headerRequestID, i, n, wire["deadline"])
					}
					if _, err := io.WriteString(conn, window.String()); err != nil {
						break
					}
					var failed error
					for range floodWindow {
						response, err := http.ReadResponse(reader, nil)
						if err != nil {
							failed = err
							break
						}
						_, _ = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
						count.Add(1)
					}
					if failed != nil {
						break
					}
					next = next.Add(floodClients * floodWindow * time.Second / floodRate)
					time.Sleep(time.Until(next))
				}
				stop()
				_ = conn.Close()
			}
		})
	}
	clients.Wait()
	return count.Load(), size.Load()
}

type countingWriter struct{ bytes *atomic.Int64 }

func (w countingWriter) Write(p []byte) (int, error) {
	w.bytes.Add(int64(len(p)))
	return len(p), nil
}
