// Package snapshot holds configuration versions, the deltas between them, and the view
// of a version that one proxy runs.
//
// Snapshots and views are immutable. A delta applies only to the base that it was made
// for, and its result is validated and compared with a hash.
//
// # Usage
//
//	snap := snapshot.New(version, set)
//	view := snap.View("counter-reduit-1")
//	route := view.Match("GET", "/stock/nails")
package snapshot

import (
	"crypto/sha256"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
)

// Snapshot is one complete, validated configuration version. It is immutable.
type Snapshot struct {
	Version id.Version
	Digest  id.Digest
	set     *document.Set
}

// New returns the snapshot of a validated set. The set must not change afterwards.
func New(version id.Version, set *document.Set) *Snapshot {
	return &Snapshot{Version: version, Digest: digest(set), set: set}
}

// Documents returns the documents of the snapshot. The caller must not modify them.
func (s *Snapshot) Documents() *document.Set { return s.set }

// digest hashes the sorted list of keys and document hashes.
func digest(set *document.Set) id.Digest {
	sum := sha256.New()
	var row []byte
	for _, key := range set.Keys() {
		content := sha256.Sum256(set.Canonical[key])
		row = append(append(row[:0], key.Kind...), 0)
		row = append(append(row, key.Name...), 0)
		sum.Write(append(row, content[:]...))
	}
	return id.Digest(sum.Sum(nil))
}
