package census

import (
	"maps"
	"slices"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/message"
)

// localCensus returns the result for this host alone.
func (p *plugin) localCensus() *message.DomainCensus {
	version := uint64(p.shared.InForceVersion())
	census := newDomainCensus(p.env.Self.Domain)
	census.InForce[version] = 1
	census.Hosts[string(p.env.Self.Host)] = version
	if p.shared.Refused != 0 {
		census.Refused[uint64(p.shared.Refused)] = p.shared.RefusedReason
	}
	return census
}

func newDomainCensus(domain id.Domain) *message.DomainCensus {
	return &message.DomainCensus{
		FailureDomain: string(domain),
		InForce:       map[uint64]uint32{},
		Refused:       map[uint64]string{},
		Hosts:         map[string]uint64{},
	}
}

func (q *query) domain(domain id.Domain) *message.DomainCensus {
	census, exists := q.domains[domain]
	if !exists {
		census = newDomainCensus(domain)
		q.domains[domain] = census
	}
	return census
}

// merge adds a partial result. Hosts that are already counted are skipped.
func (q *query) merge(partial *message.DomainCensus) {
	total := q.domain(id.Domain(partial.GetFailureDomain()))
	for host, version := range partial.GetHosts() {
		if _, counted := total.Hosts[host]; !counted {
			total.Hosts[host] = version
			total.InForce[version]++
		}
	}
	// Two hosts may report different reasons for the same refused version. Keeping
	// the smaller one makes the result independent of the order of arrival.
	for version, reason := range partial.GetRefused() {
		if old, known := total.Refused[version]; !known || reason < old {
			total.Refused[version] = reason
		}
	}
}

// sortedByDomain returns the results ordered by failure domain.
func (q *query) sortedByDomain() []*message.DomainCensus {
	out := make([]*message.DomainCensus, 0, len(q.domains))
	for _, domain := range slices.Sorted(maps.Keys(q.domains)) {
		out = append(out, q.domains[domain])
	}
	return out
}

// addMissingAndBehind adds what only the querying host can determine: which hosts are
// behind the newest version and which known hosts did not reply.
func (p *plugin) addMissingAndBehind(q *query) {
	var newest uint64
	for _, domain := range q.domains {
		for version := range domain.InForce {
			newest = max(newest, version)
		}
	}
	for _, domain := range q.domains {
		for _, host := range slices.Sorted(maps.Keys(domain.Hosts)) {
			if domain.Hosts[host] < newest {
				domain.Behind = append(domain.Behind, host)
			}
		}
	}
	p.shared.Table.Each(func(entry *endpoint.Entry) {
		domain := q.domain(entry.Domain)
		_, counted := domain.Hosts[string(entry.Host)]
		if !counted {
			domain.Missing = append(domain.Missing, string(entry.Host))
		}
	})
}
