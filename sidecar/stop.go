package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"marjoramsaddle/core/id"
)

const (
	// readinessLag is how long clients may still send after readiness has failed: the
	// platform checks once a second and acts after two failures.
	readinessLag = 2500 * time.Millisecond
	// quietPeriod without a request shows that clients have stopped sending.
	quietPeriod = 300 * time.Millisecond
	// acceptShare is the share of the grace period in which new requests are served.
	// The rest is for those in progress, whose timeouts are about a second.
	acceptShare = 0.58
	// stopMargin is the time left before the platform kills the process.
	stopMargin = 200 * time.Millisecond
	// stopPollInterval is how often the stop checks for remaining work.
	stopPollInterval = 20 * time.Millisecond
)

// stop fails readiness and serves until clients stop sending or their share of the
// grace period has passed. Only then does it notify other daemons, so that the
// backend server is used until shortly before the end. After that, new requests are
// refused while those in progress finish.
func (d *Daemon) stop(s *servers) {
	began := d.now()
	grace := d.settings.Load().StopGrace
	acceptUntil := began.Add(time.Duration(acceptShare * float64(grace)))
	deadline := began.Add(grace - stopMargin)
	d.stopping.Store(true)
	d.log.Info("stopping", zap.Int64("requests", d.activeRequests.Load()))
	for d.now().Before(acceptUntil) && !d.clientsQuiet(began) {
		time.Sleep(stopPollInterval)
		if d.now().Sub(began) >= readinessLag {
			// Whoever still sends here has no other daemon to send to, and would wait
			// for what this process cannot finish.
			d.endsAt.Store(int64(deadline))
		}
	}
	d.localBackend.SetLeaving()
	d.gossip.Send(d.members.addresses(), d.readerPiggyback())
	d.draining.Store(true)
	d.log.Info("refusing new requests", zap.Int64("requests", d.activeRequests.Load()))
	for d.now().Before(deadline) && d.activeRequests.Load() > 0 {
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
	d.log.Info("stopped", zap.Error(err), zap.Int64("requests", d.activeRequests.Load()), zap.Duration("took", d.now().Sub(began)))
}

// remaining returns the time until the process ends, if it is stopping and clients have
// had time to notice. Until then requests are taken that may last longer: their clients
// cannot know, and most end long before their deadline.
func (d *Daemon) remaining() (time.Duration, bool) {
	endsAt := id.Instant(d.endsAt.Load())
	return endsAt.Sub(d.now()), endsAt != 0
}

// clientsQuiet reports whether clients have stopped sending.
func (d *Daemon) clientsQuiet(began id.Instant) bool {
	now := d.now()
	return now.Sub(began) >= readinessLag && now.Sub(id.Instant(d.lastClientRequest.Load())) >= quietPeriod
}
