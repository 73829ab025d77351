package trace

import (
	"fmt"
	"strings"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
)

// Kind is the kind of a change.
type Kind string

// The kinds of changes.
const (
	InForce   Kind = "in_force"
	Refused   Kind = "refused"
	Readiness Kind = "readiness"
)

// Change is one externally visible change of a kernel's state.
type Change struct {
	At      id.Instant
	Kind    Kind
	Version id.Version
	Digest  id.Digest
	// DanglingRoutes names the routes of the view whose service is missing.
	DanglingRoutes []string
	Reason         string
	Ready          kernel.Readiness
}

// String returns the change without its time.
func (c Change) String() string {
	switch c.Kind {
	case InForce:
		text := fmt.Sprintf("version %d in force", c.Version)
		if len(c.DanglingRoutes) > 0 {
			text += ", dangling routes " + strings.Join(c.DanglingRoutes, ", ")
		}
		return text
	case Refused:
		return fmt.Sprintf("version %d refused: %s", c.Version, c.Reason)
	default:
		return c.Ready.String()
	}
}

// Outcome is the result of a replay.
type Outcome struct {
	Changes  []Change
	Counters map[string]int
	// Events holds the times of all events.
	Events []id.Instant
}

// ReplayOutcome replays the records in a new kernel and returns the changes.
func ReplayOutcome(env kernel.Environment, records []Record) Outcome {
	outcome := Outcome{Counters: map[string]int{}}
	k := kernel.New(env)
	var refused id.Version
	for _, record := range records {
		outcome.Events = append(outcome.Events, record.At)
		for _, action := range k.Step(record.At, record.Event) {
			outcome.add(record.At, action)
		}
		if shared := k.SharedState(); shared.Refused != refused {
			refused = shared.Refused
			outcome.Changes = append(outcome.Changes, Change{
				At: record.At, Kind: Refused, Version: refused, Reason: shared.RefusedReason,
			})
		}
	}
	return outcome
}

func (o *Outcome) add(at id.Instant, action kernel.Action) {
	switch a := action.(type) {
	case kernel.Publish:
		o.Changes = append(o.Changes, Change{
			At: at, Kind: InForce, Version: a.View.Version, Digest: a.Snapshot.Digest, DanglingRoutes: a.View.DanglingRoutes(),
		})
	case kernel.SetReady:
		o.Changes = append(o.Changes, Change{At: at, Kind: Readiness, Ready: a.Ready})
	case kernel.Count:
		o.Counters[a.Name]++
	}
}
