package sidecar

import (
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// longestPause is the time between two rounds of the housekeeping beyond which
// the process counts as paused: by a signal, or with its whole host. Rounds are
// 100 ms apart, and a busy host delays them by tens of milliseconds.
const longestPause = time.Second

// pauseClock measures the time between rounds with a clock that also runs while
// the host is suspended, which the clock of timers does not.
type pauseClock struct{ last time.Duration }

func newPauseClock() *pauseClock { return &pauseClock{last: bootTime()} }

// since returns the time since the last call.
func (c *pauseClock) since() time.Duration {
	now := bootTime()
	passed := now - c.last
	c.last = now
	return passed
}

// bootTime returns the time since the start of the host, suspension included.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Without this clock a suspension is not noticed, as on any host that
		// lacks it; pauses by signals still show in the steady clock.
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}

var processStart = time.Now()

// wake gives up what cannot be trusted after a pause: connections that peers
// have closed or given up meanwhile, and the list of backend servers.
func (d *Daemon) wake(paused time.Duration) {
	d.log.Warn("woke from a pause", zap.Duration("paused", paused), zap.Uint64("revision", uint64(d.mirror.AsOf())))
	d.hops.CloseIdle()
	d.backend.CloseIdle()
	d.store.Disconnect()
	d.stale.Store(true)
}
