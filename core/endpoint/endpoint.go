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
	"slices"

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

// Live reports whether the host takes part in the overlay.
func (e *Entry) Live() bool { return e.State == Alive || e.State == Leaving }

// Supersedes reports whether e replaces other: by incarnation, then sequence, then
// state. The other fields decide last; without them, two entries that differ
// only there would each stay where they arrived first.
func (e Entry) Supersedes(other Entry) bool {
	mine, theirs := e.numbers(), other.numbers()
	if order := slices.Compare(mine[:], theirs[:]); order != 0 {
		return order > 0
	}
	mineTexts, theirTexts := e.texts(), other.texts()
	return slices.Compare(mineTexts[:], theirTexts[:]) > 0
}

// numbers returns the numeric fields in the order in which Newer compares
// them.
func (e *Entry) numbers() [5]uint64 {
	return [...]uint64{
		uint64(e.Incarnation), e.Sequence, uint64(e.State), uint64(e.Slots), uint64(e.Started),
	}
}

func (e *Entry) texts() [6]string {
	return [...]string{
		string(e.Host), string(e.Domain), string(e.Region), string(e.Service), e.Control, e.Hop,
	}
}
