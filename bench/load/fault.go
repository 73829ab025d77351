package load

import (
	"context"
	"fmt"
	"strings"
	"time"

	"marjoramsaddle/bench/rig"
	"marjoramsaddle/standin/backend"
)

//go:generate stringer -type=Fault -linecomment -output=fault_string.go

// Fault is a fault that an experiment plays at one backend server, from one
// third of the run to two thirds.
type Fault int

// The faults.
const (
	NoFault        Fault = iota // none
	BackendStop                 // backend_stop
	BackendKill                 // backend_kill
	BackendPause                // backend_pause
	BackendSlow                 // backend_slow
	BackendStall                // backend_stall
	BackendGarbage              // backend_garbage
	faultCount                  // end
)

// slowMs makes a call several times as slow as any service time in use.
const slowMs = 500

// faultParts divides the run into before, during and after the fault.
const faultParts = 3

// FaultNames returns the names of all faults.
func FaultNames() string {
	names := make([]string, 0, int(faultCount))
	for fault := NoFault; fault < faultCount; fault++ {
		names = append(names, fault.String())
	}
	return strings.Join(names, ", ")
}

// ParseFault returns the fault with the given name. The empty name is NoFault.
func ParseFault(name string) (Fault, error) {
	if name == "" {
		return NoFault, nil
	}
	for fault := NoFault; fault < faultCount; fault++ {
		if fault.String() == name {
			return fault, nil
		}
	}
	return NoFault, fmt.Errorf("unknown fault %q; use one of %s", name, FaultNames())
}

// play plays the fault at the first backend server and ends it.
func (f Fault) play(ctx context.Context, r *rig.Rig, duration time.Duration) error {
	if f == NoFault {
		return nil
	}
	start := time.Now()
	if !sleepUntil(ctx, start.Add(duration/faultParts)) {
		return ctx.Err()
	}
	target := r.Backends[0]
	if err := f.begin(ctx, target); err != nil {
		return err
	}
	if !sleepUntil(ctx, start.Add(2*duration/faultParts)) {
		return ctx.Err()
	}
	return f.end(ctx, target)
}

func (f Fault) begin(ctx context.Context, target *rig.Backend) error {
	switch f {
	case BackendStop:
		return target.Process.Stop(ctx)
	case BackendKill:
		target.Process.Kill()
		return nil
	case BackendPause:
		return target.Process.Pause()
	case BackendSlow:
		return target.SetFaults(ctx, backend.Faults{SlowMs: slowMs})
	case BackendStall:
		return target.SetFaults(ctx, backend.Faults{StallMidBody: true})
	case BackendGarbage:
		return target.SetFaults(ctx, backend.Faults{Garbage: true})
	default:
		return nil
	}
}

// end ends the faults that don't end the backend server.
func (f Fault) end(ctx context.Context, target *rig.Backend) error {
	switch f {
	case BackendPause:
		return target.Process.Resume()
	case BackendSlow, BackendStall, BackendGarbage:
		return target.SetFaults(ctx, backend.Faults{})
	default:
		return nil
	}
}
