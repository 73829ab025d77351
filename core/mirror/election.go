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

// targetReaders is the number of daemons that read the store concurrently: two, in
// different failure domains, so that losing one interrupts nothing.
const targetReaders = 2

// Candidate is a daemon that may read the store.
type Candidate struct {
	// Address is the daemon's control address.
	Address string
	Domain  id.Domain
	// Link is the rate of the daemon's network link; zero means unknown.
	Link link.Rate
	// Fresh is set when, as far as this daemon knows, the candidate has read the
	// store recently.
	Fresh bool
	// Failed is set when the candidate was reading the store and has not read it
	// recently. It would read already if it could.
	Failed bool
}

// ReaderElection is the result of an election from the point of view of one daemon.
type ReaderElection struct {
	// Elected is set when fewer than targetReaders of the candidates ahead of this
	// daemon are fresh.
	Elected bool
	// Ahead is the number of candidates that come first and may be about to read.
	Ahead int
}

// takeoverDelay is the time within which other daemons learn that a daemon has begun
// to read.
const takeoverDelay = 120 * time.Millisecond

// Delay returns how long an elected daemon waits for the candidates ahead of it, some of
// which may be dead. The number of daemons that take over doubles with each delay, so
// that a fleet does not access the store all at once.
func (t ReaderElection) Delay() time.Duration {
	return takeoverDelay * time.Duration(bits.Len(uint(t.Ahead)))
}

// ElectReader holds an election from the point of view of the daemon self. The order of
// the candidates is identical on every daemon, so a few daemons read in normal
// operation, and the next ones take over where updates stop.
func ElectReader(self Candidate, others []Candidate) ReaderElection {
	all := append(slices.Clone(others), self)
	ranks := rank(all)
	var election ReaderElection
	fresh := 0
	for _, other := range others {
		if !comesBefore(other, self, ranks) {
			continue
		}
		switch {
		case other.Fresh:
			fresh++
		case !other.Failed:
			election.Ahead++
		}
	}
	election.Elected = fresh < targetReaders
	return election
}

// rank returns the position of each daemon within its failure domain.
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

// comesBefore orders daemons so that the first of every failure domain come before the
// second of any.
func comesBefore(a, b Candidate, ranks map[string]int) bool {
	if order := cmp.Compare(ranks[a.Address], ranks[b.Address]); order != 0 {
		return order < 0
	}
	return compareLink(a, b) < 0
}

// compareLink puts fast links first: a configuration of some hundred kilobytes takes
// half a second on a link of 6 Mbit/s, and a reader receives every version in full.
// Rates that differ by less than a factor of two count as equal, so that links of one
// kind share the load.
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
