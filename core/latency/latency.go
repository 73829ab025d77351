// Package latency estimates how long the requests of a route take, from the responses
// so far.
//
// # Usage
//
//	table := latency.NewTable()
//	table.Record("orders", 210*time.Millisecond)
//	expected := table.Mean("orders") // 0 before the first response
package latency

import (
	"sync"
	"time"
)

const (
	// meanWeight is the weight of one response in the mean of its route.
	meanWeight = 1.0 / 8
	// maxRoutes bounds the table, since configurations add and drop routes for as long
	// as the process runs. The largest configurations have a few thousand.
	maxRoutes = 10_000
)

// Table holds the moving average of the response times of each route. It is safe for
// concurrent use.
type Table struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{means: map[string]time.Duration{}} }

// Record adds the time from the arrival of a request of the route to its response.
func (t *Table) Record(route string, elapsed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, found := t.means[route]
	if !found {
		if len(t.means) >= maxRoutes {
			clear(t.means)
		}
		mean = elapsed
	}
	t.means[route] = mean + time.Duration(meanWeight*float64(elapsed-mean))
}

// Mean returns the average for the route, or zero if it has had no response.
func (t *Table) Mean(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.means[route]
}
