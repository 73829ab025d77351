package daemon

import (
	"slices"
	"testing"
	"time"

	"marjoramsaddle/core/id"
)

// BenchmarkKeyedOrders sends an order straight to a backend server, one without
// a key, a keyed one through its owner and a keyed one through another daemon
// in turn. It reports the quantiles of the latency of each.
func BenchmarkKeyedOrders(b *testing.B) {
	f := newFleet(b, 4)
	through := f.counters[0]
	f.caller["backend"] = f.backends[through].Address()
	names := []string{"direct", "unkeyed", "at-owner", "through-other"}
	took := make([][]time.Duration, len(names))
	calls := []func(key string, replicas []id.Host) answer{
		func(string, []id.Host) answer { return f.order("backend", "", "nails") },
		func(string, []id.Host) answer { return f.order(through, "", "nails") },
		func(key string, replicas []id.Host) answer { return f.order(replicas[0], key, "nails") },
		func(key string, replicas []id.Host) answer { return f.order(replicas[1], key, "nails") },
	}
	for number := 0; b.Loop(); number++ {
		for kind, call := range calls {
			key, replicas := f.numberedKey(len(calls)*number + kind)
			started := time.Now()
			if got := call(key, replicas); got.status != 200 {
				b.Fatal(names[kind], got)
			}
			took[kind] = append(took[kind], time.Since(started))
		}
	}
	for kind, name := range names {
		slices.Sort(took[kind])
		count := len(took[kind])
		b.ReportMetric(float64(took[kind][count/2].Microseconds()), name+"-p50-µs")
		b.ReportMetric(float64(took[kind][count*99/100].Microseconds()), name+"-p99-µs")
	}
}
