package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
)

// emit queues an event for the control goroutine. It drops the event once that
// goroutine has stopped.
func (d *Daemon) emit(event kernel.Event) {
	select {
	case d.events <- event:
	case <-d.stopped:
	}
}

// control runs the event loop that owns the kernel: it applies events in order
// and performs the resulting actions. It never blocks on a peer or the platform.
func (d *Daemon) control(ctx context.Context) {
	defer d.wait.Done()
	defer close(d.stopped)
	d.platformReads.start(ctx)
	defer d.platformReads.stop()
	ticker := time.NewTicker(kernel.TickInterval)
	defer ticker.Stop()
	d.step(kernel.Tick{})
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-d.events:
			d.step(event)
		case query := <-d.queries:
			query(d.kernel)
		case <-ticker.C:
			d.step(kernel.Tick{})
		}
	}
}

// step records an event, applies it to the kernel and performs the actions.
func (d *Daemon) step(event kernel.Event) {
	at := now()
	d.lastStepAt.Store(int64(at))
	d.recent.add(at, event)
	d.recorder.add(at, event)
	for _, action := range d.kernel.Step(at, event) {
		d.perform(action)
	}
}

func (d *Daemon) perform(action kernel.Action) {
	switch a := action.(type) {
	case kernel.Send:
		d.transport.Send(a.Host, a.Frame)
	case kernel.Dial:
		d.transport.Dial(a.Host, a.Address)
	case kernel.Hangup:
		d.transport.Hangup(a.Host, a.Outbound)
	case kernel.ReadManifest, kernel.ReadPart, kernel.ReadHosts, kernel.StopReading:
		d.startRead(action)
	case kernel.Publish:
		d.publish(a)
	case kernel.PublishEndpoints:
		d.publishEndpoints(a.Entries)
	case kernel.SetReady:
		d.readiness.Store(int32(a.Ready))
		d.log.Named("daemon").Info("readiness changed", zap.Stringer("readiness", a.Ready))
		if a.Ready == kernel.Resyncing {
			d.gate.Resync(now())
		}
	case kernel.AnswerStatus:
		d.statusRequests.deliver(a)
	case kernel.Count:
		d.metrics.Control(a.Name, a.Label)
	case kernel.Log:
		d.log.Named(a.Part).Info(a.Text)
	}
}

// publish makes a view available to calls by one atomic store. A view with routes
// to missing services is rejected.
func (d *Daemon) publish(a kernel.Publish) {
	if dangling := a.View.DanglingRoutes(); len(dangling) > 0 {
		d.metrics.Control("dangling_view", "")
		d.log.Named("daemon").Error("view refused, routes lead to missing services", zap.Strings("routes", dangling))
		return
	}
	if policy, ok := a.View.Policies[d.settings.Service]; ok {
		d.gate.SetRamp(time.Duration(policy.Service.ColdStartMS) * time.Millisecond)
		d.gate.Resize(now(), policy.Service.Slots, policy.Service.Connections)
	}
	d.snapshot.Store(a.Snapshot)
	d.view.Store(a.View)
	if endpoints := d.endpoints.Load(); endpoints != nil {
		d.publishEndpoints(slices.Collect(maps.Values(*endpoints)))
	}
	d.log.Named("spread").Info("version in force",
		zap.Uint64("version", uint64(a.View.Version)), zap.Stringer("digest", a.View.Digest))
}

// publishEndpoints replaces the endpoint table and updates the backend client, the
// idempotency records and the load balancer.
func (d *Daemon) publishEndpoints(entries []endpoint.Entry) {
	endpoints := make(map[id.Host]endpoint.Entry, len(entries))
	view := d.view.Load()
	for i, entry := range entries {
		if view != nil {
			// Entries carry no slots; they come from the configuration in force.
			entries[i].Slots = view.Policies[entry.Service].Service.Slots
		}
		endpoints[entry.Host] = entries[i]
	}
	d.endpoints.Store(&endpoints)
	d.backend.SetLeaving(endpoints[d.settings.Host].State == endpoint.Leaving)
	d.updateServiceHosts(entries)
	d.chooser.SetEndpoints(entries)
}

// hopAddress returns the address on which a host accepts calls from other
// daemons. It returns false if the address is unknown.
func (d *Daemon) hopAddress(host id.Host) (string, bool) {
	endpoints := d.endpoints.Load()
	if endpoints == nil {
		return "", false
	}
	entry, ok := (*endpoints)[host]
	return entry.Hop, ok && entry.Hop != ""
}

// queryKernel runs query in the control goroutine, between two events, and waits
// for it to return.
func (d *Daemon) queryKernel(ctx context.Context, query func(*kernel.Kernel)) error {
	done := make(chan struct{})
	wrapped := func(k *kernel.Kernel) {
		defer close(done)
		query(k)
	}
	select {
	case d.queries <- wrapped:
	case <-ctx.Done():
		return ctx.Err()
	case <-d.stopped:
		return errStopped
	}
	<-done
	return nil
}
