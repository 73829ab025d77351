package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Faults is the request body of POST /faults. Each call replaces all faults, so an
// empty object ends them.
type Faults struct {
	// StallMidBody stops sending after half of each response body.
	StallMidBody bool `json:"stall_mid_body"`
	// ExtraServiceTimeMs is added to the service time.
	ExtraServiceTimeMs int `json:"slow_ms"`
	// CorruptBody sends bodies of the right length with wrong bytes.
	CorruptBody bool `json:"garbage"`
	// CloseAfterBytes, if set, closes the connection after this many body bytes.
	CloseAfterBytes *int64 `json:"close_after_bytes,omitempty"`
	// Health replaces the text of /healthz unless empty.
	Health string `json:"health"`
	// LoadBusy, if set, replaces the busy slots that /loadz reports.
	LoadBusy *int `json:"load_busy,omitempty"`
	// StatusLagMs, if set, replaces Options.StatusLag.
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

// bytesToSend returns how many bytes of a body of the given size are sent: all of
// them unless a fault applies.
func (f Faults) bytesToSend(size int64) int64 {
	stop := size
	if f.StallMidBody {
		stop = size / 2
	}
	if f.CloseAfterBytes != nil {
		stop = min(stop, *f.CloseAfterBytes)
	}
	return stop
}

func (f Faults) extraServiceTime() time.Duration {
	return time.Duration(f.ExtraServiceTimeMs) * time.Millisecond
}
