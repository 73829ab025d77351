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
	// readinessNotice is how long clients may still send after readiness has
	// failed: the platform asks once a second and acts after two misses.
	readinessNotice = 2500 * time.Millisecond
	// quietPeriod without a request shows that clients have noticed.
	quietPeriod = 300 * time.Millisecond
	// acceptShare is the part of the grace in which new requests are served. The
	// rest is for those in progress, whose timeouts are about a second.
	acceptShare = 0.58
	// stopMargin is kept before the platform kills the process.
	stopMargin = 200 * time.Millisecond
	// stopPoll is how often the stop looks for the end of the work.
	stopPoll = 20 * time.Millisecond
)

// stop fails readiness and serves until clients send no more, or until their
// part of the grace has passed. Other daemons are told only then, so that the
// backend server works until shortly before the end. From there on new requests
// are refused while those in progress end.
func (d *Daemon) stop(s *servers) {
	began := d.now()
	grace := d.settings.Load().StopGrace
	accepted := began.Add(time.Duration(acceptShare * float64(grace)))
	deadline := began.Add(grace - stopMargin)
	d.stopping.Store(true)
	d.log.Info("stopping", zap.Int64("requests", d.active.Load()))
	for d.now().Before(accepted) && !d.quiet(began) {
		time.Sleep(stopPoll)
	}
	d.local.SetLeaving()
	d.gossip.Send(d.members.addresses(), d.readerNews())
	d.ending.Store(true)
	d.log.Info("refusing new requests", zap.Int64("requests", d.active.Load()))
	for d.now().Before(deadline) && d.active.Load() > 0 {
		time.Sleep(stopPoll)
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(stopPoll, deadline.Sub(d.now())))
	defer cancel()
	if err := d.listeners[s.hops].Stop(ctx); err != nil {
		d.log.Warn("connections of other daemons may have been reset", zap.Error(err))
	}
	var ending sync.WaitGroup
	for _, server := range []interface {
		Shutdown(ctx context.Context) error
	}{s.callers, s.hops} {
		ending.Go(func() {
			if err := server.Shutdown(ctx); err != nil {
				d.log.Warn("requests in progress at the end of the grace", zap.Error(err))
			}
		})
	}
	ending.Wait()
	err := errors.Join(s.control.Close(), s.readiness.Close(), s.metrics.Close(), s.beacons.Close())
	d.log.Info("stopped", zap.Error(err), zap.Int64("requests", d.active.Load()), zap.Duration("took", d.now().Sub(began)))
}

// quiet reports whether clients have noticed the stop.
func (d *Daemon) quiet(began id.Instant) bool {
	now := d.now()
	return now.Sub(began) >= readinessNotice && now.Sub(id.Instant(d.lastClient.Load())) >= quietPeriod
}
