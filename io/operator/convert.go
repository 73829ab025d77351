package operator

import (
	"cmp"
	"slices"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/snapshot"
	gen "marjoramsaddle/gen/operator"
)

// newFleetStatus converts a status to the result type of the goa design.
func newFleetStatus(host id.Host, readiness kernel.Readiness, status Status, now id.Instant) *gen.FleetStatus {
	out := &gen.FleetStatus{
		Host:      string(host),
		Held:      uint64(status.Held),
		InForce:   uint64(status.InForce),
		Readiness: readiness.String(),
		AgeMs:     max(0, int64(now.Sub(status.AsOf)/time.Millisecond)),
		Domains:   make([]*gen.DomainStatus, 0, len(status.Domains)),
	}
	if status.IgnoredIndex > 0 {
		index := uint64(status.IgnoredIndex)
		out.IgnoredIndex = &index
	}
	newest := newestVersionInForce(status)
	for _, domain := range status.Domains {
		out.Domains = append(out.Domains, newDomainStatus(domain, newest))
	}
	slices.SortFunc(out.Domains, func(a, b *gen.DomainStatus) int {
		return cmp.Compare(a.FailureDomain, b.FailureDomain)
	})
	return out
}

// newestVersionInForce returns the newest version in force on any host. Hosts with
// an older one are listed as behind.
func newestVersionInForce(status Status) id.Version {
	newest := status.InForce
	for _, domain := range status.Domains {
		for _, version := range domain.InForce {
			newest = max(newest, version)
		}
	}
	return newest
}

// newDomainStatus converts the status of a failure domain. Its hosts with a version
// older than newest are listed as behind.
func newDomainStatus(domain Domain, newest id.Version) *gen.DomainStatus {
	out := &gen.DomainStatus{
		FailureDomain: string(domain.Name),
		Versions:      countVersions(domain.InForce),
		Behind:        []*gen.HostVersion{},
		Unanswered:    []string{},
		Refused:       []*gen.RefusedVersion{},
	}
	for _, host := range sortedKeys(domain.InForce) {
		if version := domain.InForce[host]; version < newest {
			out.Behind = append(out.Behind, &gen.HostVersion{Host: string(host), Version: uint64(version)})
		}
	}
	for _, host := range domain.Unanswered {
		out.Unanswered = append(out.Unanswered, string(host))
	}
	slices.Sort(out.Unanswered)
	for _, version := range sortedKeys(domain.Refused) {
		out.Refused = append(out.Refused, &gen.RefusedVersion{Version: uint64(version), Reason: domain.Refused[version]})
	}
	return out
}

// countVersions returns the number of hosts of each version, newest first.
func countVersions(inForce map[id.Host]id.Version) []*gen.VersionCount {
	hosts := map[id.Version]int{}
	for _, version := range inForce {
		hosts[version]++
	}
	out := make([]*gen.VersionCount, 0, len(hosts))
	for _, version := range sortedKeys(hosts) {
		out = append(out, &gen.VersionCount{Version: uint64(version), Hosts: hosts[version]})
	}
	slices.Reverse(out)
	return out
}

// NewProxyView converts a view to the result type of the goa design.
func NewProxyView(view *snapshot.View) *gen.ProxyView {
	out := &gen.ProxyView{
		Host:     string(view.Host),
		Version:  uint64(view.Version),
		Digest:   view.Digest.String(),
		Labels:   map[string]string{},
		Routes:   make([]*gen.Route, 0, len(view.Routes)),
		Policies: make([]*gen.Policy, 0, len(view.Policies)),
	}
	for key, value := range view.Labels {
		out.Labels[key] = value
	}
	for _, route := range view.Routes {
		out.Routes = append(out.Routes, newRoute(route))
	}
	for _, name := range sortedKeys(view.Policies) {
		out.Policies = append(out.Policies, newPolicy(view.Policies[name]))
	}
	return out
}

func newRoute(route snapshot.Route) *gen.Route {
	return &gen.Route{
		Name:       route.Name,
		PathPrefix: route.PathPrefix,
		Methods:    append([]string{}, route.Methods...),
		Service:    string(route.Service),
		TimeoutMs:  route.TimeoutMS,
		Idempotent: route.Idempotent,
		Class:      string(route.Class),
		Origin:     route.Origin,
	}
}

func newPolicy(policy snapshot.Policy) *gen.Policy {
	origins := make(map[string]string, len(policy.Origins))
	for field, origin := range policy.Origins {
		origins[field] = origin
	}
	return &gen.Policy{
		Service:       string(policy.Service.Name),
		Slots:         policy.Service.Slots,
		Connections:   policy.Service.Connections,
		ColdStartMs:   policy.Service.ColdStartMS,
		CallsPerS:     policy.CallsPerSecond,
		BodyBytes:     policy.BodyBytes,
		QueueMs:       policy.QueueMS,
		Attempts:      policy.Attempts,
		BudgetPercent: policy.BudgetPercent,
		Origins:       origins,
	}
}

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
