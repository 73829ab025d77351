package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"marjoramsaddle/core/kernel"
	"marjoramsaddle/io/backend"
)

// announceTime is how long the daemon goes on accepting callers after it has
// announced that it leaves. Callers learn by "Connection: close" to connect
// elsewhere, so that no request meets a closed connection.
const announceTime = time.Second

// lingerTime is how long the daemon goes on serving the connections of callers
// after it has closed their listener. From the start of its Shutdown, net/http
// closes a connection on which it reads a new request, without an answer. The
// time is long against the 8 ms that a request takes from a caller.
const lingerTime = 250 * time.Millisecond

// gateInterval is the time between two checks of the gate's queue.
const gateInterval = 5 * time.Millisecond

// drain stops gracefully: it announces that the host leaves, refuses new work
// for the backend server as not run, and waits for the work in progress.
func (d *Daemon) drain() {
	log := d.log.Named("drain")
	log.Info("leaving")
	deadline := d.settings.DrainDeadline(time.Now())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	d.emit(kernel.DrainRequested{})
	d.ready.Store(int32(kernel.Draining))
	d.gate.Drain()
	time.Sleep(announceTime)
	// Closing at once would reset the connections that the kernel has accepted,
	// with the requests that callers have sent on them.
	if err := d.callers.listener.Stop(ctx); err != nil {
		log.Warn("connections of callers may have been reset", zap.Error(err))
	}
	time.Sleep(lingerTime)
	if err := d.callers.Shutdown(ctx); err != nil {
		log.Warn("calls of callers were cut off at the drain deadline")
	}
	if err := d.hopServer.Shutdown(ctx); err != nil {
		log.Warn("calls of other daemons were cut off at the drain deadline")
	}
	_ = d.operators.Close()
}

// keepGate lets queued calls end at their deadlines. It sleeps while no call is
// queued: a check each few milliseconds would cost more than the control budget.
func (d *Daemon) keepGate(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.gate.Queued():
			d.expireQueued(ctx)
		}
	}
}

// expireQueued checks the queue until it is empty.
func (d *Daemon) expireQueued(ctx context.Context) {
	ticker := time.NewTicker(gateInterval)
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

// signs collects what is known of the backend server's state, from probes and
// from the answers to calls.
type signs struct {
	mu sync.Mutex
	// down is set from the first sign that the backend server is not there
	// until it is ready again.
	down bool
	// draining is set by an answer. Health may lag behind it, so only the next
	// start of the backend server clears it.
	draining bool
	known    bool
	last     kernel.BackendState
}

// onHealth tells the kernel what the backend server says of itself. A backend
// server that has come back after it was down begins with a cold start.
func (d *Daemon) onHealth(health backend.Health) {
	s := &d.signs
	s.mu.Lock()
	defer s.mu.Unlock()
	state := kernel.BackendState{Ready: health.Ready}
	switch {
	case !health.Ready:
		s.down = true
		// A backend server that drained and ended has not returned.
		state.Draining = s.last.Draining
	case s.down:
		s.down = false
		s.draining = false
		state.Draining = health.Draining
		d.gate.RestartRamp(now())
	default:
		state.Draining = health.Draining || s.draining
	}
	d.report(state)
}

// onDraining handles an answer that says that the backend server drains.
func (d *Daemon) onDraining() {
	d.signs.mu.Lock()
	defer d.signs.mu.Unlock()
	d.signs.draining = true
	d.report(kernel.BackendState{Ready: true, Draining: true})
}

// onUnreachable handles a connection that the backend server did not accept,
// which can be the only sign of a restart between two probes.
func (d *Daemon) onUnreachable() {
	d.signs.mu.Lock()
	defer d.signs.mu.Unlock()
	d.signs.down = true
	d.report(kernel.BackendState{Draining: d.signs.last.Draining})
}

// report tells the kernel of a changed state. The caller holds the lock.
func (d *Daemon) report(state kernel.BackendState) {
	if d.signs.known && d.signs.last == state {
		return
	}
	d.signs.known = true
	d.signs.last = state
	d.emit(state)
}
