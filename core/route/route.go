// Package route holds a whole configuration of the mesh and finds the route of
// a request.
//
// A table is built from one configuration and never changes, so a request sees
// one version from its start to its end. Among the routes of a host, the one
// with the longest prefix of the path is taken.
//
// Usage:
//
//	table, err := route.NewTable(configuration)
//	if err != nil {
//		return err // the table in force stays
//	}
//	found := table.Find("shop.example", "/orders/7")
//	service := found.Next()
package route

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"marjoramsaddle/core/id"
)

// Configuration is one version as the operators have published it.
type Configuration struct {
	Version  id.Version
	Routes   []Route
	Services map[id.Service]Service
	Limits   Limits
}

// Route says where the requests of a host and prefix go, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Large marks downloads, whose answers are long.
	Large bool
	// Timeout is the longest time that a caller is kept waiting; zero is none.
	Timeout time.Duration
	// Aim is the time within which an answer has its full worth.
	Aim time.Duration
	// Priority is the rank of the requests; zero is the most urgent.
	Priority int
	// Attempts is the number of backend servers to which a request may be sent.
	Attempts int
	Parts    []Part
}

// Part is a service with its share of the requests of a route.
type Part struct {
	Service id.Service
	Weight  float64
}

// Service describes the backend servers of one service.
type Service struct {
	// Connections is the number of connections that a backend server accepts.
	Connections int
}

// Limits bound what a client may send, and how long it may take. Zero is not
// limited by the configuration.
type Limits struct {
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the arrival of a header, IdleTimeout the time between
	// two requests of a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Error says which part of a configuration is wrong.
type Error struct {
	Version       id.Version
	Part, Problem string
}

// Error returns the part, the problem and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("configuration %d: %s: %s: publish a corrected version", e.Version, e.Part, e.Problem)
}

// Table finds routes. It is safe for concurrent use.
type Table struct {
	Version  id.Version
	Services map[id.Service]Service
	Limits   Limits
	// hosts holds the routes of each host by prefix.
	hosts map[string]map[string]*ActiveRoute
	count int
}

// ActiveRoute is a route in force with the state that shares its requests out.
type ActiveRoute struct {
	Route
	mu     sync.Mutex
	credit []float64
	total  float64
}

// NewTable checks a configuration and returns its table.
func NewTable(configuration Configuration) (*Table, error) {
	table := &Table{
		Version:  configuration.Version,
		Services: configuration.Services,
		Limits:   configuration.Limits,
		hosts:    map[string]map[string]*ActiveRoute{},
	}
	for i := range configuration.Routes {
		if err := table.add(&configuration.Routes[i]); err != nil {
			return nil, err
		}
	}
	return table, nil
}

func (t *Table) add(route *Route) error {
	fail := func(problem string) error {
		return &Error{Version: t.Version, Part: "route " + route.Name, Problem: problem}
	}
	switch {
	case route.Host == "":
		return fail("no host")
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return fail("the prefix must begin and end with a slash")
	case route.Timeout < 0 || route.Aim < 0 || route.Attempts < 0:
		return fail("a value is below zero")
	}
	found := &ActiveRoute{Route: *route, credit: make([]float64, len(route.Parts))}
	for _, part := range route.Parts {
		if _, known := t.Services[part.Service]; !known {
			return fail("unknown service " + string(part.Service))
		}
		if part.Weight < 0 {
			return fail("a weight is below zero")
		}
		found.total += part.Weight
	}
	if found.total <= 0 {
		return fail("no service")
	}
	prefixes := t.hosts[route.Host]
	if prefixes == nil {
		prefixes = map[string]*ActiveRoute{}
		t.hosts[route.Host] = prefixes
	}
	prefixes[route.Prefix] = found
	t.count++
	return nil
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return t.count }

// Find returns the route of a request, or nil.
func (t *Table) Find(host, path string) *ActiveRoute {
	prefixes := t.hosts[host]
	if prefixes == nil {
		name, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil
		}
		if prefixes = t.hosts[name]; prefixes == nil {
			return nil
		}
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if found := prefixes[path[:end+1]]; found != nil {
			return found
		}
	}
	return nil
}

// NextService returns the service of the next request. Over any run of requests each
// part gets its share to within one request.
func (f *ActiveRoute) NextService() id.Service {
	if len(f.Parts) == 1 {
		return f.Parts[0].Service
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	best := 0
	for i, part := range f.Parts {
		f.credit[i] += part.Weight
		if f.credit[i] > f.credit[best] {
			best = i
		}
	}
	f.credit[best] -= f.total
	return f.Parts[best].Service
}
