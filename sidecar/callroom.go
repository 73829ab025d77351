package sidecar

import (
	"marjoramsaddle/core/callroom"
	"marjoramsaddle/core/id"
)

// perThousand is the unit of the gauges of shares.
const perThousand = 1000

// callOccupancy returns the used share of the slots of the services that runs of the route
// call, the highest of them, and false if no load reports of them are known.
func (d *Daemon) callOccupancy(route string, at id.Instant) (used float64, known bool) {
	for _, service := range d.retryBudget.CalledServices(route) {
		if share, reported := d.chooser.Occupancy(service, at); reported {
			used, known = max(used, share), true
		}
	}
	return used, known
}

// registerCallRoomGauges registers the gauges of the routes whose runs lately failed for a
// refused call.
func (d *Daemon) registerCallRoomGauges() error {
	gauges := []struct {
		name, help string
		share      func(callroom.Status) callroom.Share
	}{
		{
			"marjoramsaddle_route_admitted_per_1000", "Clients' requests in 1,000 that are admitted, by route, where runs fail for a refused call.",
			func(status callroom.Status) callroom.Share { return status.Admitted },
		},
		{
			"marjoramsaddle_route_call_refused_per_1000", "Recent runs in 1,000 that failed because a call found no room, by route.",
			func(status callroom.Status) callroom.Share { return status.CallRefused },
		},
	}
	for _, gauge := range gauges {
		err := d.metrics.GaugeBy(gauge.name, gauge.help, "route", func(observe func(label string, value int64)) {
			for route, status := range d.callRoom.Status(d.now()) {
				observe(route, int64(gauge.share(status)*perThousand))
			}
		})
		if err != nil {
			return err
		}
	}
	return nil
}
