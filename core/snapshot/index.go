package snapshot

import (
	"slices"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/label"
)

// labelPair is one label.
type labelPair struct{ key, value string }

// selectorIndex finds the configurations whose service selector may match a service.
// Most configurations select few services, so trying each of them on each service
// would take time quadratic in the number of services.
type selectorIndex struct {
	ordered []document.Configuration
	// byLabel maps a required label to the positions of configurations in ordered.
	// Each configuration is listed under one of its required labels, or in unindexed
	// if its selector requires none.
	byLabel   map[labelPair][]int
	unindexed []int
}

// newSelectorIndex returns an index of configurations and preserves their order.
func newSelectorIndex(ordered []document.Configuration) *selectorIndex {
	out := &selectorIndex{ordered: ordered, byLabel: map[labelPair][]int{}}
	for position := range ordered {
		if required, ok := firstLabel(ordered[position].ServiceSelector.MatchLabels); ok {
			out.byLabel[required] = append(out.byLabel[required], position)
		} else {
			out.unindexed = append(out.unindexed, position)
		}
	}
	return out
}

// firstLabel returns the required label with the smallest key.
func firstLabel(required label.Set) (labelPair, bool) {
	var first labelPair
	found := false
	for key, value := range required {
		if !found || key < first.key {
			first, found = labelPair{key, value}, true
		}
	}
	return first, found
}

// candidates returns, in order, the configurations that may match a service with the
// given labels. The caller must still evaluate their selectors.
func (x *selectorIndex) candidates(labels label.Set) []document.Configuration {
	positions := slices.Clone(x.unindexed)
	for key, value := range labels {
		positions = append(positions, x.byLabel[labelPair{key, value}]...)
	}
	slices.Sort(positions)
	out := make([]document.Configuration, 0, len(positions))
	for _, position := range positions {
		out = append(out, x.ordered[position])
	}
	return out
}
