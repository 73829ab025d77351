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

// emit hands an event to the control goroutine.
func (d *Daemon) emit(event kernel.Event) {
	select {
	case d.events <- event:
	case <-d.stopped:
	}
}

// control owns the kernel: it applies events in order and carries the actions
// out. It never waits for a peer or the platform.
func (d *Daemon) control(ctx context.Context) {
	defer d.wait.Done()
	defer close(d.stopped)
	d.reads.start(ctx)
	defer d.reads.stop()
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

func (d *Daemon) step(event kernel.Event) {
	at := now()
	d.steppedAt.Store(int64(at))
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
		d.performRead(action)
	case kernel.Publish:
		d.publish(a)
	case kernel.PublishEndpoints:
		d.publishEndpoints(a.Entries)
	case kernel.SetReady:
		d.ready.Store(int32(a.Ready))
		d.log.Named("daemon").Info("readiness changed", zap.Stringer("readiness", a.Ready))
		if a.Ready == kernel.Resyncing {
			d.gate.Resync(now())
		}
	case kernel.AnswerStatus:
		d.answers.give(a)
	case kernel.Count:
		d.metrics.Control(a.Name, a.Label)
	case kernel.Log:
		d.log.Named(a.Part).Info(a.Text)
	}
}

// publish puts a view in force for traffic, in one step.
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
	if table := d.table.Load(); table != nil {
		d.publishEndpoints(slices.Collect(maps.Values(*table)))
	}
	d.log.Named("spread").Info("version in force",
		zap.Uint64("version", uint64(a.View.Version)), zap.Stringer("digest", a.View.Digest))
}

func (d *Daemon) publishEndpoints(entries []endpoint.Entry) {
	table := make(map[id.Host]endpoint.Entry, len(entries))
	view := d.view.Load()
	for i, entry := range entries {
		if view != nil {
			// Entries don't carry slots; the configuration in force names them.
			entries[i].Slots = view.Policies[entry.Service].Service.Slots
		}
		table[entry.Host] = entries[i]
	}
	d.table.Store(&table)
	d.backend.SetLeaving(table[d.settings.Host].State == endpoint.Leaving)
	d.publishHosts(entries)
	d.chooser.SetEndpoints(entries)
}

// lookup returns the hop address of a host.
func (d *Daemon) lookup(host id.Host) (string, bool) {
	table := d.table.Load()
	if table == nil {
		return "", false
	}
	entry, ok := (*table)[host]
	return entry.Hop, ok && entry.Hop != ""
}

// ask runs a question on the kernel between two events.
func (d *Daemon) ask(ctx context.Context, question func(*kernel.Kernel)) error {
	done := make(chan struct{})
	wrapped := func(k *kernel.Kernel) {
		defer close(done)
		question(k)
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
