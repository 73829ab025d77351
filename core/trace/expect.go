package trace

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
)

// Expectation is the stated outcome of a trace.
type Expectation struct {
	// Allowed are the versions that may come into force, in this order.
	Allowed []Allowed `json:"allowed"`
	// Refused are versions that must be refused.
	Refused []id.Version `json:"refused,omitempty"`
	// Due are versions that must be in force in time.
	Due []Due `json:"due,omitempty"`
	// Minimum are versions below which the daemon must not serve.
	Minimum []Minimum `json:"current,omitempty"`
	// Counters are the least values of counters.
	Counters map[string]int `json:"counters,omitempty"`
}

// Allowed is a version with the hash of its whole content.
type Allowed struct {
	Version id.Version `json:"version"`
	Digest  id.Digest  `json:"digest"`
}

// Due is a version that must be in force by a time.
type Due struct {
	Version id.Version `json:"version"`
	// By is the last time, as stated from Event.
	By    id.Instant `json:"by"`
	Event string     `json:"event"`
}

// Minimum is a version below which the daemon must not serve from a time on.
type Minimum struct {
	Version id.Version `json:"version"`
	From    id.Instant `json:"from"`
	Event   string     `json:"event"`
}

// Guarantee names what a breach breaks.
type Guarantee string

// The promises of an expectation.
const (
	NeverOlder   Guarantee = "never_older"
	NoDangling   Guarantee = "no_dangling"
	NeverPartial Guarantee = "never_partial"
	InTime       Guarantee = "in_time"
	AfterPause   Guarantee = "after_pause"
	MustRefuse   Guarantee = "must_refuse"
	MustCount    Guarantee = "must_count"
)

// Violation is a difference between the stated and the replayed outcome.
type Violation struct {
	Guarantee Guarantee
	Text      string
}

// String returns the promise and the difference.
func (b Violation) String() string { return string(b.Guarantee) + ": " + b.Text }

// Check compares an outcome with the stated one.
func (e *Expectation) Check(o Outcome) []Violation {
	var breaches []Violation
	breaches = append(breaches, e.checkOrder(o)...)
	breaches = append(breaches, e.checkRefused(o)...)
	breaches = append(breaches, e.checkDue(o)...)
	breaches = append(breaches, e.checkCurrent(o)...)
	for _, name := range slices.Sorted(maps.Keys(e.Counters)) {
		if got, want := o.Counters[name], e.Counters[name]; got < want {
			breaches = append(breaches, Violation{MustCount, fmt.Sprintf("%s is %d, stated are at least %d", name, got, want)})
		}
	}
	return breaches
}

func (e *Expectation) checkOrder(o Outcome) []Violation {
	var breaches []Violation
	var highest id.Version
	for _, change := range o.Changes {
		if change.Kind != InForce {
			continue
		}
		breaches = append(breaches, e.checkContent(change)...)
		if change.Version < highest {
			breaches = append(breaches, Violation{NeverOlder, fmt.Sprintf("version %d in force after %d", change.Version, highest)})
		}
		highest = max(highest, change.Version)
	}
	return breaches
}

func (e *Expectation) checkContent(change Change) []Violation {
	var breaches []Violation
	if len(change.DanglingRoutes) > 0 {
		breaches = append(breaches, Violation{NoDangling, change.String()})
	}
	index := slices.IndexFunc(e.Allowed, func(a Allowed) bool { return a.Version == change.Version })
	switch {
	case index < 0 && len(e.Allowed) > 0 && change.Version < e.Allowed[0].Version:
		breaches = append(breaches, Violation{NeverOlder, fmt.Sprintf("version %d in force, which is older than %d", change.Version, e.Allowed[0].Version)})
	case index < 0:
		breaches = append(breaches, Violation{NeverPartial, fmt.Sprintf("version %d in force, which is not a good one", change.Version)})
	case e.Allowed[index].Digest != change.Digest:
		breaches = append(breaches, Violation{NeverPartial, fmt.Sprintf("version %d in force with other content than published", change.Version)})
	}
	return breaches
}

func (e *Expectation) checkRefused(o Outcome) []Violation {
	var breaches []Violation
	for _, version := range e.Refused {
		refused := slices.ContainsFunc(o.Changes, func(c Change) bool { return c.Kind == Refused && c.Version == version })
		if !refused {
			breaches = append(breaches, Violation{MustRefuse, fmt.Sprintf("version %d is not refused", version)})
		}
	}
	return breaches
}

func (e *Expectation) checkDue(o Outcome) []Violation {
	var breaches []Violation
	for _, due := range e.Due {
		index := slices.IndexFunc(o.Changes, func(c Change) bool { return c.Kind == InForce && c.Version >= due.Version })
		switch {
		case index < 0:
			breaches = append(breaches, Violation{InTime, fmt.Sprintf("version %d never in force after %s", due.Version, due.Event)})
		case o.Changes[index].At > due.By:
			late := o.Changes[index].At.Sub(due.By).Round(time.Millisecond)
			breaches = append(breaches, Violation{InTime, fmt.Sprintf("version %d in force %s late after %s", due.Version, late, due.Event)})
		}
	}
	return breaches
}

// checkCurrent finds times at which the daemon served an older version. The
// first event after a pause is where the kernel can notice it, so the state
// after that event counts.
func (e *Expectation) checkCurrent(o Outcome) []Violation {
	var breaches []Violation
	for _, current := range e.Minimum {
		first, _ := slices.BinarySearch(o.Events, current.From)
		if first < len(o.Events) && servedBelow(o, o.Events[first], current.Version) {
			breaches = append(breaches, Violation{AfterPause, fmt.Sprintf("a version below %d served after %s", current.Version, current.Event)})
		}
	}
	return breaches
}

// servedBelow reports whether an older version was served after a time.
func servedBelow(o Outcome, from id.Instant, least id.Version) bool {
	var version id.Version
	ready := kernel.Starting
	for _, change := range o.Changes {
		if change.At > from && ready == kernel.Serving && version < least {
			return true
		}
		if change.Kind == InForce {
			version = change.Version
		}
		if change.Kind == Readiness {
			ready = change.Ready
		}
	}
	return ready == kernel.Serving && version < least
}
