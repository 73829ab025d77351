package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/label"
	"marjoramsaddle/core/manifest"
	"marjoramsaddle/core/snapshot"
	"marjoramsaddle/core/topology"
)

const (
	// domains and regions are those of the target size.
	domains = 12
	regions = 4
	// The sizes of a backend server, as those of the counter today.
	slots       = 20
	connections = 130
	// routeTimeoutMS is the deadline of each generated route.
	routeTimeoutMS = 10_000
	// basePolicyMS and policySpreadMS bound the generated queue limits.
	basePolicyMS   = 50
	policySpreadMS = 1_000_000
	// partDocuments is the number of documents in one part.
	partDocuments = 1500
	// firstVersion leaves room below it for versions that must be refused.
	firstVersion = 100
)

// Size is the size of a generated fleet.
type Size struct {
	Endpoints int `json:"endpoints"`
	Services  int `json:"services"`
}

// world is a generated fleet: its endpoint table and its configuration.
type world struct {
	size    Size
	random  *rand.Rand
	table   *endpoint.Table
	hosts   []id.Host
	current *snapshot.Snapshot
}

func newWorld(size Size, seed uint64) (*world, error) {
	w := &world{size: size, random: rand.New(rand.NewPCG(seed, uint64(size.Endpoints))), table: endpoint.NewTable()}
	for index := range size.Endpoints {
		entry := w.entry(index)
		w.table.Merge(entry)
		w.hosts = append(w.hosts, entry.Host)
	}
	set := document.NewSet()
	data, err := json.Marshal(w.documents())
	if err != nil {
		return nil, err
	}
	if err := set.Add("generated", data); err != nil {
		return nil, err
	}
	if err := set.Validate(); err != nil {
		return nil, err
	}
	w.current = snapshot.New(firstVersion, set)
	return w, nil
}

func domainName(index int) id.Domain { return id.Domain(fmt.Sprintf("domain-%02d", index%domains)) }

func serviceName(index int) id.Service { return id.Service(fmt.Sprintf("service-%03d", index)) }

func (w *world) entry(index int) endpoint.Entry {
	domain := index % domains
	service := serviceName(index % w.size.Services)
	return endpoint.Entry{
		Host:        id.Host(fmt.Sprintf("%s-d%02d-%04d", service, domain, index)),
		Domain:      domainName(index),
		Region:      id.Region(fmt.Sprintf("region-%d", domain%regions)),
		Service:     service,
		Control:     fmt.Sprintf("10.%d.%d.%d:7000", domain, index>>8, index&0xff),
		Hop:         fmt.Sprintf("10.%d.%d.%d:7001", domain, index>>8, index&0xff),
		Incarnation: id.Incarnation(1_700_000_000_000_000_000 + index),
		Sequence:    1,
		Slots:       slots,
		Started:     id.Instant(1_700_000_000_000_000_000 + index),
	}
}

func (w *world) documents() []any {
	list := make([]any, 0, w.size.Endpoints+2*w.size.Services)
	for index := range w.size.Services {
		name := serviceName(index)
		list = append(list, document.Service{
			Kind: document.KindService, Name: name, Labels: label.Set{"service": string(name)},
			Slots: callSlots, Connections: connections,
		}, policyOf(index, basePolicyMS))
	}
	for index, host := range w.hosts {
		list = append(list, document.Proxy{Kind: document.KindProxy, Name: host, Labels: label.Set{
			"failure_domain": string(domainName(index)), "service": string(serviceName(index % w.size.Services)),
		}})
	}
	return list
}

// policyOf has one route to the service and its limits, so that a set has one
// route and one configuration per service.
func policyOf(index, queueMS int) document.Configuration {
	name := serviceName(index)
	attempts, budget := 2, 10
	return document.Configuration{
		Kind: document.KindConfiguration, Name: "policy-" + string(name),
		ServiceSelector: label.Selector{MatchLabels: label.Set{"service": string(name)}},
		Routes: []document.Route{{
			Name: "route-" + string(name), PathPrefix: "/" + string(name), Methods: []string{"GET", "POST"},
			Service: name, TimeoutMS: routeTimeoutMS, Idempotent: true, Class: document.ClassLookup,
		}},
		Limits:  document.Limits{QueueMS: &queueMS},
		Retries: document.Retries{Attempts: &attempts, BudgetPercent: &budget},
	}
}

// change changes the policy of one service and returns the next snapshot.
func (w *world) change() (*snapshot.Snapshot, error) {
	service := w.random.IntN(w.size.Services)
	changed := policyOf(service, basePolicyMS+1+w.random.IntN(policySpreadMS))
	raw, err := json.Marshal(changed)
	if err != nil {
		return nil, err
	}
	key := document.Key{Kind: document.KindConfiguration, Name: changed.Name}
	set := w.current.Documents().Without(map[document.Key]bool{key: true})
	if err := set.AddDocument("generated", raw); err != nil {
		return nil, err
	}
	w.current = snapshot.New(w.current.Version+1, set)
	return w.current, nil
}

// churn raises the sequence of a host that is none of the given ones, and
// turns its state between alive and leaving.
func (w *world) churn(kept map[id.Host]bool) endpoint.Entry {
	for {
		entry, known := w.table.Get(w.hosts[w.random.IntN(len(w.hosts))])
		if !known || kept[entry.Host] {
			continue
		}
		entry.Sequence++
		entry.State = endpoint.Leaving - entry.State
		w.table.Merge(entry)
		return entry
	}
}

// leaf returns a host that does not read the platform, with the hosts that it
// dials and that dial it.
func (w *world) leaf() (endpoint.Entry, topology.View) {
	for _, host := range w.hosts {
		view := topology.Compute(w.table, host)
		if !view.IsReader {
			entry, _ := w.table.Get(host)
			return entry, view
		}
	}
	entry, _ := w.table.Get(w.hosts[0])
	return entry, topology.Compute(w.table, w.hosts[0])
}

// publication splits the documents into parts.
func publication(list []any) (*manifest.Manifest, map[id.Digest][]byte, error) {
	whole, parts := &manifest.Manifest{Format: manifest.Format}, map[id.Digest][]byte{}
	for start := 0; start < len(list); start += partDocuments {
		data, err := json.Marshal(list[start:min(start+partDocuments, len(list))])
		if err != nil {
			return nil, nil, err
		}
		part := manifest.Part{SHA256: id.DigestOf(data), Bytes: len(data)}
		whole.Parts = append(whole.Parts, part)
		parts[part.SHA256] = data
	}
	return whole, parts, nil
}
