package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"marjoramsaddle/core/kernel"
	"marjoramsaddle/io/backend"
)

// drainNoticeTime is how long the daemon still accepts callers after it has
// announced the drain. Its responses carry "Connection: close", so that callers
// connect elsewhere before the listener closes and no request fails on a closed
// connection.
const drainNoticeTime = time.Second

// lingerTime is how long the daemon serves the open caller connections after it
// has closed their listener. Once Shutdown of net/http has started, a connection
// on which a new request arrives is closed without a response. The time is long
// compared to the 8 ms that a request takes to arrive from a caller.
const lingerTime = 250 * time.Millisecond

// expiryInterval is the time between two scans of the admission queue for calls
// past their deadline.
const expiryInterval = 5 * time.Millisecond

// drain stops gracefully: it announces that the host is leaving, refuses new
// calls for the backend server with the outcome "not run", and waits until the
// calls in progress end or the drain deadline passes.
func (d *Daemon) drain() {
	log := d.log.Named("drain")
	log.Info("leaving")
	deadline := d.settings.DrainDeadline(time.Now())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	d.emit(kernel.DrainRequested{})
	d.readiness.Store(int32(kernel.Draining))
	d.gate.Drain()
	time.Sleep(drainNoticeTime)
	// Closing the listener at once would reset connections that the operating
	// system has accepted, together with the requests already sent on them.
	if err := d.callers.listener.Stop(ctx); err != nil {
		log.Warn("caller connections may have been reset", zap.Error(err))
	}
	time.Sleep(lingerTime)
	if err := d.callers.Shutdown(ctx); err != nil {
		log.Warn("drain deadline exceeded, calls from callers were aborted")
	}
	if err := d.hopServer.Shutdown(ctx); err != nil {
		log.Warn("drain deadline exceeded, calls from other daemons were aborted")
	}
	_ = d.operators.Close()
}

// expireQueuedCalls ends queued calls at their deadlines. It blocks while no call
// is queued, because a scan every few milliseconds would exceed the CPU budget of
// the control state.
func (d *Daemon) expireQueuedCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.gate.Queued():
			d.expireUntilEmpty(ctx)
		}
	}
}

// expireUntilEmpty expires queued calls every expiryInterval until the queue is
// empty.
func (d *Daemon) expireUntilEmpty(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if d.gate.Expire(now()) == 0 {
				return
			}
		}
	}
}

// backendState derives the state of the backend server from health probes,
// responses to calls and failed connections.
type backendState struct {
	mu sync.Mutex
	// down is set by a failed probe or connection and cleared by the next
	// successful probe.
	down bool
	// draining is set by a response that announces a drain. Health probes may lag
	// behind it, so only a restart of the backend server clears it.
	draining bool
	// reported is set once lastReported is valid.
	reported     bool
	lastReported kernel.BackendState
}

// onHealth handles the result of a health probe. A backend server that is ready
// again after it was down begins with a cold start.
func (d *Daemon) onHealth(health backend.Health) {
	s := &d.backendState
	s.mu.Lock()
	defer s.mu.Unlock()
	state := kernel.BackendState{Ready: health.Ready}
	switch {
	case !health.Ready:
		s.down = true
		// After a drain, a failed probe does not make the host available again.
		state.Draining = s.lastReported.Draining
	case s.down:
		s.down = false
		s.draining = false
		state.Draining = health.Draining
		d.gate.RestartRamp(now())
	default:
		state.Draining = health.Draining || s.draining
	}
	d.reportBackendState(state)
}

// onDraining handles a response that announces that the backend server drains.
func (d *Daemon) onDraining() {
	d.backendState.mu.Lock()
	defer d.backendState.mu.Unlock()
	d.backendState.draining = true
	d.reportBackendState(kernel.BackendState{Ready: true, Draining: true})
}

// onUnreachable handles a failed connection attempt, which may be the only
// evidence of a restart of the backend server between two probes.
func (d *Daemon) onUnreachable() {
	d.backendState.mu.Lock()
	defer d.backendState.mu.Unlock()
	d.backendState.down = true
	d.reportBackendState(kernel.BackendState{Draining: d.backendState.lastReported.Draining})
}

// reportBackendState emits the state to the kernel if it has changed. The caller
// holds the lock.
func (d *Daemon) reportBackendState(state kernel.BackendState) {
	if d.backendState.reported && d.backendState.lastReported == state {
		return
	}
	d.backendState.reported = true
	d.backendState.lastReported = state
	d.emit(state)
}
