package trace

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
)

// Expectation is the expected outcome of replaying a trace.
type Expectation struct {
	// Allowed lists the versions that may come into force, in this order.
	Allowed []Allowed `json:"allowed"`
	// Refused lists the versions that must be refused.
	Refused []id.Version `json:"refused,omitempty"`
	// Due lists the versions that must come into force by a deadline.
	Due []Due `json:"due,omitempty"`
	// Minimum lists the lowest versions that the daemon may serve after given times.
	Minimum []Minimum `json:"current,omitempty"`
	// Counters maps counters to their minimum values.
	Counters map[string]int `json:"counters,omitempty"`
}

// Allowed is a version with the hash of its complete content.
type Allowed struct {
	Version id.Version `json:"version"`
	Digest  id.Digest  `json:"digest"`
}

// Due is a version that must be in force by a deadline.
type Due struct {
	Version id.Version `json:"version"`
	// By is the deadline. Event names the recorded action that it is counted from.
	By    id.Instant `json:"by"`
	Event string     `json:"event"`
}

// Minimum is the lowest version that the daemon may serve from a given time on.
type Minimum struct {
	Version id.Version `json:"version"`
	From    id.Instant `json:"from"`
	// Event names the recorded action at From.
	Event string `json:"event"`
}

// Guarantee names a guarantee of the system in violations.
type Guarantee string

// The guarantees that an Expectation checks.
const (
	NeverOlder   Guarantee = "never_older"
	NoDangling   Guarantee = "no_dangling"
	NeverPartial Guarantee = "never_partial"
	InTime       Guarantee = "in_time"
	AfterPause   Guarantee = "after_pause"
	MustRefuse   Guarantee = "must_refuse"
	MustCount    Guarantee = "must_count"
)

// Violation is a difference between the expected and the replayed outcome.
type Violation struct {
	Guarantee Guarantee
	Text      string
}

// String returns the guarantee and the difference.
func (v Violation) String() string { return string(v.Guarantee) + ": " + v.Text }

// Check compares an outcome with the expected one and returns the differences.
func (e *Expectation) Check(o Outcome) []Violation {
	var violations []Violation
	violations = append(violations, e.checkOrder(o)...)
	violations = append(violations, e.checkRefused(o)...)
	violations = append(violations, e.checkDue(o)...)
	violations = append(violations, e.checkMinimum(o)...)
	for _, name := range slices.Sorted(maps.Keys(e.Counters)) {
		if got, want := o.Counters[name], e.Counters[name]; got < want {
			violations = append(violations, Violation{MustCount, fmt.Sprintf("%s is %d, stated are at least %d", name, got, want)})
		}
	}
	return violations
}

func (e *Expectation) checkOrder(o Outcome) []Violation {
	var violations []Violation
	var highest id.Version
	for _, change := range o.Changes {
		if change.Kind != InForce {
			continue
		}
		violations = append(violations, e.checkContent(change)...)
		if change.Version < highest {
			violations = append(violations, Violation{NeverOlder, fmt.Sprintf("version %d in force after %d", change.Version, highest)})
		}
		highest = max(highest, change.Version)
	}
	return violations
}

func (e *Expectation) checkContent(change Change) []Violation {
	var violations []Violation
	if len(change.DanglingRoutes) > 0 {
		violations = append(violations, Violation{NoDangling, change.String()})
	}
	index := slices.IndexFunc(e.Allowed, func(a Allowed) bool { return a.Version == change.Version })
	switch {
	case index < 0 && len(e.Allowed) > 0 && change.Version < e.Allowed[0].Version:
		violations = append(violations, Violation{NeverOlder, fmt.Sprintf("version %d in force, which is older than %d", change.Version, e.Allowed[0].Version)})
	case index < 0:
		violations = append(violations, Violation{NeverPartial, fmt.Sprintf("version %d in force, which is not an allowed one", change.Version)})
	case e.Allowed[index].Digest != change.Digest:
		violations = append(violations, Violation{NeverPartial, fmt.Sprintf("version %d in force with different content than published", change.Version)})
	}
	return violations
}

func (e *Expectation) checkRefused(o Outcome) []Violation {
	var violations []Violation
	for _, version := range e.Refused {
		refused := slices.ContainsFunc(o.Changes, func(c Change) bool { return c.Kind == Refused && c.Version == version })
		if !refused {
			violations = append(violations, Violation{MustRefuse, fmt.Sprintf("version %d is not refused", version)})
		}
	}
	return violations
}

func (e *Expectation) checkDue(o Outcome) []Violation {
	var violations []Violation
	for _, due := range e.Due {
		index := slices.IndexFunc(o.Changes, func(c Change) bool { return c.Kind == InForce && c.Version >= due.Version })
		switch {
		case index < 0:
			violations = append(violations, Violation{InTime, fmt.Sprintf("version %d never in force after %s", due.Version, due.Event)})
		case o.Changes[index].At > due.By:
			delay := o.Changes[index].At.Sub(due.By).Round(time.Millisecond)
			violations = append(violations, Violation{InTime, fmt.Sprintf("version %d in force %s late after %s", due.Version, delay, due.Event)})
		}
	}
	return violations
}

// checkMinimum finds times at which the daemon served a version below the minimum.
// The kernel can detect a pause only at the first event after it, so the state after
// that event counts.
func (e *Expectation) checkMinimum(o Outcome) []Violation {
	var violations []Violation
	for _, minimum := range e.Minimum {
		first, _ := slices.BinarySearch(o.Events, minimum.From)
		if first < len(o.Events) && servedBelow(o, o.Events[first], minimum.Version) {
			violations = append(violations, Violation{AfterPause, fmt.Sprintf("a version below %d served after %s", minimum.Version, minimum.Event)})
		}
	}
	return violations
}

// servedBelow reports whether a version below the minimum was served after a time.
func servedBelow(o Outcome, from id.Instant, minimum id.Version) bool {
	var version id.Version
	ready := kernel.Starting
	for _, change := range o.Changes {
		if change.At > from && ready == kernel.Serving && version < minimum {
			return true
		}
		if change.Kind == InForce {
			version = change.Version
		}
		if change.Kind == Readiness {
			ready = change.Ready
		}
	}
	return ready == kernel.Serving && version < minimum
}
