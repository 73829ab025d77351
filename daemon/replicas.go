package daemon

import (
	"cmp"
	"slices"
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/idempotency"
)

// newRecords returns the idempotency records of this process. Their history
// starts now, at the start of the process, and not with the first call.
func (d *Daemon) newRecords() *idempotency.Records {
	s := d.settings
	options := []idempotency.Option{idempotency.WithOrigin(s.Origin())}
	if s.Experiment.SettleMS > 0 {
		settle := time.Duration(s.Experiment.SettleMS) * time.Millisecond
		options = append(options, idempotency.WithViewLag(idempotency.DefaultViewLag, settle))
	}
	return idempotency.NewRecords(s.Host, now(), options...)
}

// updateServiceHosts passes the known hosts, whatever their state, to the
// idempotency records and to the routing of calls with an idempotency key.
func (d *Daemon) updateServiceHosts(entries []endpoint.Entry) {
	hostsByService := map[id.Service][]id.Host{}
	for _, entry := range entries {
		hostsByService[entry.Service] = append(hostsByService[entry.Service], entry.Host)
	}
	d.hostsByService.Store(&hostsByService)
	d.records.SetHosts(now(), hostsByService[d.settings.Service])
}

// liveReplicas returns the replicas of a key that are not dead. Hosts that accept
// calls come first.
func (d *Daemon) liveReplicas(service id.Service, key string) []id.Host {
	hostsByService := d.hostsByService.Load()
	if hostsByService == nil {
		return nil
	}
	replicas := idempotency.Replicas(key, (*hostsByService)[service])
	replicas = slices.DeleteFunc(replicas, func(host id.Host) bool { return d.stateOf(host) == endpoint.Dead })
	slices.SortStableFunc(replicas, d.compareStateRanks)
	return replicas
}

// orderPartners sorts live hosts first, and among them those of the local failure
// domain. Any two of the three replicas are a majority, so each order is valid,
// and a partner in the local domain saves a round trip between domains. If both
// hosts of a record fail with their domain, the third replica refuses a retry. A
// remote partner would refuse it too: only the owner knew the outcome.
func (d *Daemon) orderPartners(partners []id.Host) []id.Host {
	slices.SortStableFunc(partners, func(a, b id.Host) int {
		return cmp.Or(d.compareStateRanks(a, b), cmp.Compare(d.domainRank(a), d.domainRank(b)))
	})
	return partners
}

// compareStateRanks orders hosts that accept calls before all others.
func (d *Daemon) compareStateRanks(a, b id.Host) int {
	return cmp.Compare(stateRank(d.stateOf(a)), stateRank(d.stateOf(b)))
}

// stateRank returns 0 for hosts that accept calls and 1 for all others.
func stateRank(state endpoint.State) int {
	if state == endpoint.Alive {
		return 0
	}
	return 1
}

// domainRank returns 0 for hosts of the local failure domain and 1 for all others.
func (d *Daemon) domainRank(host id.Host) int {
	if (*d.endpoints.Load())[host].Domain == d.settings.FailureDomain {
		return 0
	}
	return 1
}

// stateOf returns the state of a host; an unknown host counts as dead.
func (d *Daemon) stateOf(host id.Host) endpoint.State {
	if endpoints := d.endpoints.Load(); endpoints != nil {
		if entry, known := (*endpoints)[host]; known {
			return entry.State
		}
	}
	return endpoint.Dead
}
