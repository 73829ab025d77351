package soak

import (
	"time"

	"marjoramsaddle/platform/platformtest"
)

const (
	// minDrillCopyAge is the least age of the copy that the store comes back from.
	minDrillCopyAge = 2 * time.Second
	// drillAway is how long the store is away, and drillLoss how long after its return
	// writers write again what it has lost.
	drillAway = 500 * time.Millisecond
	drillLoss = 300 * time.Millisecond
	// drillHeartbeats is the number of status reports of each backend server that the copy
	// lacks.
	drillHeartbeats = 8
)

// drillFault makes the store come back from a copy. What it has lost is written again.
var drillFault = fault{name: "store back from a copy", reach: allHosts, minDuration: minDrillCopyAge, apply: drillStore}

func drillStore(c *faultInjector, _ *host) func() {
	snapshot := c.w.store.Snapshot()
	return func() {
		for range drillHeartbeats {
			c.w.store.Rewrite(platformtest.ServerPrefix)
		}
		// The daemons have these changes before the store is away.
		time.Sleep(drillLoss)
		c.w.store.Refuse(func(string) bool { return true })
		time.Sleep(drillAway)
		c.w.store.Restore(snapshot)
		c.w.store.Refuse(nil)
		time.Sleep(drillLoss)
		c.w.store.WriteLost()
	}
}
