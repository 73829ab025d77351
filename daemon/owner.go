package daemon

import (
	"cmp"
	"slices"
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/idempotency"
)

// newRecords returns the idempotency records of this process. Its memory starts
// with the process, not with the first call.
func (d *Daemon) newRecords() *idempotency.Records {
	s := d.settings
	options := []idempotency.Option{idempotency.WithOrigin(s.Origin())}
	if s.Experiment.SettleMS > 0 {
		settle := time.Duration(s.Experiment.SettleMS) * time.Millisecond
		options = append(options, idempotency.WithViewLag(idempotency.DefaultViewLag, settle))
	}
	return idempotency.NewRecords(s.Host, now(), options...)
}

// publishHosts tells the records and the routing of keyed calls which hosts
// are known, whatever their state.
func (d *Daemon) publishHosts(entries []endpoint.Entry) {
	services := map[id.Service][]id.Host{}
	for _, entry := range entries {
		services[entry.Service] = append(services[entry.Service], entry.Host)
	}
	d.services.Store(&services)
	d.records.SetHosts(now(), services[d.settings.Service])
}

// owners returns the replicas of a key that are not dead, those that take work
// first.
func (d *Daemon) owners(service id.Service, key string) []id.Host {
	services := d.services.Load()
	if services == nil {
		return nil
	}
	replicas := idempotency.Replicas(key, (*services)[service])
	replicas = slices.DeleteFunc(replicas, func(host id.Host) bool { return d.stateOf(host) == endpoint.Dead })
	slices.SortStableFunc(replicas, d.compareStates)
	return replicas
}

// orderPartners sorts live hosts first, and among them those of the own failure
// domain. Any two replicas are a majority, so the rule allows each of them. A
// near partner saves a round trip between failure domains. When both hosts of a
// record are lost with their failure domain, the third replica refuses a
// repeat; with a far partner the repeat would be refused as well, because the
// outcome was known only to the owner.
func (d *Daemon) orderPartners(partners []id.Host) []id.Host {
	slices.SortStableFunc(partners, func(a, b id.Host) int {
		return cmp.Or(d.compareStates(a, b), cmp.Compare(d.distance(a), d.distance(b)))
	})
	return partners
}

func (d *Daemon) compareStates(a, b id.Host) int {
	return cmp.Compare(unwilling(d.stateOf(a)), unwilling(d.stateOf(b)))
}

// unwilling is 0 for hosts that take work.
func unwilling(state endpoint.State) int {
	if state == endpoint.Alive {
		return 0
	}
	return 1
}

// distance is 0 for hosts of the own failure domain.
func (d *Daemon) distance(host id.Host) int {
	if (*d.table.Load())[host].Domain == d.settings.FailureDomain {
		return 0
	}
	return 1
}

func (d *Daemon) stateOf(host id.Host) endpoint.State {
	if table := d.table.Load(); table != nil {
		if entry, known := (*table)[host]; known {
			return entry.State
		}
	}
	return endpoint.Dead
}
