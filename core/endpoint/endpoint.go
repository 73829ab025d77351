// Package endpoint holds the table of hosts: where each daemon is, which
// service its backend server belongs to, and whether it takes work. It changes
// far more often than the configuration and has its own stream.
//
// Usage:
//
//	table := endpoint.NewTable()
//	if table.Merge(entry) {
//		// The entry is news and is sent on.
//	}
package endpoint

import (
	"marjoramsaddle/core/id"
)

//go:generate stringer -type=State -linecomment -output=endpoint_string.go

// State says whether a host takes work. A greater state wins over a lesser one
// of the same incarnation and sequence.
type State int

// The states of a host.
const (
	Alive   State = iota // alive
	Leaving              // leaving
	Suspect              // suspect
	Dead                 // dead
)

// Entry describes one host. Its owner raises Sequence with every change;
// other hosts may only raise State.
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
	// Slots is the number of calls that the backend server runs at once.
	Slots int `json:"slots,omitempty"`
	// Started is when the backend server became ready, for slow start.
	Started id.Instant `json:"started,omitempty"`
}

// Newer reports whether e replaces other: by incarnation, then sequence, then
// state.
func (e Entry) Newer(other Entry) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	if e.Sequence != other.Sequence {
		return e.Sequence > other.Sequence
	}
	return e.State > other.State
}
