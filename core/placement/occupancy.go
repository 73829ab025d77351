package placement

import "marjoramsaddle/core/id"

// Occupancy returns the used share of the slots of the backend servers that accept requests
// of the service, according to their load reports. Queued requests count as well, so it
// may exceed one. It returns false if no server has a current report.
func (c *Chooser) Occupancy(service id.Service, now id.Instant) (used float64, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	group := c.services[service]
	if group == nil {
		return 0, false
	}
	load, slots := 0, 0
	for _, servers := range [][]*serverState{group.near, group.far} {
		for _, state := range servers {
			if !state.hasCurrentReport(now) || state.report.Leaving || state.silent(c.latestReport) {
				continue
			}
			load += state.report.Running + state.report.Queued
			slots += state.report.Slots
		}
	}
	if slots == 0 {
		return 0, false
	}
	return float64(load) / float64(slots), true
}
