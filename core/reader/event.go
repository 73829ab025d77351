package reader

import (
	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/snapshot"
)

// The events that this plug-in raises for others. They follow from recorded
// events and are not part of a trace.
type (
	// VersionRead tells that a whole version was read from the platform and
	// is valid.
	VersionRead struct {
		Snapshot *snapshot.Snapshot
		// Consistent is true when the platform vouched that the manifest was
		// not stale.
		Consistent bool
	}

	// VersionRefused tells that a version on the platform is not valid.
	VersionRefused struct {
		Version id.Version
		Reason  string
	}
)

// HostRow is one row of the platform's host list.
type HostRow struct {
	Host    id.Host    `json:"host"`
	Domain  id.Domain  `json:"failure_domain"`
	Region  id.Region  `json:"region,omitempty"`
	Service id.Service `json:"service,omitempty"`
	Control string     `json:"control"`
	Hop     string     `json:"hop"`
	Slots   int        `json:"slots,omitempty"`
	State   string     `json:"state"`
}

// StateLeaving is the state of a row whose host is to get no new work.
const StateLeaving = "leaving"

// entry converts the row. The list lags, so only the state leaving in it is a
// credible sign; all other states count as alive.
func (r HostRow) entry() endpoint.Entry {
	entry := endpoint.Entry{
		Host: r.Host, Domain: r.Domain, Region: r.Region, Service: r.Service,
		Control: r.Control, Hop: r.Hop, Slots: r.Slots,
	}
	if r.State == StateLeaving {
		entry.State = endpoint.Leaving
	}
	return entry
}

// EventName returns the name of the event.
func (VersionRead) EventName() string { return "version_read" }

// EventName returns the name of the event.
func (VersionRefused) EventName() string { return "version_refused" }
