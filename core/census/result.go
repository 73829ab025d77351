package census

import (
	"maps"
	"slices"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/message"
)

// ownCensus returns the answer of this host alone.
func (p *plugin) ownCensus() *message.DomainCensus {
	version := uint64(p.shared.InForceVersion())
	own := newDomain(p.env.Self.Domain)
	own.InForce[version] = 1
	own.Hosts[string(p.env.Self.Host)] = version
	if p.shared.Refused != 0 {
		own.Refused[uint64(p.shared.Refused)] = p.shared.RefusedReason
	}
	return own
}

func newDomain(domain id.Domain) *message.DomainCensus {
	return &message.DomainCensus{
		FailureDomain: string(domain),
		InForce:       map[uint64]uint32{},
		Refused:       map[uint64]string{},
		Hosts:         map[string]uint64{},
	}
}

func (q *query) domain(domain id.Domain) *message.DomainCensus {
	known, exists := q.domains[domain]
	if !exists {
		known = newDomain(domain)
		q.domains[domain] = known
	}
	return known
}

// add adds the answers of further hosts. A host that is already counted is
// left out.
func (q *query) add(part *message.DomainCensus) {
	sum := q.domain(id.Domain(part.GetFailureDomain()))
	for host, version := range part.GetHosts() {
		if _, counted := sum.Hosts[host]; !counted {
			sum.Hosts[host] = version
			sum.InForce[version]++
		}
	}
	// Two hosts may give different texts for one refused version; the smaller
	// one stays, whatever the order of arrival.
	for version, reason := range part.GetRefused() {
		if old, known := sum.Refused[version]; !known || reason < old {
			sum.Refused[version] = reason
		}
	}
}

// sorted returns the sums ordered by failure domain.
func (q *query) sorted() []*message.DomainCensus {
	out := make([]*message.DomainCensus, 0, len(q.domains))
	for _, domain := range slices.Sorted(maps.Keys(q.domains)) {
		out = append(out, q.domains[domain])
	}
	return out
}

// complete adds what only the asking host can tell: which hosts are behind the
// newest version and which known hosts did not answer.
func (p *plugin) complete(asked *query) {
	var newest uint64
	for _, domain := range asked.domains {
		for version := range domain.InForce {
			newest = max(newest, version)
		}
	}
	for _, domain := range asked.domains {
		for _, host := range slices.Sorted(maps.Keys(domain.Hosts)) {
			if domain.Hosts[host] < newest {
				domain.Behind = append(domain.Behind, host)
			}
		}
	}
	p.shared.Table.Each(func(entry *endpoint.Entry) {
		domain := asked.domain(entry.Domain)
		_, counted := domain.Hosts[string(entry.Host)]
		if !counted {
			domain.Missing = append(domain.Missing, string(entry.Host))
		}
	})
}
