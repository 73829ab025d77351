package platform

import (
	"maps"
	"sync"
	"time"
)

// historySeconds limits the per-second history to one day.
const historySeconds = 86_400

// The keys of Counters.CallsByKind.
const (
	KindRead  = "read"
	KindWatch = "watch"
	KindWrite = "write"
	KindOther = "other"
)

// SecondCounts is the number of calls that arrived within one second.
type SecondCounts struct {
	UnixS   int64 `json:"unix_s"`
	Calls   int   `json:"calls"`
	Refused int   `json:"refused"`
}

// Counters is the response body of GET /counters.
type Counters struct {
	TotalCalls     int            `json:"total_calls"`
	PeakCallsPerS  int            `json:"calls_per_s_max"`
	WaitingWatches int            `json:"waiting_watches"`
	CallsByKind    map[string]int `json:"calls_by_kind"`
	Refused        int            `json:"refused"`
	Failed         int            `json:"failed"`
	History        []SecondCounts `json:"history"`
}

// callCounters counts calls by wall-clock second.
type callCounters struct {
	mu       sync.Mutex
	counters Counters
}

func newCallCounters() *callCounters {
	return &callCounters{counters: Counters{CallsByKind: map[string]int{}}}
}

// countCall counts one call and reports whether the calls of its second are within
// the limit.
func (c *callCounters) countCall(kind string, at time.Time, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	second := c.second(at.Unix())
	second.Calls++
	c.counters.TotalCalls++
	c.counters.CallsByKind[kind]++
	c.counters.PeakCallsPerS = max(c.counters.PeakCallsPerS, second.Calls)
	if second.Calls <= limit {
		return true
	}
	second.Refused++
	c.counters.Refused++
	return false
}

func (c *callCounters) second(unix int64) *SecondCounts {
	history := c.counters.History
	if len(history) == 0 || history[len(history)-1].UnixS < unix {
		history = append(history, SecondCounts{UnixS: unix})
	}
	if len(history) > historySeconds {
		history = history[1:]
	}
	c.counters.History = history
	return &history[len(history)-1]
}

func (c *callCounters) countFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.Failed++
}

func (c *callCounters) addWaitingWatches(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.WaitingWatches += change
}

func (c *callCounters) snapshot() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := c.counters
	copied.CallsByKind = maps.Clone(copied.CallsByKind)
	copied.History = append([]SecondCounts{}, copied.History...)
	return copied
}
