package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/label"
	"marjoramsaddle/core/manifest"
)

// The labels of the fleet's documents.
const (
	labelDomain  = "failure_domain"
	labelService = "service"
)

const (
	orderTimeoutMS     = 3_000
	lookupTimeoutMS    = 1_000
	fileTimeoutMS      = 10_000
	baseQueueMS        = 100
	queueRangeMS       = 100
	maxAttempts        = 2
	retryBudgetPercent = 10
	// maxPartSize is well below the platform's limit of a value, so that the change of
	// one document replaces only a small part.
	maxPartSize = 256 << 10
)

// policyName returns the name of the configuration that holds a service's limits.
func policyName(service id.Service) string { return "policy-" + string(service) }

// documents returns the fleet's documents: routes, services with their policies, and
// proxies, always in the same order.
func (l *Layout) documents() []any {
	documents := make([]any, 0, 1+2*len(l.Services)+len(l.Hosts))
	documents = append(documents, l.routes())
	for _, service := range l.Services {
		documents = append(documents, document.Service{
			Kind:        document.KindService,
			Name:        service.Name,
			Labels:      label.Set{labelService: string(service.Name)},
			Slots:       service.Slots,
			Connections: service.Connections,
		}, policy(service.Name, baseQueueMS))
	}
	for _, host := range l.Hosts {
		documents = append(documents, document.Proxy{
			Kind:   document.KindProxy,
			Name:   host.Name,
			Labels: label.Set{labelDomain: string(host.Domain), labelService: string(host.Service.Name)},
		})
	}
	for i := len(l.Hosts); i < l.proxies; i++ {
		documents = append(documents, l.placeholderProxy(i))
	}
	return documents
}

// placeholderProxy returns a proxy document for a host that this fleet does not run.
func (l *Layout) placeholderProxy(index int) document.Proxy {
	domain, service := l.Domains[index%len(l.Domains)], l.Services[index%len(l.Services)].Name
	return document.Proxy{
		Kind:   document.KindProxy,
		Name:   id.Host(fmt.Sprintf("%s-%s-%d", service, domain, index)),
		Labels: label.Set{labelDomain: string(domain), labelService: string(service)},
	}
}

// routes directs /internal to the second service and all other paths to the first.
func (l *Layout) routes() document.Configuration {
	primary, secondary := l.Services[0].Name, l.Services[1].Name
	order := func(name, prefix string) document.Route {
		return document.Route{
			Name: name, PathPrefix: prefix, Methods: []string{"POST"}, Service: primary,
			TimeoutMS: orderTimeoutMS, Class: document.ClassOrder,
		}
	}
	get := func(name, prefix string, service id.Service, timeoutMS int, class document.Class) document.Route {
		return document.Route{
			Name: name, PathPrefix: prefix, Methods: []string{"GET"}, Service: service,
			TimeoutMS: timeoutMS, Idempotent: true, Class: class,
		}
	}
	return document.Configuration{
		Kind: document.KindConfiguration,
		Name: "routes",
		Routes: []document.Route{
			order("orders", "/orders"),
			order("reservations", "/reservations"),
			get("stock", "/stock", primary, lookupTimeoutMS, document.ClassLookup),
			get("files", "/files", primary, fileTimeoutMS, document.ClassLookup),
			get("internal", "/internal", secondary, lookupTimeoutMS, document.ClassInternal),
		},
	}
}

func policy(service id.Service, queue int) document.Configuration {
	tries, budget := maxAttempts, retryBudgetPercent
	return document.Configuration{
		Kind:            document.KindConfiguration,
		Name:            policyName(service),
		ServiceSelector: label.Selector{MatchLabels: label.Set{labelService: string(service)}},
		Limits:          document.Limits{QueueMS: &queue},
		Retries:         document.Retries{Attempts: &tries, BudgetPercent: &budget},
	}
}

// replacePolicy replaces the policy of a random service by one with another queue
// time.
func (l *Layout) replacePolicy(documents []any, random *rand.Rand) {
	service := l.Services[random.IntN(len(l.Services))].Name
	for i, d := range documents {
		old, ok := d.(document.Configuration)
		if !ok || old.Name != policyName(service) {
			continue
		}
		queue := baseQueueMS + random.IntN(queueRangeMS)
		if queue == *old.Limits.QueueMS {
			queue++
		}
		documents[i] = policy(service, queue)
	}
}

// part holds a manifest's entry for a part and the part's bytes.
type part struct {
	manifest.Part
	data []byte
}

// split encodes the documents into parts of at most about maxPartSize bytes.
func split(documents []any) ([]part, error) {
	var parts []part
	var raws []json.RawMessage
	size := 0
	for _, d := range documents {
		raw, err := json.Marshal(d)
		if err != nil {
			return nil, fmt.Errorf("encode document: %w", err)
		}
		if size+len(raw) > maxPartSize {
			parts = append(parts, newPart(raws))
			raws, size = nil, 0
		}
		raws = append(raws, raw)
		size += len(raw) + 1
	}
	return append(parts, newPart(raws)), nil
}

func newPart(raws []json.RawMessage) part {
	data, err := json.Marshal(raws)
	if err != nil {
		// An array of valid JSON documents always encodes.
		panic(err)
	}
	return part{manifest.Part{SHA256: id.DigestOf(data), Bytes: len(data)}, data}
}
