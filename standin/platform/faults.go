package platform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// The outages that Faults.Outage accepts; the empty text is no outage.
const (
	OutageRefuse = "refuse"
	OutageError  = "error"
)

// Faults is the body of POST /faults. Each call replaces all faults, so an
// empty object ends them.
type Faults struct {
	// Outage is "refuse" (the listener is closed and open connections are cut)
	// or "error" (each call gets a 500).
	Outage string `json:"outage"`
	// LatencyMs delays each answer.
	LatencyMs int `json:"latency_ms"`
	// JitterMs adds up to this much to the latency at random, so that answers
	// overtake each other.
	JitterMs int `json:"jitter_ms"`
	// StalenessMs answers reads from the state this long ago.
	StalenessMs int `json:"staleness_ms"`
	// Frozen answers reads from the state at the time the fault was set.
	Frozen bool `json:"frozen"`
	// StaleConsistent applies StalenessMs and Frozen to ?consistent reads, too.
	StaleConsistent bool `json:"stale_consistent"`
	// OverLimit answers each call with 429.
	OverLimit bool `json:"over_limit"`
	// HostListLagMs replaces the lag of host lists for later writes when set.
	HostListLagMs *int `json:"host_lag_ms,omitempty"`

	since time.Time
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

// latency returns the delay of one call.
func (f Faults) latency() time.Duration {
	return time.Duration(f.LatencyMs+rand.IntN(f.JitterMs+1)) * time.Millisecond
}

// readTime returns the time whose state a read at the given time sees.
func (f Faults) readTime(at time.Time, consistent bool) time.Time {
	if consistent && !f.StaleConsistent {
		return at
	}
	if f.Frozen && f.since.Before(at) {
		at = f.since
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
