package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/shutdown"
)

const (
	// quietPeriod without a request shows that clients have stopped sending.
	quietPeriod = 300 * time.Millisecond
	// stopPollInterval is how often the stop checks for remaining work.
	stopPollInterval = 20 * time.Millisecond
)

// stop fails readiness and serves until clients stop sending or their share of the
// grace period has passed. Only then does it notify other daemons, so that the
// backend server is used until shortly before the end. After that, new requests are
// refused while those in progress finish.
func (d *Daemon) stop(s *servers) {
	began := d.now()
	plan := shutdown.NewPlan(began, d.settings.Load().StopGrace)
	deadline := plan.EndsAt()
	d.shutdown.Store(plan)
	d.log.Info("stopping", d.activeRequests.fields()...)
	for d.now().Before(plan.AcceptUntil()) && !d.clientsQuiet(plan) {
		time.Sleep(stopPollInterval)
	}
	d.localBackend.SetLeaving()
	d.gossip.Send(d.members.addresses(), d.readerPiggyback())
	d.shutdown.Store(plan.RefuseNew(d.now()))
	d.log.Info("refusing new requests", d.activeRequests.fields()...)
	for d.now().Before(deadline) && d.activeRequests.total() > 0 {
		time.Sleep(stopPollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(stopPollInterval, deadline.Sub(d.now())))
	defer cancel()
	if err := d.listeners[s.hops].Stop(ctx); err != nil {
		d.log.Warn("failed to close the connections of other daemons gracefully; some may have been reset", zap.Error(err))
	}
	var draining sync.WaitGroup
	for _, server := range []interface {
		Shutdown(ctx context.Context) error
	}{s.callers, s.hops} {
		draining.Go(func() {
			if err := server.Shutdown(ctx); err != nil {
				d.log.Warn("requests still in progress at the end of the grace period", zap.Error(err))
			}
		})
	}
	draining.Wait()
	err := errors.Join(s.control.Close(), s.readiness.Close(), s.metrics.Close(), s.beacons.Close())
	d.log.Info("stopped", append(d.activeRequests.fields(), zap.Error(err), zap.Duration("took", d.now().Sub(began)))...)
}

// admit reports whether a request may begin or go on, and returns its deadline.
func (d *Daemon) admit(work shutdown.Work) (id.Instant, bool) {
	return d.shutdown.Load().Admit(work, d.now())
}

// clientsQuiet reports whether clients have stopped sending.
func (d *Daemon) clientsQuiet(plan *shutdown.Plan) bool {
	now := d.now()
	return !now.Before(plan.NoticedAt()) && now.Sub(id.Instant(d.lastClientRequest.Load())) >= quietPeriod
}
