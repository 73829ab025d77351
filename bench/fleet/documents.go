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
	orderTimeoutMS  = 3_000
	lookupTimeoutMS = 1_000
	fileTimeoutMS   = 10_000
	queueMS         = 100
	queueSpreadMS   = 100
	attempts        = 2
	budgetPercent   = 10
	// partBytes stays well under the platform's limit, so that a change of one
	// document replaces a small part.
	partBytes = 256 << 10
)

// policyName returns the name of the configuration with a service's limits.
func policyName(service id.Service) string { return "policy-" + string(service) }

// documents returns the documents of the fleet in a fixed order.
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
		}, policy(service.Name, queueMS))
	}
	for _, host := range l.Hosts {
		documents = append(documents, document.Proxy{
			Kind:   document.KindProxy,
			Name:   host.Name,
			Labels: label.Set{labelDomain: string(host.Domain), labelService: string(host.Service.Name)},
		})
	}
	for i := len(l.Hosts); i < l.proxies; i++ {
		documents = append(documents, l.absentProxy(i))
	}
	return documents
}

// absentProxy returns the document of a host that this fleet does not run.
func (l *Layout) absentProxy(index int) document.Proxy {
	domain, service := l.Domains[index%len(l.Domains)], l.Services[index%len(l.Services)].Name
	return document.Proxy{
		Kind:   document.KindProxy,
		Name:   id.Host(fmt.Sprintf("%s-%s-%d", service, domain, index)),
		Labels: label.Set{labelDomain: string(domain), labelService: string(service)},
	}
}

// routes sends internal checks to the second service and all else to the first.
func (l *Layout) routes() document.Configuration {
	main, second := l.Services[0].Name, l.Services[1].Name
	order := func(name, prefix string) document.Route {
		return document.Route{
			Name: name, PathPrefix: prefix, Methods: []string{"POST"}, Service: main,
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
			get("stock", "/stock", main, lookupTimeoutMS, document.ClassLookup),
			get("files", "/files", main, fileTimeoutMS, document.ClassLookup),
			get("internal", "/internal", second, lookupTimeoutMS, document.ClassInternal),
		},
	}
}

func policy(service id.Service, queue int) document.Configuration {
	tries, budget := attempts, budgetPercent
	return document.Configuration{
		Kind:            document.KindConfiguration,
		Name:            policyName(service),
		ServiceSelector: label.Selector{MatchLabels: label.Set{labelService: string(service)}},
		Limits:          document.Limits{QueueMS: &queue},
		Retries:         document.Retries{Attempts: &tries, BudgetPercent: &budget},
	}
}

// change replaces one policy by one with another queue bound.
func (l *Layout) change(documents []any, random *rand.Rand) {
	service := l.Services[random.IntN(len(l.Services))].Name
	for i, d := range documents {
		old, ok := d.(document.Configuration)
		if !ok || old.Name != policyName(service) {
			continue
		}
		queue := queueMS + random.IntN(queueSpreadMS)
		if queue == *old.Limits.QueueMS {
			queue++
		}
		documents[i] = policy(service, queue)
	}
}

// part is one part with its bytes.
type part struct {
	manifest.Part
	data []byte
}

// split encodes the documents into parts.
func split(documents []any) ([]part, error) {
	var parts []part
	var raws []json.RawMessage
	size := 0
	for _, d := range documents {
		raw, err := json.Marshal(d)
		if err != nil {
			return nil, fmt.Errorf("encode document: %w", err)
		}
		if size+len(raw) > partBytes {
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
		// The documents are valid JSON, so that their array is, too.
		panic(err)
	}
	return part{manifest.Part{SHA256: id.DigestOf(data), Bytes: len(data)}, data}
}
