package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marjoramsaddle/platform/platformtest"
)

const (
	// debtLinkMbps is the rate of the hosts' links: the slowest of the deployment.
	debtLinkMbps = 6
	// One client sends floodRate requests a second, on floodConns connections, for
	// floodTime.
	floodRate  = 5_000
	floodConns = 4
	floodTime  = 20 * time.Second
	// debtCalm is the time between the end of the flood and the first download.
	debtCalm = 9 * time.Second
	// pulls is the number of downloads, one every pullPause, of pullBytes each.
	pulls     = 10
	pullPause = time.Second
	pullBytes = 90_000
	// pullTimeout is the timeout of their route, after which the rule allows half a second.
	pullTimeout  = 2 * time.Second
	pullDeadline = 4 * time.Second
	timeoutSlack = 500 * time.Millisecond
)

// playDebt has one client send small requests for a route that does not exist, which use
// two thirds of the host's link. Some time after it has gone, an ordinary client asks for
// downloads, one at a time.
func playDebt(f *fleet, trouble bool) (int, error) {
	large := strings.Repeat("d", pullBytes)
	handle := func(x *exchange) bool {
		if strings.HasPrefix(x.request.URL.Path, "/pull/") {
			time.Sleep(130 * time.Millisecond)
			return x.respond(large)
		}
		return plain(x)
	}
	for _, service := range []string{"counter", "depot"} {
		if _, err := f.addHost(hostSpec{domain: "reduit", service: service, slots: 18, handler: handle, linkMbps: debtLinkMbps, memoryMB: 184}); err != nil {
			return 0, err
		}
	}
	if err := f.list(); err != nil {
		return 0, err
	}
	f.store.Put(platformtest.ConfigurationKey, platformtest.Configuration("r1", []string{"counter", "depot"},
		platformtest.Route("pull", "/pull/", "download", "depot", pullTimeout, 2),
		platformtest.Route("shop", "/shop/", "safe", "counter", time.Second, 1)))
	if err := f.start(); err != nil {
		return 0, err
	}
	client := f.hosts[0]
	if err := f.warmUp(client, "/shop/", "/pull/"); err != nil {
		return 0, err
	}
	if trouble {
		if err := f.flood(client); err != nil {
			return 0, err
		}
	}
	time.Sleep(debtCalm)
	var asking sync.WaitGroup
	var late atomic.Int64
	for n := range pulls {
		asking.Go(func() {
			if !f.pull(client, fmt.Sprint("pull-", n)) {
				late.Add(1)
			}
		})
		time.Sleep(pullPause)
	}
	asking.Wait()
	f.note("%d of %d downloads had no final answer %v after the timeout of their route", late.Load(), pulls, timeoutSlack)
	// The rule is broken by eight or more, and more than a half.
	if late.Load() < 8 {
		return 0, nil
	}
	return int(late.Load()), nil
}

// pull asks for a download and reports whether the final answer came in time.
func (f *fleet) pull(h *host, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pullDeadline)
	defer cancel()
	sent := time.Now()
	reply, err := platformtest.Call(ctx, h.address(portCaller), http.MethodGet, "/pull/"+id, id, pullDeadline, "")
	took := time.Since(sent)
	ranAt, ran := f.hosts[1].backend.ranAt(id)
	where := "reached no target"
	if ran {
		where = fmt.Sprintf("a target began to run it after %.3f s", ranAt.Sub(sent).Seconds())
	}
	f.note("client: download %s: status %d, %d bytes, error %v after %.3f s; %s", id, reply.Status, len(reply.Body), err, took.Seconds(), where)
	return err == nil && took <= pullTimeout+timeoutSlack
}

// flood plays the client that sends too much.
func (f *fleet) flood(h *host) error {
	ctx, cancel := context.WithTimeout(context.Background(), floodTime)
	defer cancel()
	var answers, received, sent atomic.Int64
	const tick = 10 * time.Millisecond
	request := "GET /none/ HTTP/1.1\r\nHost: shop.example\r\n\r\n"
	batch := strings.Repeat(request, int(floodRate*tick/time.Second)/floodConns)
	var ended sync.WaitGroup
	processorBefore := h.processorTime()
	for range floodConns {
		conn, err := net.Dial("tcp4", h.address(portCaller))
		if err != nil {
			return err
		}
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		ended.Go(func() {
			ticker := time.NewTicker(tick)
			defer ticker.Stop()
			for ctx.Err() == nil {
				n, err := io.WriteString(conn, batch)
				sent.Add(int64(n))
				if err != nil {
					return
				}
				<-ticker.C
			}
		})
		ended.Go(func() {
			reader := bufio.NewReader(&countingReader{conn, &received})
			for {
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					return
				}
				_ = response.Body.Close()
				answers.Add(1)
			}
		})
	}
	ended.Wait()
	seconds := floodTime.Seconds()
	f.note("flood: %d answers in %v; %.2f Mbit/s sent and %.2f Mbit/s received, on a link of %d Mbit/s; the daemon used %.2f cores",
		answers.Load(), floodTime, float64(sent.Load())*8/1e6/seconds, float64(received.Load())*8/1e6/seconds, debtLinkMbps,
		(h.processorTime()-processorBefore).Seconds()/seconds)
	return nil
}

// processorTime returns the processor time that the daemon has used.
func (h *host) processorTime() time.Duration {
	h.mu.Lock()
	pid := h.daemon.Process.Pid
	h.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The fields after the name of the program; a tick is a hundredth of a second.
	_, rest, _ := strings.Cut(string(data), ") ")
	var user, system int64
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	_, _ = fmt.Sscan(fields[11], &user)
	_, _ = fmt.Sscan(fields[12], &system)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// countingReader counts the bytes that it reads.
type countingReader struct {
	in    io.Reader
	count *atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	r.count.Add(int64(n))
	return n, err
}
