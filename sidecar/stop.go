package sidecar

import (
	"context"
	"errors"
	"net/http"
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
	// The platform kills the process when the grace period of this signal has passed. A
	// reload does not change that.
	plan := shutdown.NewPlan(began, d.settings.Load().StopGrace)
	d.shutdown.Store(plan)
	d.log.Info("stopping", d.activeRequests.fields()...)
	for d.now().Before(plan.AcceptUntil()) && !d.clientsQuiet(plan) {
		time.Sleep(stopPollInterval)
	}
	d.localBackend.SetLeaving()
	d.gossip.Send(d.members.addresses(), d.readerPiggyback())
	d.shutdown.Store(plan.RefuseNew(d.now()))
	d.log.Info("refusing new requests", d.activeRequests.fields()...)
	for d.now().Before(plan.CloseAt()) && d.activeRequests.total() > 0 {
		time.Sleep(stopPollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(stopPollInterval, plan.EndsAt().Sub(d.now())))
	defer cancel()
	var draining sync.WaitGroup
	for _, finish := range []func(context.Context) error{s.callers.Shutdown, func(ctx context.Context) error { return d.shutdownHops(ctx, s.hops) }} {
		draining.Go(func() {
			if err := finish(ctx); err != nil {
				d.log.Warn("requests still in progress at the end of the grace period", zap.Error(err))
			}
		})
	}
	draining.Wait()
	err := errors.Join(s.control.Close(), s.readiness.Close(), s.metrics.Close(), s.beacons.Close())
	d.log.Info("stopped", append(d.activeRequests.fields(), zap.Error(err), zap.Duration("took", d.now().Sub(began)))...)
}

// shutdownHops closes the listener for other daemons, in half of the context's time at
// most, and waits for their requests.
func (d *Daemon) shutdownHops(ctx context.Context, hops *http.Server) error {
	deadline, _ := ctx.Deadline()
	accepting, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
	defer cancel()
	if err := d.listeners[hops].Stop(accepting); err != nil {
		d.log.Warn("failed to close the connections of other daemons gracefully; some may have been reset", zap.Error(err))
	}
	return hops.Shutdown(ctx)
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
