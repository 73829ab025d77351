package mirror

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
)

// readersWanted is the number of daemons that read the store at a time. Two,
// in different failure domains, so that the loss of one is not noticed.
const readersWanted = 2

// Daemon is a candidate for reading the store.
type Daemon struct {
	// Address is the daemon's control address.
	Address string
	Domain  id.Domain
	// Link is what the daemon's network link carries; zero is unknown.
	Link link.Rate
	// Fresh is set when the daemon has heard from the store a short while ago,
	// as far as is known here.
	Fresh bool
}

// Reads reports whether the daemon self reads the store itself: when fewer than
// the wanted number of the daemons that come before it have fresh news. The
// order is the same everywhere, so a few daemons read while all is well, and
// the next ones step in where news stops, each by its own view.
func Reads(self Daemon, others []Daemon) bool {
	all := append(slices.Clone(others), self)
	ranks := rank(all)
	fresh := 0
	for _, other := range others {
		if other.Fresh && precedes(other, self, ranks) {
			fresh++
		}
	}
	return fresh < readersWanted
}

// rank returns the place of each daemon within its failure domain.
func rank(all []Daemon) map[string]int {
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
func precedes(a, b Daemon, ranks map[string]int) bool {
	if order := cmp.Compare(ranks[a.Address], ranks[b.Address]); order != 0 {
		return order < 0
	}
	return compareLink(a, b) < 0
}

// compareLink puts fast links first: a configuration of some hundred kilobytes
// takes a link of 6 Mbit/s half a second, and a reader gets every version whole.
// Rates that differ by less than a factor of two count as equal, so that links
// of one kind share the reading.
func compareLink(a, b Daemon) int {
	if order := cmp.Compare(linkClass(b), linkClass(a)); order != 0 {
		return order
	}
	return compareHash(a, b)
}

func linkClass(daemon Daemon) int { return bits.Len64(uint64(daemon.Link)) }

func compareHash(a, b Daemon) int {
	if order := cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)); order != 0 {
		return order
	}
	return cmp.Compare(a.Address, b.Address)
}
