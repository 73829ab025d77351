package mirror

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
)

// readersWanted is the number of daemons that read the store at a time. Two,
// in different failure domains, so that the loss of one is not noticed.
const readersWanted = 2

// Candidate is a candidate for reading the store.
type Candidate struct {
	// Address is the daemon's control address.
	Address string
	Domain  id.Domain
	// Link is what the daemon's network link carries; zero is unknown.
	Link link.Rate
	// Fresh is set when the daemon has heard from the store a short while ago,
	// as far as is known here.
	Fresh bool
}

// ReaderElection says whether a daemon is needed as a reader, and how many come first.
type ReaderElection struct {
	// Elected is set when fewer than the wanted number of the daemons that come
	// before this one have fresh news.
	Elected bool
	// Ahead is the number of daemons without fresh news that come before it.
	Ahead int
}

// stepDelay is the time in which news of a daemon that has begun to read reaches
// others.
const stepDelay = 120 * time.Millisecond

// Delay returns how long a daemon that is needed leaves it to those that come
// before it, some of which may have ended. The number that step in at a time
// doubles with each delay, so a fleet does not turn to the store all at once.
func (t ReaderElection) Delay() time.Duration {
	return stepDelay * time.Duration(bits.Len(uint(t.Ahead)))
}

// ElectReader returns the turn of the daemon self. The order is the same everywhere,
// so a few daemons read while all is well, and the next ones step in where news
// stops, each by its own view.
func ElectReader(self Candidate, others []Candidate) ReaderElection {
	all := append(slices.Clone(others), self)
	ranks := rank(all)
	var turn ReaderElection
	fresh := 0
	for _, other := range others {
		if !precedes(other, self, ranks) {
			continue
		}
		if other.Fresh {
			fresh++
		} else {
			turn.Ahead++
		}
	}
	turn.Elected = fresh < readersWanted
	return turn
}

// rank returns the place of each daemon within its failure domain.
func rank(all []Candidate) map[string]int {
	slices.SortFunc(all, compareLink)
	ranks := make(map[string]int, len(all))
	counts := map[id.Domain]int{}
	for _, daemon := range all {
		ranks[daemon.Address] = counts[daemon.Domain]
		counts[daemon.Domain]++
	}
	return ranks
}

// precedes orders daemons so that the first ones of all failure domains come
// before the second ones of any.
func precedes(a, b Candidate, ranks map[string]int) bool {
	if order := cmp.Compare(ranks[a.Address], ranks[b.Address]); order != 0 {
		return order < 0
	}
	return compareLink(a, b) < 0
}

// compareLink puts fast links first: a configuration of some hundred kilobytes
// takes a link of 6 Mbit/s half a second, and a reader gets every version whole.
// Rates that differ by less than a factor of two count as equal, so that links
// of one kind share the reading.
func compareLink(a, b Candidate) int {
	if order := cmp.Compare(linkClass(b), linkClass(a)); order != 0 {
		return order
	}
	return compareHash(a, b)
}

func linkClass(daemon Candidate) int { return bits.Len64(uint64(daemon.Link)) }

func compareHash(a, b Candidate) int {
	if order := cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)); order != 0 {
		return order
	}
	return cmp.Compare(a.Address, b.Address)
}
