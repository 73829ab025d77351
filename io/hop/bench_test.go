package hop_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/hop"
)

// Compares the transports; docs/decisions/hop-transport.md has the results. The CPU
// time includes both ends, which run in this process. Run it with
// -bench Transport -benchtime 2s -count 3, so that the transports alternate.
func BenchmarkTransport(b *testing.B) {
	issuer := newAuthority(b)
	address := serve(b, keysOf(b, issuer, "b"), http.HandlerFunc(serveFile))
	keys := keysOf(b, issuer, "a")
	for _, load := range []struct {
		name        string
		bytes       int
		concurrency int
	}{{"small", 200, 1}, {"small16", 200, 16}, {"10MB", 10 << 20, 4}} {
		for _, transport := range hop.Transports() {
			b.Run(load.name+"/"+transport, func(b *testing.B) {
				client := hop.NewClient(keys, lookupTo(address), transport)
				defer client.CloseIdle()
				fetch(b, client, load.bytes)
				before := cpuTime(b)
				b.ResetTimer()
				latencies := runConcurrently(b, load.concurrency, func() { fetch(b, client, load.bytes) })
				b.StopTimer()
				slices.Sort(latencies)
				b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/call")
				b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-µs")
				b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
			})
		}
	}
}

// Reports the resident memory that both ends of an idle connection use.
func BenchmarkIdleConnection(b *testing.B) {
	issuer := newAuthority(b)
	keys := keysOf(b, issuer, "a")
	address := serve(b, keysOf(b, issuer, "b"), http.HandlerFunc(serveFile))
	const count = 200
	for _, transport := range hop.Transports() {
		b.Run(transport, func(b *testing.B) {
			for b.Loop() {
				before := residentMemory(b)
				clients := make([]*hop.Client, count)
				for i := range clients {
					clients[i] = hop.NewClient(keys, lookupTo(address), transport)
					fetch(b, clients[i], 200)
				}
				b.ReportMetric(float64(residentMemory(b)-before)/count/1024, "KiB/conn")
				for _, client := range clients {
					client.CloseIdle()
				}
			}
		})
	}
}

func serveFile(w http.ResponseWriter, r *http.Request) {
	size, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/files/"))
	w.Header().Set(hop.HeaderOutcome, refusal.Ran.String())
	w.Header().Set("Content-Length", strconv.Itoa(size))
	chunk := make([]byte, 32<<10)
	for size > 0 {
		n, err := w.Write(chunk[:min(size, len(chunk))])
		if err != nil {
			return
		}
		size -= n
	}
}

func fetch(b *testing.B, client *hop.Client, size int) {
	request := httptest.NewRequest(http.MethodGet, "http://mesh/files/"+strconv.Itoa(size), http.NoBody)
	request.RequestURI = ""
	response, refused := client.Do(id.Host("b"), request, call())
	if refused != nil {
		b.Error(refused)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if n, err := io.Copy(io.Discard, response.Body); err != nil || n != int64(size) {
		b.Errorf("%d of %d bytes: %v", n, size, err)
	}
}

// runConcurrently runs fn b.N times, in the given number of goroutines, and returns
// the latencies.
func runConcurrently(b *testing.B, concurrency int, fn func()) []time.Duration {
	latencies := make([]time.Duration, b.N)
	var group sync.WaitGroup
	for worker := range concurrency {
		group.Go(func() {
			for i := worker; i < b.N; i += concurrency {
				start := time.Now()
				fn()
				latencies[i] = time.Since(start)
			}
		})
	}
	group.Wait()
	return latencies
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentMemory returns the resident memory of this process.
func residentMemory(b *testing.B) int64 {
	runtime.GC()
	debug.FreeOSMemory()
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		b.Fatal(err)
	}
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	if err != nil {
		b.Fatal(err)
	}
	return pages * int64(os.Getpagesize())
}
