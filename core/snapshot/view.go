package snapshot

import (
	"slices"
	"strings"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/label"
)

// Defaults of fields that no configuration sets.
const (
	DefaultBodyBytes     = 64 << 20
	DefaultQueueMS       = 100
	DefaultAttempts      = 2
	DefaultBudgetPercent = 10
)

// Route is a route and the name of the configuration that defines it.
type Route struct {
	document.Route
	Origin string
}

// Policy holds the limits and retry settings that a proxy applies to the calls of one
// service.
type Policy struct {
	Service document.Service
	// CallsPerSecond is the maximum rate of accepted calls; zero means no limit.
	CallsPerSecond int
	BodyBytes      int64
	QueueMS        int
	Attempts       int
	BudgetPercent  int
	// Origins maps each field that is set to the name of the configuration that sets
	// it.
	Origins map[string]string
}

// View is the compiled configuration of one proxy. It is immutable and consistent:
// every route leads to a policy of the same version.
type View struct {
	Version  id.Version
	Digest   id.Digest
	Host     id.Host
	Labels   label.Set
	Routes   []Route
	Policies map[id.Service]Policy
}

// View compiles the configuration for the proxy on host.
func (s *Snapshot) View(host id.Host) *View {
	labels := s.set.Proxies[host].Labels
	view := &View{
		Version:  s.Version,
		Digest:   s.Digest,
		Host:     host,
		Labels:   labels,
		Policies: make(map[id.Service]Policy, len(s.set.Services)),
	}
	matching := s.matching(labels)
	view.Routes = mergeRoutes(matching)
	index := newSelectorIndex(matching)
	for name, service := range s.set.Services {
		view.Policies[name] = mergePolicy(service, index.candidates(service.Labels))
	}
	return view
}

// matching returns the configurations that apply to a proxy with the given labels, in
// order of descending precedence.
func (s *Snapshot) matching(labels label.Set) []document.Configuration {
	var out []document.Configuration
	for _, configuration := range s.set.Configurations {
		if configuration.ProxySelector.Matches(labels) {
			out = append(out, configuration)
		}
	}
	slices.SortFunc(out, func(a, b document.Configuration) int {
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		return strings.Compare(a.Name, b.Name)
	})
	return out
}

func mergeRoutes(configurations []document.Configuration) []Route {
	var out []Route
	seen := map[string]bool{}
	for _, configuration := range configurations {
		for _, route := range configuration.Routes {
			if seen[route.Name] {
				continue
			}
			seen[route.Name] = true
			out = append(out, Route{Route: route, Origin: configuration.Name})
		}
	}
	slices.SortFunc(out, func(a, b Route) int {
		if len(a.PathPrefix) != len(b.PathPrefix) {
			return len(b.PathPrefix) - len(a.PathPrefix)
		}
		return strings.Compare(a.Name, b.Name)
	})
	return out
}

func mergePolicy(service document.Service, configurations []document.Configuration) Policy {
	policy := Policy{
		Service:       service,
		BodyBytes:     DefaultBodyBytes,
		QueueMS:       DefaultQueueMS,
		Attempts:      DefaultAttempts,
		BudgetPercent: DefaultBudgetPercent,
		Origins:       map[string]string{},
	}
	for _, c := range configurations {
		if !c.ServiceSelector.Matches(service.Labels) {
			continue
		}
		setOnce(&policy, &policy.CallsPerSecond, c.Limits.CallsPerSecond, "calls_per_s", c.Name)
		setOnce(&policy, &policy.BodyBytes, c.Limits.BodyBytes, "body_bytes", c.Name)
		setOnce(&policy, &policy.QueueMS, c.Limits.QueueMS, "queue_ms", c.Name)
		setOnce(&policy, &policy.Attempts, c.Retries.Attempts, "attempts", c.Name)
		setOnce(&policy, &policy.BudgetPercent, c.Retries.BudgetPercent, "budget_percent", c.Name)
	}
	return policy
}

// setOnce sets a field unless a configuration of higher precedence has set it.
func setOnce[T any](policy *Policy, field, value *T, name, origin string) {
	if value == nil || policy.Origins[name] != "" {
		return
	}
	*field = *value
	policy.Origins[name] = origin
}

// Match returns the route for a request, or nil. The longest matching path prefix
// wins; among equally long ones, the lexically smallest route name.
func (v *View) Match(method, path string) *Route {
	for index := range v.Routes {
		route := &v.Routes[index]
		if !matchesPrefix(path, route.PathPrefix) {
			continue
		}
		if len(route.Methods) == 0 || slices.Contains(route.Methods, method) {
			return route
		}
	}
	return nil
}

// DanglingRoutes returns the names of routes to services that the view lacks. It
// returns none for views made by Snapshot.View from validated documents; the daemon
// checks again before it puts a view in force.
func (v *View) DanglingRoutes() []string {
	var out []string
	for _, route := range v.Routes {
		if _, ok := v.Policies[route.Service]; !ok {
			out = append(out, route.Name)
		}
	}
	return out
}

func matchesPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
