package gossip

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// leastNear and mostNear bound the beacons of a round within the failure
	// domain. Two copies are enough for news to spread although some are lost.
	leastNear = 2
	mostNear  = 4
	// nearWork is the number of beacons that reach a daemon and its neighbours
	// together in a round, while mostNear and leastNear allow it.
	nearWork = 16
	// leastFar and mostFar bound the beacons of a round beyond the failure domain.
	leastFar = 1.0 / 3
	mostFar  = 2.0
	// farWork is nearWork for the beacons beyond the failure domain. What one
	// daemon is told it passes on to its neighbours.
	farWork = 9.0
)

// Targets is the receivers of one round that are told in the same period.
type Targets struct {
	Addresses []string
	// Period is the time until each of them is told by this daemon again.
	Period time.Duration
}

// Plan is whom to tell in one round.
type Plan struct{ Near, Far Targets }

// PeerSelector goes through the daemons of a fleet that may change on the way.
type PeerSelector struct {
	near, far rotation
	// credit is the part of a beacon beyond the failure domain that former rounds
	// have left.
	credit float64
}

// NewPeerSelector returns rounds in an order that the seed decides. Daemons with
// different seeds tell different daemons in a round, so news spreads evenly.
func NewPeerSelector(seed uint64) *PeerSelector {
	return &PeerSelector{near: rotation{seed: seed}, far: rotation{seed: seed}}
}

// Next returns whom to tell in the next round. A list that has changed is another
// slice.
func (r *PeerSelector) Next(near, far []string) Plan {
	rate := farRate(len(far))
	r.credit = min(r.credit+rate, mostFar)
	farCount := min(len(far), int(r.credit+roundingError))
	r.credit -= float64(farCount)
	return Plan{
		Near: r.near.next(near, nearCount(len(near)), float64(nearCount(len(near)))),
		Far:  r.far.next(far, farCount, rate),
	}
}

// roundingError keeps three thirds from being less than one.
const roundingError = 1e-9

func nearCount(near int) int {
	if near == 0 {
		return 0
	}
	return min(near, max(leastNear, min(mostNear, nearWork/near)))
}

func farRate(far int) float64 {
	if far == 0 {
		return 0
	}
	return min(float64(far), max(leastFar, min(mostFar, farWork/float64(far))))
}

// NearPeriod returns the time within which a daemon hears of the load of each
// backend server of its failure domain, where near others are.
func NearPeriod(near int) time.Duration {
	return reportPeriod(near, float64(nearCount(near))*MaxNearReports)
}

// FarPeriod is NearPeriod for the backend servers of other failure domains.
func FarPeriod(near, far int) time.Duration {
	direct := farRate(far) * float64(min(near+1, MaxNearReports))
	return reportPeriod(far, direct+float64(nearCount(near))*MaxFarReports)
}

// reportPeriod allows for copies: among many reports that arrive at random, the
// last server is heard of after its mean time multiplied by a logarithm.
func reportPeriod(servers int, perRound float64) time.Duration {
	if servers == 0 {
		return RoundInterval
	}
	rounds := math.Ceil((1 + math.Log(float64(servers))) * float64(servers) / perRound)
	return time.Duration(rounds) * RoundInterval
}

// rotation goes through a list in an order of its own.
type rotation struct {
	seed uint64
	// listed is the list as it came, order the same in the order of the hashes.
	listed []string
	order  []turn
	last   uint64
}

type turn struct {
	hash    uint64
	address string
}

// next returns the next receivers. The rate is their mean number in a round.
func (r *rotation) next(all []string, count int, rate float64) Targets {
	if len(all) == 0 || rate == 0 {
		return Targets{}
	}
	period := time.Duration(math.Ceil(float64(len(all))/rate)) * RoundInterval
	if count == 0 {
		return Targets{Period: period}
	}
	r.arrange(all)
	start, found := slices.BinarySearchFunc(r.order, r.last, func(one turn, last uint64) int { return cmp.Compare(one.hash, last) })
	if found {
		start++
	}
	taken := make([]string, 0, count)
	for i := range count {
		one := r.order[(start+i)%len(r.order)]
		taken = append(taken, one.address)
		r.last = one.hash
	}
	return Targets{Addresses: taken, Period: period}
}

// arrange puts a list that has changed in order. The rotation goes on where it
// was.
func (r *rotation) arrange(all []string) {
	if len(r.listed) == len(all) && &r.listed[0] == &all[0] {
		return
	}
	r.listed = all
	r.order = r.order[:0]
	seed := strconv.FormatUint(r.seed, 36)
	for _, address := range all {
		r.order = append(r.order, turn{hash: xxhash.Sum64String(seed + address), address: address})
	}
	slices.SortFunc(r.order, func(a, b turn) int { return cmp.Compare(a.hash, b.hash) })
}
