package client

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/label"
)

// drawSet generates a few proxies, services and configurations. Labels and
// priorities take few values, so that many configurations overlap.
func drawSet(t *rapid.T) *document.Set {
	set := document.NewSet()
	labels := rapid.MapOfN(rapid.SampledFrom([]string{"a", "b"}), rapid.SampledFrom([]string{"x", "y"}), 0, 2)
	for index := range rapid.IntRange(1, 4).Draw(t, "hosts") {
		name := id.Host(fmt.Sprint("host", index))
		set.Proxies[name] = document.Proxy{Name: name, Labels: label.Set(labels.Draw(t, "proxy labels"))}
		service := id.Service(fmt.Sprint("service", index))
		set.Services[service] = document.Service{Name: service, Labels: label.Set(labels.Draw(t, "service labels"))}
	}
	for index := range rapid.IntRange(0, 5).Draw(t, "configurations") {
		c := document.Configuration{
			Name:            fmt.Sprint("configuration", index),
			Priority:        rapid.IntRange(0, 1).Draw(t, "priority"),
			ProxySelector:   label.Selector{MatchLabels: label.Set(labels.Draw(t, "proxy selector"))},
			ServiceSelector: label.Selector{MatchLabels: label.Set(labels.Draw(t, "service selector"))},
		}
		if rapid.Bool().Draw(t, "limit") {
			c.Limits.QueueMS = new(int)
		}
		if rapid.Bool().Draw(t, "route") {
			c.Routes = []document.Route{{Name: "r"}}
		}
		set.Configurations[c.Name] = c
	}
	return set
}

// overlaps returns the proxies and services for which both configurations set
// the queue limit or the route, found by evaluating every selector.
func overlaps(set *document.Set, a, b document.Configuration) (queue, route map[string]bool) {
	queue, route = map[string]bool{}, map[string]bool{}
	for host, proxy := range set.Proxies {
		if !a.ProxySelector.Matches(proxy.Labels) || !b.ProxySelector.Matches(proxy.Labels) {
			continue
		}
		if a.Routes != nil && b.Routes != nil {
			route[string(host)] = true
		}
		for name, service := range set.Services {
			both := a.ServiceSelector.Matches(service.Labels) && b.ServiceSelector.Matches(service.Labels)
			if both && a.Limits.QueueMS != nil && b.Limits.QueueMS != nil {
				queue[string(host)+"/"+string(name)] = true
			}
		}
	}
	return queue, route
}

// Guards against ties that check misses or reports wrongly. The expected ties
// come from evaluating the selectors of every pair of configurations against
// every proxy and service.
func TestTiesMatchBruteForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := drawSet(t)
		found := map[string]int{}
		for _, tie := range findTies(set) {
			found[tie.Field+" "+tie.Winner+" "+tie.Loser] = tie.ProxyCount * max(1, tie.ServiceCount)
		}
		wanted := 0
		names := sortedKeys(set.Configurations)
		for index, winner := range names {
			for _, loser := range names[index+1:] {
				a, b := set.Configurations[winner], set.Configurations[loser]
				if a.Priority != b.Priority {
					continue
				}
				queue, route := overlaps(set, a, b)
				for field, overlaps := range map[string]map[string]bool{"limits.queue_ms": queue, "route r": route} {
					if got := found[field+" "+winner+" "+loser]; got != len(overlaps) {
						t.Fatalf("%s %s %s: %d overlaps, want %d", field, winner, loser, got, len(overlaps))
					}
					if len(overlaps) > 0 {
						wanted++
					}
				}
			}
		}
		if len(found) != wanted {
			t.Fatalf("found %d ties, want %d: %v", len(found), wanted, found)
		}
	})
}
