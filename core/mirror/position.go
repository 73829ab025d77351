package mirror

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Era counts how often the store has come back from a copy. It then lacks its latest
// changes and gives out their revisions again. Zero is the era of a store that names none.
type Era uint64

// Revision is the number of a change within an era of the store. Zero precedes every
// change.
type Revision uint64

// Position is a state of the store. Any state of an era is newer than all states of
// earlier eras, whatever their revisions. The zero value precedes every state.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare returns a negative number if p is older than q, zero if they are the same, and a
// positive number if p is newer.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is older than q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// Latest returns the newer of the two positions.
func Latest(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// positionSeparator separates the era from the revision.
const positionSeparator = "."

// String returns the era and the revision, such as "2.153".
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Era), 10) + positionSeparator + strconv.FormatUint(uint64(p.Revision), 10)
}

// ParsePosition decodes the result of String.
func ParsePosition(text string) (Position, error) {
	eraText, revisionText, _ := strings.Cut(text, positionSeparator)
	era, err := strconv.ParseUint(eraText, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("mirror: position %q: bad era", text)
	}
	revision, err := strconv.ParseUint(revisionText, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("mirror: position %q: bad revision", text)
	}
	return Position{Era: Era(era), Revision: Revision(revision)}, nil
}
