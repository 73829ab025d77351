package document

import (
	"fmt"
	"slices"
	"strings"

	"marjoramsaddle/core/id"
)

// Upper bounds of fields. Larger values are more likely typing errors than intended.
const (
	maxSlots         = 100_000
	maxConnections   = 100_000
	maxTimeoutMS     = 3_600_000
	maxAttempts      = 10
	maxBudgetPercent = 100
)

// Validate checks all documents and their references. It visits them in key order, so
// that the same set always gives the same first error.
func (s *Set) Validate() error {
	for _, key := range s.Keys() {
		if err := s.validateDocument(key); err != nil {
			err.File = s.files[key]
			err.Document = key
			return err
		}
	}
	return nil
}

func (s *Set) validateDocument(key Key) *Error {
	switch key.Kind {
	case KindService:
		return s.Services[id.Service(key.Name)].validate()
	case KindProxy:
		return s.Proxies[id.Host(key.Name)].validate()
	default:
		return s.validateConfiguration(s.Configurations[key.Name])
	}
}

func (s Service) validate() *Error {
	if err := s.Labels.Validate(); err != nil {
		return &Error{Field: "labels", Problem: err.Error(), Remedy: "correct the label"}
	}
	if err := checkRange("slots", s.Slots, 1, maxSlots); err != nil {
		return err
	}
	if err := checkRange("connections", s.Connections, 1, maxConnections); err != nil {
		return err
	}
	return checkRange("cold_start_ms", s.ColdStartMS, 0, maxTimeoutMS)
}

func (p Proxy) validate() *Error {
	if err := p.Labels.Validate(); err != nil {
		return &Error{Field: "labels", Problem: err.Error(), Remedy: "correct the label"}
	}
	return nil
}

func (s *Set) validateConfiguration(c Configuration) *Error {
	if err := c.ProxySelector.Validate(); err != nil {
		return &Error{Field: "proxy_selector", Problem: err.Error(), Remedy: "correct the selector"}
	}
	if err := c.ServiceSelector.Validate(); err != nil {
		return &Error{Field: "service_selector", Problem: err.Error(), Remedy: "correct the selector"}
	}
	names := map[string]bool{}
	for index, route := range c.Routes {
		field := fmt.Sprintf("routes[%d]", index)
		if names[route.Name] {
			return &Error{Field: field + ".name", Problem: fmt.Sprintf("%q is used twice", route.Name), Remedy: "rename one route"}
		}
		names[route.Name] = true
		if err := s.validateRoute(route); err != nil {
			err.Field = field + "." + err.Field
			return err
		}
	}
	if err := c.Limits.validate(); err != nil {
		return err
	}
	return c.Retries.validate()
}

func (s *Set) validateRoute(route Route) *Error {
	if route.Name == "" {
		return &Error{Field: "name", Problem: "missing", Remedy: "name the route"}
	}
	if !strings.HasPrefix(route.PathPrefix, "/") {
		return &Error{Field: "path_prefix", Problem: fmt.Sprintf("%q does not start with /", route.PathPrefix), Remedy: "start it with /"}
	}
	if _, ok := s.Services[route.Service]; !ok {
		return &Error{
			Field: "service", Problem: fmt.Sprintf("service %q is not defined", route.Service),
			Remedy: "define the service or remove the route",
		}
	}
	for _, method := range route.Methods {
		if method == "" || method != strings.ToUpper(method) {
			return &Error{Field: "methods", Problem: fmt.Sprintf("%q is not an HTTP method", method), Remedy: "write methods in capitals"}
		}
	}
	classes := []Class{ClassOrder, ClassLookup, ClassInternal}
	if !slices.Contains(classes, route.Class) {
		return &Error{Field: "class", Problem: fmt.Sprintf("unknown class %q", route.Class), Remedy: "use order, lookup or internal"}
	}
	return checkRange("timeout_ms", route.TimeoutMS, 1, maxTimeoutMS)
}

func (l Limits) validate() *Error {
	if l.CallsPerSecond != nil && *l.CallsPerSecond < 1 {
		return &Error{Field: "limits.calls_per_s", Problem: "below 1", Remedy: "use at least 1"}
	}
	if l.BodyBytes != nil && *l.BodyBytes < 0 {
		return &Error{Field: "limits.body_bytes", Problem: "negative", Remedy: "use 0 or more"}
	}
	if l.QueueMS != nil {
		return checkRange("limits.queue_ms", *l.QueueMS, 0, maxTimeoutMS)
	}
	return nil
}

func (r Retries) validate() *Error {
	if r.Attempts != nil {
		if err := checkRange("retries.attempts", *r.Attempts, 1, maxAttempts); err != nil {
			return err
		}
	}
	if r.BudgetPercent != nil {
		return checkRange("retries.budget_percent", *r.BudgetPercent, 0, maxBudgetPercent)
	}
	return nil
}

func checkRange(field string, value, lowest, highest int) *Error {
	if value >= lowest && value <= highest {
		return nil
	}
	return &Error{
		Field: field, Problem: fmt.Sprintf("%d is out of range", value),
		Remedy: fmt.Sprintf("use %d to %d", lowest, highest),
	}
}
