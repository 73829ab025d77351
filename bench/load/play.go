package load

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"marjoramsaddle/bench/rig"
	"marjoramsaddle/core/id"
	"marjoramsaddle/standin/backend"
)

const (
	// slowMs makes a call several times as slow as any service time in use.
	slowMs = 500
	// faultParts divides the run into before, during and after the fault.
	faultParts = 3
	// cutBytes ends an answer after its header and before its end.
	cutBytes = 40
)

// leaves holds when the daemons of hosts began to leave, in Unix nanoseconds.
type leaves struct {
	mu sync.Mutex
	at map[id.Host]int64
}

func (l *leaves) add(host id.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == nil {
		l.at = map[id.Host]int64{}
	}
	l.at[host] = time.Now().UnixNano()
}

// stage is what faults act on.
type stage struct {
	rig    *rig.Rig
	dir    string // of the daemons' settings
	leaves leaves
}

// play plays the fault and ends it.
func (s *stage) play(ctx context.Context, fault Fault, duration time.Duration) error {
	start := time.Now()
	if !sleepUntil(ctx, start.Add(duration/faultParts)) {
		return ctx.Err()
	}
	if err := s.begin(ctx, fault); err != nil {
		return err
	}
	if !sleepUntil(ctx, start.Add(2*duration/faultParts)) {
		return ctx.Err()
	}
	return s.end(ctx, fault)
}

func (s *stage) begin(ctx context.Context, fault Fault) error {
	first := s.rig.Backends[0]
	switch fault {
	case KillDaemonEntry, KillDaemonTarget:
		s.rig.Daemons[0].Process.Kill()
		return nil
	case StopDaemon, RestartDaemon:
		s.leaves.add(s.rig.Daemons[0].Host.Name)
		return s.rig.Daemons[0].Process.Stop(ctx)
	case PauseDaemon:
		return s.rig.Daemons[0].Process.Pause()
	case KillBackend:
		first.Process.Kill()
		return nil
	case StopBackend, RestartBackend:
		return first.Process.Stop(ctx)
	case PauseBackend:
		return first.Process.Pause()
	case LeavingListedLive:
		return first.Drain(ctx)
	case RetryStorm:
		return s.setAll(ctx, backend.Faults{ExtraServiceTimeMs: slowMs})
	default:
		return first.SetFaults(ctx, fault.atBackend())
	}
}

// atBackend returns the faults of a backend server that keeps running.
func (f Fault) atBackend() backend.Faults {
	cut := int64(cutBytes)
	switch f {
	case SlowBackend:
		return backend.Faults{ExtraServiceTimeMs: slowMs}
	case StallBackend:
		return backend.Faults{StallMidBody: true}
	case GarbageBackend:
		return backend.Faults{CorruptBody: true}
	case CutMidAnswer:
		return backend.Faults{CloseAfterBytes: &cut}
	case LyingHealth:
		idle := 0
		return backend.Faults{ExtraServiceTimeMs: slowMs, Health: backend.HealthOK, LoadBusy: &idle}
	default:
		return backend.Faults{}
	}
}

// end ends the faults that don't end a process, and starts processes again.
func (s *stage) end(ctx context.Context, fault Fault) error {
	first := s.rig.Backends[0]
	switch fault {
	case PauseDaemon:
		return s.rig.Daemons[0].Process.Resume()
	case RestartDaemon:
		_, err := s.rig.StartDaemon(s.rig.Daemons[0].Host, s.dir)
		return err
	case RestartBackend:
		return s.rig.RestartBackend(first.Host)
	case PauseBackend:
		return first.Process.Resume()
	case RetryStorm:
		return s.setAll(ctx, backend.Faults{})
	case SlowBackend, StallBackend, GarbageBackend, CutMidAnswer, LyingHealth:
		return first.SetFaults(ctx, backend.Faults{})
	default:
		return nil
	}
}

// setAll sets the faults of every backend server that runs.
func (s *stage) setAll(ctx context.Context, faults backend.Faults) error {
	for _, b := range s.rig.Backends {
		if err := b.SetFaults(ctx, faults); err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
			return err
		}
	}
	return nil
}
