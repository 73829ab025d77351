package daemon

import (
	"context"
	"time"

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
	_ = d.callers.listener.Close()
	time.Sleep(lingerTime)
	if err := d.callers.Shutdown(ctx); err != nil {
		log.Warn("calls of callers were cut off at the drain deadline")
	}
	if err := d.hopServer.Shutdown(ctx); err != nil {
		log.Warn("calls of other daemons were cut off at the drain deadline")
	}
	_ = d.operators.Close()
}

// keepGate lets queued calls end at their deadlines.
func (d *Daemon) keepGate(ctx context.Context) {
	ticker := time.NewTicker(gateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.gate.Expire(now())
		}
	}
}

// onHealth tells the kernel what the backend server says of itself.
func (d *Daemon) onHealth(health backend.Health) {
	d.emit(kernel.BackendState{Ready: health.Ready, Draining: health.Draining})
}

func (d *Daemon) onDraining() {
	d.emit(kernel.BackendState{Ready: true, Draining: true})
}
