package snapshot_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/label"
	"marjoramsaddle/core/snapshot"
)

func randomLabels(name string, t *rapid.T) label.Set {
	labels := label.Set{}
	for _, key := range []string{"a", "b"} {
		if value := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, name+key); value != "" {
			labels[key] = value
		}
	}
	return labels
}

// Guards against a configuration that the index omits or reorders: the view must
// equal the one that results from trying each configuration on each service.
func TestViewEqualsFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		set := document.NewSet()
		add := func(value any) {
			raw, err := json.Marshal(value)
			is.NoErr(err)
			is.NoErr(set.AddDocument("test", raw))
		}
		for index := range rapid.IntRange(1, 4).Draw(t, "services") {
			add(document.Service{
				Kind: document.KindService, Name: id.Service(fmt.Sprint("s", index)), Labels: randomLabels("service", t), Slots: 1, Connections: 1,
			})
		}
		for index := range rapid.IntRange(0, 6).Draw(t, "configurations") {
			queue := index + 1
			selector := label.Selector{MatchLabels: randomLabels("selector", t)}
			if rapid.Bool().Draw(t, "expression") {
				selector.MatchExpressions = []label.Requirement{{Key: "a", Operator: label.Exists}}
			}
			add(document.Configuration{
				Kind: document.KindConfiguration, Name: fmt.Sprint("c", index), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				ServiceSelector: selector, Limits: document.Limits{QueueMS: &queue},
			})
		}
		view := snapshot.New(1, set).View("host")
		for name, service := range set.Services {
			is.Equal(view.Policies[name].Origins["queue_ms"], expectedOrigin(set, service.Labels))
		}
	})
}

// expectedOrigin returns the matching configuration with the highest priority, and
// among equal ones that with the smallest name.
func expectedOrigin(set *document.Set, labels label.Set) string {
	best, name := -1, ""
	for index := range len(set.Configurations) {
		candidate := set.Configurations[fmt.Sprint("c", index)]
		if candidate.ServiceSelector.Matches(labels) && candidate.Priority > best {
			best, name = candidate.Priority, candidate.Name
		}
	}
	return name
}
