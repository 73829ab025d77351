// Package route holds a complete configuration of the mesh and finds the route of a
// request.
//
// A table is built from one configuration and is immutable, so a request uses the
// same version from start to end. Among the routes of a host, the one with the
// longest path prefix matches. An invalid configuration is rejected as a whole.
//
// # Usage
//
//	table, err := route.NewTable(configuration)
//	if err != nil {
//		return err // keep the current table
//	}
//	active := table.Find("shop.example", "/orders/7")
//	service := active.NextService()
package route

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"marjoramsaddle/core/id"
)

// Configuration is one version of the configuration as published by the operators.
type Configuration struct {
	Version  id.Version
	Routes   []Route
	Services map[id.Service]Service
	Limits   Limits
}

// Route defines which requests it matches, where they go and how they are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may be executed more than once.
	Idempotent bool
	// Large marks downloads, which have large responses.
	Large bool
	// Timeout bounds the time until the caller receives a response; zero means no limit.
	Timeout time.Duration
	// Aim is the target latency, within which a response has its full value.
	Aim time.Duration
	// Priority is the rank of the requests; zero is the most urgent.
	Priority int
	// Attempts is the maximum number of backend servers to which a request is sent.
	Attempts int
	Parts    []Part
}

// Part is a service and its weight among the services of a route.
type Part struct {
	Service id.Service
	Weight  float64
}

// Service describes the backend servers of one service.
type Service struct {
	// Connections is the number of connections that a backend server accepts.
	Connections int
	// ColdStart is how long a backend server stays cold after its start.
	ColdStart time.Duration
	// ColdRate is the rate of requests that a cold backend server tolerates. Zero means
	// that cold backend servers are treated like others.
	ColdRate id.RequestRate
	// HealthPath is the path of the health check of a backend server.
	HealthPath string
}

// Limits bounds the size and the duration of a client's requests. Zero means that the
// configuration sets no limit.
type Limits struct {
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time to receive a header, IdleTimeout the time between
	// two requests of a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Error reports the invalid part of a configuration.
type Error struct {
	Version       id.Version
	Part, Problem string
}

// Error returns the version, the part, the problem and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("configuration %d: %s: %s: publish a corrected version", e.Version, e.Part, e.Problem)
}

// Table finds the route of a request. It is safe for concurrent use.
type Table struct {
	Version  id.Version
	Services map[id.Service]Service
	Limits   Limits
	// routesByHost holds the routes of each host by path prefix.
	routesByHost map[string]map[string]*ActiveRoute
	count        int
}

// ActiveRoute is a route of a table and the state of its weighted round robin.
type ActiveRoute struct {
	Route
	mu          sync.Mutex
	credit      []float64
	totalWeight float64
}

// NewTable validates a configuration and returns its table.
func NewTable(configuration Configuration) (*Table, error) {
	table := &Table{
		Version:      configuration.Version,
		Services:     configuration.Services,
		Limits:       configuration.Limits,
		routesByHost: map[string]map[string]*ActiveRoute{},
	}
	for i := range configuration.Routes {
		if err := table.add(&configuration.Routes[i]); err != nil {
			return nil, err
		}
	}
	return table, nil
}

func (t *Table) add(route *Route) error {
	invalid := func(problem string) error {
		return &Error{Version: t.Version, Part: "route " + route.Name, Problem: problem}
	}
	switch {
	case route.Host == "":
		return invalid("the host is missing")
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return invalid("the prefix must begin and end with a slash")
	case route.Timeout < 0 || route.Aim < 0 || route.Attempts < 0:
		return invalid("timeout, aim and attempts must not be negative")
	}
	active := &ActiveRoute{Route: *route, credit: make([]float64, len(route.Parts))}
	for _, part := range route.Parts {
		if _, known := t.Services[part.Service]; !known {
			return invalid("unknown service " + string(part.Service))
		}
		if part.Weight < 0 {
			return invalid("a weight must not be negative")
		}
		active.totalWeight += part.Weight
	}
	if active.totalWeight <= 0 {
		return invalid("no service")
	}
	prefixes := t.routesByHost[route.Host]
	if prefixes == nil {
		prefixes = map[string]*ActiveRoute{}
		t.routesByHost[route.Host] = prefixes
	}
	prefixes[route.Prefix] = active
	t.count++
	return nil
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return t.count }

// Find returns the route of a request, or nil. It ignores a port in host.
func (t *Table) Find(host, path string) *ActiveRoute {
	prefixes := t.routesByHost[host]
	if prefixes == nil {
		name, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil
		}
		if prefixes = t.routesByHost[name]; prefixes == nil {
			return nil
		}
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if active := prefixes[path[:end+1]]; active != nil {
			return active
		}
	}
	return nil
}

// NextService returns the service of the next request by smooth weighted round robin.
// Over any run of requests each service receives its share to within one request.
func (r *ActiveRoute) NextService() id.Service {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	best := 0
	for i, part := range r.Parts {
		r.credit[i] += part.Weight
		if r.credit[i] > r.credit[best] {
			best = i
		}
	}
	r.credit[best] -= r.totalWeight
	return r.Parts[best].Service
}
