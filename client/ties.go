package client

import (
	"cmp"
	"fmt"
	"math/big"
	"math/bits"
	"slices"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
)

// tie is a field that two configurations of equal priority both set for the
// same proxies and services.
type tie struct {
	Field string
	// Winner is the configuration with the smaller name; its value applies.
	Winner, Loser string
	Priority      int
	// ProxyCount is the number of proxies that both configurations select,
	// Proxy the first of them by name.
	ProxyCount int
	Proxy      id.Host
	// ServiceCount and Service are the same for services. They are zero
	// for a route, which does not depend on the service selector.
	ServiceCount int
	Service      id.Service
}

// String describes the tie, its winner and how to resolve it.
func (t tie) String() string {
	affected := fmt.Sprintf("%d proxies (first %s)", t.ProxyCount, t.Proxy)
	if t.ServiceCount > 0 {
		affected += fmt.Sprintf(" and %d services (first %s)", t.ServiceCount, t.Service)
	}
	return fmt.Sprintf("%s: configurations %s and %s both set it at priority %d on %s: %s wins; give one a higher priority",
		t.Field, t.Winner, t.Loser, t.Priority, affected, t.Winner)
}

// scope holds what one configuration applies to, as bit sets indexed by the
// sorted proxies and services. Pairs of configurations can then be compared
// without evaluating their selectors again.
type scope struct {
	name     string
	priority int
	proxies  *big.Int
	services *big.Int
}

// tieFinder holds the sorted names that the bit sets index, and the scopes of
// the configurations by the fields that they set.
type tieFinder struct {
	set      *document.Set
	proxies  []id.Host
	services []id.Service
	// fields maps each field to the scopes of the configurations that set it,
	// ordered by configuration name.
	fields map[string][]scope
}

// findTies returns all ties, ordered by field, winner and loser.
func findTies(set *document.Set) []tie {
	finder := &tieFinder{
		set:      set,
		proxies:  sortedKeys(set.Proxies),
		services: sortedKeys(set.Services),
		fields:   map[string][]scope{},
	}
	for _, name := range sortedKeys(set.Configurations) {
		finder.addConfiguration(set.Configurations[name])
	}
	fields := sortedKeys(finder.fields)
	out := make([]tie, 0, len(fields))
	for _, field := range fields {
		out = append(out, finder.tiesOf(field)...)
	}
	return out
}

func (f *tieFinder) addConfiguration(c document.Configuration) {
	entry := scope{name: c.Name, priority: c.Priority, proxies: new(big.Int), services: new(big.Int)}
	for index, host := range f.proxies {
		if c.ProxySelector.Matches(f.set.Proxies[host].Labels) {
			entry.proxies.SetBit(entry.proxies, index, 1)
		}
	}
	for index, name := range f.services {
		if c.ServiceSelector.Matches(f.set.Services[name].Labels) {
			entry.services.SetBit(entry.services, index, 1)
		}
	}
	for _, field := range policyFields(c) {
		f.fields[field] = append(f.fields[field], entry)
	}
	entry.services = nil // routes do not depend on the service selector
	for _, route := range c.Routes {
		field := "route " + route.Name
		f.fields[field] = append(f.fields[field], entry)
	}
}

// policyFields returns the sorted names of the policy fields that c sets.
func policyFields(c document.Configuration) []string {
	set := map[string]bool{
		"limits.calls_per_s":     c.Limits.CallsPerSecond != nil,
		"limits.body_bytes":      c.Limits.BodyBytes != nil,
		"limits.queue_ms":        c.Limits.QueueMS != nil,
		"retries.attempts":       c.Retries.Attempts != nil,
		"retries.budget_percent": c.Retries.BudgetPercent != nil,
	}
	var out []string
	for _, field := range sortedKeys(set) {
		if set[field] {
			out = append(out, field)
		}
	}
	return out
}

func (f *tieFinder) tiesOf(field string) []tie {
	var out []tie
	setters := f.fields[field]
	for index, winner := range setters {
		for _, loser := range setters[index+1:] {
			if winner.priority != loser.priority {
				continue
			}
			if found, ok := f.overlap(field, winner, loser); ok {
				out = append(out, found)
			}
		}
	}
	return out
}

func (f *tieFinder) overlap(field string, winner, loser scope) (tie, bool) {
	proxies := new(big.Int).And(winner.proxies, loser.proxies)
	if proxies.Sign() == 0 {
		return tie{}, false
	}
	out := tie{
		Field: field, Winner: winner.name, Loser: loser.name, Priority: winner.priority,
		ProxyCount: popCount(proxies), Proxy: f.proxies[proxies.TrailingZeroBits()],
	}
	if winner.services == nil {
		return out, true
	}
	services := new(big.Int).And(winner.services, loser.services)
	if services.Sign() == 0 {
		return tie{}, false
	}
	out.ServiceCount = popCount(services)
	out.Service = f.services[services.TrailingZeroBits()]
	return out, true
}

func popCount(set *big.Int) int {
	total := 0
	for _, word := range set.Bits() {
		total += bits.OnesCount(uint(word))
	}
	return total
}

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
