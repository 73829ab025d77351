// Package document decodes and validates the documents that operators write: services,
// proxies and configurations.
//
// Decoding is strict and its result depends only on the bytes, so every daemon accepts
// or rejects the same documents.
//
// # Usage
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

// Kind says which type of document a JSON object holds.
type Kind string

// The kinds of documents.
const (
	KindService       Kind = "service"
	KindProxy         Kind = "proxy"
	KindConfiguration Kind = "configuration"
)

// Key identifies one document.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Less reports whether k sorts before other: by kind, then by name.
func (k Key) Less(other Key) bool {
	if k.Kind != other.Kind {
		return k.Kind < other.Kind
	}
	return k.Name < other.Name
}

// String returns the key as kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Service describes one service and the capacity of each of its backend servers.
type Service struct {
	Kind   Kind       `json:"kind"`
	Name   id.Service `json:"name"`
	Labels label.Set  `json:"labels,omitempty"`
	// Slots is the number of calls that one backend server runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that one backend server accepts.
	Connections int `json:"connections"`
	// ColdStartMS is how long the load of a backend server ramps up after its start,
	// in milliseconds.
	ColdStartMS int `json:"cold_start_ms,omitempty"`
}

// Proxy assigns labels to the proxy on one host.
type Proxy struct {
	Kind   Kind      `json:"kind"`
	Name   id.Host   `json:"name"`
	Labels label.Set `json:"labels,omitempty"`
}

// Configuration sets routes for the proxies that ProxySelector matches, and limits and
// retries for the services that ServiceSelector matches.
type Configuration struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Priority decides between configurations that set the same field: the higher one
	// wins. At equal priority, the lexically smaller name wins.
	Priority        int            `json:"priority,omitempty"`
	ProxySelector   label.Selector `json:"proxy_selector,omitempty"`
	ServiceSelector label.Selector `json:"service_selector,omitempty"`
	Routes          []Route        `json:"routes,omitempty"`
	Limits          Limits         `json:"limits,omitempty"`
	Retries         Retries        `json:"retries,omitempty"`
}

// Class is the priority class of the calls of a route.
type Class string

// The priority classes, from the most to the least important.
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
	// TimeoutMS bounds the time from the arrival of a call to the end of its
	// response, in milliseconds.
	TimeoutMS int `json:"timeout_ms"`
	// Idempotent permits retries of a call whose outcome is unknown.
	Idempotent bool  `json:"idempotent,omitempty"`
	Class      Class `json:"class"`
}

// Limits bounds the calls to a service. Nil fields are not set.
type Limits struct {
	// CallsPerSecond bounds the rate of calls that one daemon accepts for the
	// service.
	CallsPerSecond *int `json:"calls_per_s,omitempty"`
	// BodyBytes bounds the size of one request body.
	BodyBytes *int64 `json:"body_bytes,omitempty"`
	// QueueMS bounds the wait for a free slot, in milliseconds.
	QueueMS *int `json:"queue_ms,omitempty"`
}

// Retries bounds the retries of calls to a service. Nil fields are not set.
type Retries struct {
	// Attempts is the maximum number of attempts of one call, including the first.
	Attempts *int `json:"attempts,omitempty"`
	// BudgetPercent bounds the retries as a percentage of first attempts.
	BudgetPercent *int `json:"budget_percent,omitempty"`
}
