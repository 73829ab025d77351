package member

import (
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
)

const (
	// minPublishInterval is the shortest time between two publications.
	minPublishInterval = 100 * time.Millisecond
	// publishIntervalPerEntry lengthens the interval by this much for each entry in
	// the table, to 540 ms at 5,400 entries: a publication costs about 2 µs of CPU
	// time per entry, here and in the tables of the data plane.
	publishIntervalPerEntry = 100 * time.Microsecond
)

// publication holds what was last published to the data plane.
type publication struct {
	revision uint64
	at       id.Instant
	// unreachable holds the state that is published for each unreachable failure
	// domain, and since when the domain is unreachable.
	unreachable    map[id.Domain]unreachableDomain
	domainsChanged bool
}

type unreachableDomain struct {
	since id.Instant
	state endpoint.State
}

// publish sends the table to the data plane when it has changed. Entries of an
// unreachable failure domain keep their state in the table, but are published as
// suspect and later as dead.
func (p *plugin) publish(at id.Instant, out *kernel.Output) {
	p.updateUnreachable(at)
	published := &p.published
	upToDate := published.revision == p.shared.Table.Revision() && !published.domainsChanged
	interval := max(minPublishInterval, time.Duration(p.shared.Table.Len())*publishIntervalPerEntry)
	if upToDate || (published.at != 0 && at.Sub(published.at) < interval) {
		return
	}
	published.revision, published.at, published.domainsChanged = p.shared.Table.Revision(), at, false
	entries := p.shared.Table.All()
	for index := range entries {
		entry := &entries[index]
		if domainState, known := published.unreachable[entry.Domain]; known && entry.Live() {
			entry.State = domainState.state
		}
	}
	out.Emit(kernel.PublishEndpoints{Entries: entries})
}

// updateUnreachable updates the published states of unreachable failure domains.
func (p *plugin) updateUnreachable(at id.Instant) {
	for domain := range p.published.unreachable {
		if !p.shared.Topology.Unreachable[domain] {
			delete(p.published.unreachable, domain)
			p.published.domainsChanged = true
		}
	}
	for domain := range p.shared.Topology.Unreachable {
		domainState, known := p.published.unreachable[domain]
		switch {
		case !known:
			p.published.unreachable[domain] = unreachableDomain{since: at, state: endpoint.Suspect}
			p.published.domainsChanged = true
		case domainState.state == endpoint.Suspect && at.Sub(domainState.since) >= deadAfter:
			p.published.unreachable[domain] = unreachableDomain{since: domainState.since, state: endpoint.Dead}
			p.published.domainsChanged = true
		}
	}
}
