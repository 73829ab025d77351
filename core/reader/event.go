package reader

import (
	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/snapshot"
)

// Events that this plug-in raises for other plug-ins. Traces do not contain them,
// because a replay derives them from the recorded events.
type (
	// VersionRead reports a complete, valid version read from the platform.
	VersionRead struct {
		Snapshot *snapshot.Snapshot
		// Consistent is true when a consistent read of the platform returned the
		// manifest, so it was not stale.
		Consistent bool
	}

	// VersionRefused reports that a version on the platform is invalid.
	VersionRefused struct {
		Version id.Version
		Reason  string
	}
)

// HostRow is one host in the platform's host list, as encoded in JSON.
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

// StateLeaving is the state of a host that must receive no new calls.
const StateLeaving = "leaving"

// entry converts the row to an endpoint. The list lags behind, so only the state
// leaving is trusted; hosts in all other states count as alive.
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
