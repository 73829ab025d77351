package sidecar

import (
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// pauseThreshold is the time between two rounds above which the process counts as
// paused, by a signal or together with its host. Rounds are 100 ms apart, and a busy
// host delays them by tens of milliseconds.
const pauseThreshold = time.Second

// pauseClock measures the time between calls of elapsed with a clock that, unlike the
// clock of timers, also advances while the host is suspended.
type pauseClock struct{ lastCallAt time.Duration }

func newPauseClock() *pauseClock { return &pauseClock{lastCallAt: bootTime()} }

// elapsed returns the time since the previous call, or since newPauseClock.
func (c *pauseClock) elapsed() time.Duration {
	now := bootTime()
	elapsedTime := now - c.lastCallAt
	c.lastCallAt = now
	return elapsedTime
}

// bootTime returns the time since the host booted, including suspension.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Without this clock, suspension goes unnoticed. Pauses by signals still show
		// on the monotonic clock.
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}

var processStart = time.Now()

// resumeAfterPause discards what may be outdated after a pause: connections that
// peers may have closed or abandoned meanwhile, and the list of backend servers.
func (d *Daemon) resumeAfterPause(paused time.Duration) {
	d.log.Warn("woke from a pause", zap.Duration("paused", paused), zap.Uint64("revision", uint64(d.mirror.AsOf().Revision)))
	d.hopPool.CloseIdle()
	d.controlPool.CloseIdle()
	d.backendPool.CloseIdle()
	d.store.Disconnect()
	d.relistRequested.Store(true)
}
