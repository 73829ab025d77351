// Package document holds the documents that operators edit: services, proxies
// and configurations. Decoding is strict, and its result depends only on the
// bytes, so every daemon accepts or refuses the same documents.
//
// Usage:
//
//	set := document.NewSet()
//	if err := set.Add("services.json", data); err != nil {
//		return err // names file, document, field and remedy
//	}
//	if err := set.Validate(); err != nil {
//		return err
//	}
package document

import (
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/label"
)

// Kind tells the documents apart.
type Kind string

// The kinds of documents.
const (
	KindService       Kind = "service"
	KindProxy         Kind = "proxy"
	KindConfiguration Kind = "configuration"
)

// Key names one document.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Less orders keys by kind, then name.
func (k Key) Less(other Key) bool {
	if k.Kind != other.Kind {
		return k.Kind < other.Kind
	}
	return k.Name < other.Name
}

// String returns the key as kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Service describes one service and the sizes of its backend servers.
type Service struct {
	Kind   Kind       `json:"kind"`
	Name   id.Service `json:"name"`
	Labels label.Set  `json:"labels,omitempty"`
	// Slots is the number of calls that one backend server runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that one backend server accepts.
	Connections int `json:"connections"`
	// ColdStartMS is the ramp after a start, in milliseconds.
	ColdStartMS int `json:"cold_start_ms,omitempty"`
}

// Proxy labels the proxy on one host.
type Proxy struct {
	Kind   Kind      `json:"kind"`
	Name   id.Host   `json:"name"`
	Labels label.Set `json:"labels,omitempty"`
}

// Configuration applies routes to the proxies and policies to the services
// that its selectors match.
type Configuration struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Priority decides between configurations that set the same field. The
	// higher one wins; at the same priority the lexically smaller name wins.
	Priority        int            `json:"priority,omitempty"`
	ProxySelector   label.Selector `json:"proxy_selector,omitempty"`
	ServiceSelector label.Selector `json:"service_selector,omitempty"`
	Routes          []Route        `json:"routes,omitempty"`
	Limits          Limits         `json:"limits,omitempty"`
	Retries         Retries        `json:"retries,omitempty"`
}

// Class is the priority class of the calls of one route.
type Class string

// The classes, from the most to the least important.
const (
	ClassOrder    Class = "order"
	ClassLookup   Class = "lookup"
	ClassInternal Class = "internal"
)

// Route sends the calls that match it to a service.
type Route struct {
	Name string `json:"name"`
	// PathPrefix matches whole path segments; the longest match wins.
	PathPrefix string `json:"path_prefix"`
	// Methods lists the HTTP methods that match; an empty list matches all.
	Methods []string   `json:"methods,omitempty"`
	Service id.Service `json:"service"`
	// TimeoutMS bounds a call from its arrival to the end of its answer, in
	// milliseconds.
	TimeoutMS int `json:"timeout_ms"`
	// Idempotent allows a call to be repeated when its outcome is unknown.
	Idempotent bool  `json:"idempotent,omitempty"`
	Class      Class `json:"class"`
}

// Limits bounds the calls to a service. A nil field is not set.
type Limits struct {
	// CallsPerSecond bounds the calls that one daemon accepts for the service.
	CallsPerSecond *int `json:"calls_per_s,omitempty"`
	// BodyBytes bounds the body of one request.
	BodyBytes *int64 `json:"body_bytes,omitempty"`
	// QueueMS bounds the wait for a slot, in milliseconds.
	QueueMS *int `json:"queue_ms,omitempty"`
}

// Retries bounds the repeats of calls to a service. A nil field is not set.
type Retries struct {
	// Attempts is the greatest number of attempts of one call, the first
	// included.
	Attempts *int `json:"attempts,omitempty"`
	// BudgetPercent bounds repeats as a share of first attempts.
	BudgetPercent *int `json:"budget_percent,omitempty"`
}
