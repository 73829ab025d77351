package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Faults is the body of POST /faults. Each call replaces all faults, so an
// empty object ends them.
type Faults struct {
	// StallMidBody stops sending in the middle of each body.
	StallMidBody bool `json:"stall_mid_body"`
	// ExtraServiceTimeMs adds to the service time.
	ExtraServiceTimeMs int `json:"slow_ms"`
	// CorruptBody sends wrong bytes of the right length.
	CorruptBody bool `json:"garbage"`
	// CloseAfterBytes closes the connection after so many body bytes.
	CloseAfterBytes *int64 `json:"close_after_bytes,omitempty"`
	// Health replaces the text of /healthz.
	Health string `json:"health"`
	// LoadBusy replaces the busy slots of /loadz.
	LoadBusy *int `json:"load_busy,omitempty"`
	// StatusLagMs replaces the lag of /healthz and /loadz.
	StatusLagMs *int `json:"lag_ms,omitempty"`
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

func (f Faults) check() error {
	if f.ExtraServiceTimeMs < 0 || f.CloseAfterBytes != nil && *f.CloseAfterBytes < 0 || f.StatusLagMs != nil && *f.StatusLagMs < 0 {
		return errors.New("slow_ms, close_after_bytes and lag_ms must not be negative")
	}
	return nil
}

// stopAt returns the number of body bytes after which the answer stops, which
// is the size when no fault applies.
func (f Faults) stopAt(size int64) int64 {
	stop := size
	if f.StallMidBody {
		stop = size / 2
	}
	if f.CloseAfterBytes != nil {
		stop = min(stop, *f.CloseAfterBytes)
	}
	return stop
}

func (f Faults) slow() time.Duration { return time.Duration(f.ExtraServiceTimeMs) * time.Millisecond }
