// Package endpoint holds the table of hosts: the addresses of each daemon, the
// service of its backend server, and whether it accepts calls. The table changes far
// more often than the configuration and is distributed separately.
//
// Merge keeps the greater of two entries in a total order, so the result does not
// depend on the order in which updates arrive or on how often.
//
// # Usage
//
//	table := endpoint.NewTable()
//	if table.Merge(entry) {
//		// The table has changed: forward the entry.
//	}
package endpoint

import (
	"slices"

	"marjoramsaddle/core/id"
)

//go:generate stringer -type=State -linecomment -output=endpoint_string.go

// State states whether a host accepts calls. Of two entries with the same incarnation
// and sequence, the one with the greater state is kept.
type State int

// The states of a host.
const (
	Alive   State = iota // alive
	Leaving              // leaving
	Suspect              // suspect
	Dead                 // dead
)

// Entry describes one host. The host itself increments Sequence with each change;
// other hosts may only raise State. Control and Hop are the addresses of the daemon's
// control and data listeners.
type Entry struct {
	Host        id.Host        `json:"host"`
	Domain      id.Domain      `json:"failure_domain"`
	Region      id.Region      `json:"region,omitempty"`
	Service     id.Service     `json:"service,omitempty"`
	Control     string         `json:"control"`
	Hop         string         `json:"hop"`
	Incarnation id.Incarnation `json:"incarnation"`
	Sequence    uint64         `json:"sequence"`
	State       State          `json:"state"`
	// Slots is the number of calls that the backend server runs concurrently.
	Slots int `json:"slots,omitempty"`
	// Started is when the backend server became ready, which begins its slow start.
	Started id.Instant `json:"started,omitempty"`
}

// Live reports whether the host takes part in the overlay.
func (e *Entry) Live() bool { return e.State == Alive || e.State == Leaving }

// Supersedes reports whether e replaces other in a table: by incarnation, then
// sequence, then state. The remaining fields break ties. Without them, two entries
// that differ only there would each stay on the hosts where they arrived first.
func (e Entry) Supersedes(other Entry) bool {
	mine, theirs := e.numericFields(), other.numericFields()
	if order := slices.Compare(mine[:], theirs[:]); order != 0 {
		return order > 0
	}
	mineTexts, theirTexts := e.textFields(), other.textFields()
	return slices.Compare(mineTexts[:], theirTexts[:]) > 0
}

// numericFields returns the numeric fields in the order in which Supersedes compares
// them.
func (e *Entry) numericFields() [5]uint64 {
	return [...]uint64{
		uint64(e.Incarnation), e.Sequence, uint64(e.State), uint64(e.Slots), uint64(e.Started),
	}
}

func (e *Entry) textFields() [6]string {
	return [...]string{
		string(e.Host), string(e.Domain), string(e.Region), string(e.Service), e.Control, e.Hop,
	}
}
