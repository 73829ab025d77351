package platform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// The values of Faults.Outage; an empty string means no outage.
const (
	OutageRefuse = "refuse"
	OutageError  = "error"
)

// Faults is the request body of POST /faults. Each call replaces all faults, so an
// empty object ends them.
type Faults struct {
	// Outage is "refuse" (the listener and all open connections are closed) or
	// "error" (each call gets status 500).
	Outage string `json:"outage"`
	// LatencyMs delays each response.
	LatencyMs int `json:"latency_ms"`
	// JitterMs is the upper bound of a random addition to the latency, which
	// reorders responses.
	JitterMs int `json:"jitter_ms"`
	// StalenessMs serves reads from the state of this many milliseconds ago.
	StalenessMs int `json:"staleness_ms"`
	// Frozen serves reads from the state at the time the fault was set.
	Frozen bool `json:"frozen"`
	// StaleConsistent applies StalenessMs and Frozen to ?consistent reads as well.
	StaleConsistent bool `json:"stale_consistent"`
	// OverLimit rejects each call with status 429.
	OverLimit bool `json:"over_limit"`
	// HostListLagMs, if set, replaces Options.HostListLag for later writes.
	HostListLagMs *int `json:"host_lag_ms,omitempty"`

	setAt time.Time
}

func (f Faults) check() error {
	switch f.Outage {
	case "", OutageRefuse, OutageError:
	default:
		return fmt.Errorf("unknown outage %q; use %q, %q or leave it empty", f.Outage, OutageRefuse, OutageError)
	}
	if f.LatencyMs < 0 || f.JitterMs < 0 || f.StalenessMs < 0 {
		return fmt.Errorf("latency_ms, jitter_ms and staleness_ms must not be negative")
	}
	return nil
}

// latency returns the delay of one call, including random jitter.
func (f Faults) latency() time.Duration {
	return time.Duration(f.LatencyMs+rand.IntN(f.JitterMs+1)) * time.Millisecond
}

// readTime returns the point in time whose state a read at the given time sees.
func (f Faults) readTime(at time.Time, consistent bool) time.Time {
	if consistent && !f.StaleConsistent {
		return at
	}
	if f.Frozen && f.setAt.Before(at) {
		at = f.setAt
	}
	return at.Add(-time.Duration(f.StalenessMs) * time.Millisecond)
}

func decodeFaults(r *http.Request) (Faults, error) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		return Faults{}, fmt.Errorf("decode faults: %w", err)
	}
	return faults, faults.check()
}
