package snapshot

import (
	"slices"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/label"
)

// pair is one label.
type pair struct{ key, value string }

// index finds the configurations whose service selector may match a service.
// Most configurations select few services, so that trying each of them on each
// service would cost the square of the number of services.
type index struct {
	ordered []document.Configuration
	// byLabel holds the positions of the configurations by one label that
	// their selector requires, and general those that require none.
	byLabel map[pair][]int
	general []int
}

// indexOf keeps the order of the configurations.
func indexOf(ordered []document.Configuration) *index {
	out := &index{ordered: ordered, byLabel: map[pair][]int{}}
	for position := range ordered {
		if required, ok := firstLabel(ordered[position].ServiceSelector.MatchLabels); ok {
			out.byLabel[required] = append(out.byLabel[required], position)
		} else {
			out.general = append(out.general, position)
		}
	}
	return out
}

// firstLabel returns the required label with the smallest key.
func firstLabel(required label.Set) (pair, bool) {
	var first pair
	found := false
	for key, value := range required {
		if !found || key < first.key {
			first, found = pair{key, value}, true
		}
	}
	return first, found
}

// candidates returns the configurations that may match a service with the
// given labels, in order. Their selectors still decide.
func (x *index) candidates(labels label.Set) []document.Configuration {
	positions := slices.Clone(x.general)
	for key, value := range labels {
		positions = append(positions, x.byLabel[pair{key, value}]...)
	}
	slices.Sort(positions)
	out := make([]document.Configuration, 0, len(positions))
	for _, position := range positions {
		out = append(out, x.ordered[position])
	}
	return out
}
