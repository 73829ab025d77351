package soak

import (
	"slices"
	"time"
)

// readerWindow is the time within which a daemon that reads the store calls it again.
const readerWindow = 1500 * time.Millisecond

// slowStoreDelay is the delay of a slow store's responses.
const slowStoreDelay = 240 * time.Millisecond

// minPartition is longer than the time within which a side of the partition that has no
// reader of the store must have versions.
const minPartition = applyDeadline + time.Second

// deafTime is how long the watches of the store miss all changes before it drops its
// history.
const deafTime = time.Second

// versionFaults are the faults that may delay a version, in addition to those of faults
// that are marked with versions.
var versionFaults = []fault{
	{name: "control silent everywhere", reach: allHosts, apply: silenceControl},
	{name: "control silent everywhere", reach: allHosts, apply: silenceControl},
	{name: "control stalled inward", apply: setControlMode(mode{inward: true})},
	{name: "control stalled outward", apply: setControlMode(mode{outward: true})},
	{name: "control delayed", apply: setControlMode(mode{delay: 200 * time.Millisecond})},
	{name: "domain without beacons of the others", reach: noHost, minDuration: minPartition, apply: separateDomain},
	{name: "readers paused", reach: noHost, apply: harmReaders(pause)},
	{name: "readers killed", reach: noHost, apply: harmReaders(kill)},
	{name: "readers stopped", reach: noHost, apply: harmReaders(stopDaemon)},
	{name: "readers cut from the store", reach: noHost, apply: harmReaders(cutStore)},
	{name: "readers cut off", reach: noHost, apply: harmReaders(isolateHost)},
	{name: "store refuses some", reach: storeUnstable, apply: refuseSome},
	{name: "store slow", reach: allHosts, apply: func(c *faultInjector, _ *host) func() {
		c.w.store.Delay(slowStoreDelay)
		return func() { c.w.store.Delay(0) }
	}},
	{name: "store deaf", reach: storeUnstable, apply: deafenStore},
}

// versionFleetInterval leaves time, between two faults of the whole fleet, in which all
// other hosts are in touch.
const versionFleetInterval = 8 * time.Second

// faultsOf returns the faults that a run injects.
func faultsOf(options *Options) []fault {
	var kept []fault
	if options.Versions {
		kept = slices.Clone(versionFaults)
	}
	for _, one := range faults {
		if !options.Versions || one.versions {
			kept = append(kept, one)
		}
	}
	// Drills are as frequent as an eighth of all other faults.
	for range len(kept) / 8 {
		if options.Drills {
			kept = append(kept, drillFault)
		}
	}
	return kept
}

// silenceControl makes all open connections between the daemons silent for good, and
// lets new ones work.
func silenceControl(c *faultInjector, _ *host) func() {
	for _, h := range c.w.hosts {
		h.control.silence()
	}
	return noCleanup
}

func setControlMode(to mode) func(*faultInjector, *host) func() {
	return func(_ *faultInjector, h *host) func() {
		h.control.set(to)
		return func() { h.control.set(mode{}) }
	}
}

func cutStore(_ *faultInjector, h *host) func() {
	h.store.set(mode{inward: true, outward: true})
	return func() { h.store.set(mode{}) }
}

// maxReadersHarmed is the number of hosts that may be lost at the same time.
const maxReadersHarmed = 2

// readers returns the hosts whose daemons have called the store last.
func (w *world) readers() []*host {
	var reading []*host
	for _, h := range w.hosts {
		if h.store.usedWithin(readerWindow) {
			reading = append(reading, h)
		}
	}
	slices.SortFunc(reading, func(a, b *host) int { return b.store.lastUse().Compare(a.store.lastUse()) })
	return reading[:min(len(reading), maxReadersHarmed)]
}

// harmReaders publishes a version and harms the daemons that read the store at the same
// time, in either order.
func harmReaders(apply func(*faultInjector, *host) func()) func(*faultInjector, *host) func() {
	return func(c *faultInjector, chosen *host) func() {
		harmed := c.lockReaders(chosen)
		ends := make([]func(), 0, len(harmed))
		if c.random.IntN(2) == 0 {
			c.w.publish()
			time.Sleep(time.Duration(c.random.Int64N(int64(20 * time.Millisecond))))
		}
		for _, h := range harmed {
			c.logf("%s reads", h.name)
			c.w.loseTouch(h, ownHost, settleTime)
			ends = append(ends, apply(c, h))
		}
		c.w.publish()
		return func() {
			for i, end := range ends {
				end()
				c.w.loseTouch(harmed[i], ownHost, 0)
				if harmed[i] != chosen {
					harmed[i].daemonFault.Unlock()
				}
			}
		}
	}
}

// lockReaders returns the readers that no other fault affects, and locks them. The host
// chosen for the fault is locked already.
func (c *faultInjector) lockReaders(chosen *host) []*host {
	var locked []*host
	for _, h := range c.w.readers() {
		if h == chosen || h.daemonFault.TryLock() {
			locked = append(locked, h)
		}
	}
	return locked
}

// refuseSome makes the store refuse the readers and a third of the other hosts.
func refuseSome(c *faultInjector, _ *host) func() {
	refused := map[string]bool{}
	for _, h := range c.w.readers() {
		refused[h.localIP] = true
	}
	for _, h := range c.w.hosts {
		if c.random.IntN(3) == 0 {
			refused[h.localIP] = true
		}
	}
	c.w.store.Refuse(func(remote string) bool { return refused[remote] })
	return func() { c.w.store.Refuse(nil) }
}

// deafenStore lets the watches of the store miss all changes for a while. Then the store
// drops its history, which ends them.
func deafenStore(c *faultInjector, _ *host) func() {
	c.w.store.Deafen(true)
	c.w.publish()
	time.Sleep(deafTime)
	c.w.store.Deafen(false)
	c.w.store.DropHistory()
	return noCleanup
}
