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
	// minNearTargets and maxNearTargets bound the beacons per round within the failure
	// domain. Two copies let a report spread although some beacons are lost.
	minNearTargets = 2
	maxNearTargets = 4
	// nearBeaconsPerRound is the total that a daemon and its neighbors receive per
	// round, within the bounds minNearTargets and maxNearTargets.
	nearBeaconsPerRound = 16
	// minFarRate and maxFarRate bound the beacons per round to other failure domains.
	minFarRate = 1.0 / 3
	maxFarRate = 2.0
	// farBeaconsPerRound is nearBeaconsPerRound for other failure domains. A daemon
	// that receives such a beacon forwards its loads to its neighbors.
	farBeaconsPerRound = 9.0
)

// Targets holds the daemons that receive a beacon in one round.
type Targets struct {
	Addresses []string
	// Period is the time until this daemon sends to each of them again.
	Period time.Duration
}

// Plan holds the targets of one round, in the local and in other failure domains.
type Plan struct{ Near, Far Targets }

// PeerSelector cycles through the daemons of a fleet whose membership may change.
type PeerSelector struct {
	near, far rotation
	// credit is the fraction of a beacon to other failure domains that earlier rounds
	// have not used.
	credit float64
}

// NewPeerSelector returns a selector whose order depends on the seed. Daemons with
// different seeds select different targets per round, so reports spread evenly.
func NewPeerSelector(seed uint64) *PeerSelector {
	return &PeerSelector{near: rotation{seed: seed}, far: rotation{seed: seed}}
}

// Next returns the targets of the next round. The caller passes a new slice whenever
// the membership changes, and otherwise the same one.
func (s *PeerSelector) Next(near, far []string) Plan {
	rate := farRate(len(far))
	s.credit = min(s.credit+rate, maxFarRate)
	farCount := min(len(far), int(s.credit+roundingError))
	s.credit -= float64(farCount)
	return Plan{
		Near: s.near.next(near, nearTargets(len(near)), float64(nearTargets(len(near)))),
		Far:  s.far.next(far, farCount, rate),
	}
}

// roundingError makes three credits of one third count as a whole beacon.
const roundingError = 1e-9

func nearTargets(near int) int {
	if near == 0 {
		return 0
	}
	return min(near, max(minNearTargets, min(maxNearTargets, nearBeaconsPerRound/near)))
}

func farRate(far int) float64 {
	if far == 0 {
		return 0
	}
	return min(float64(far), max(minFarRate, min(maxFarRate, farBeaconsPerRound/float64(far))))
}

// NearPeriod returns the time within which a daemon receives the load of each backend
// server of its failure domain, which has near other daemons.
func NearPeriod(near int) time.Duration {
	return reportPeriod(near, float64(nearTargets(near))*MaxNearReports)
}

// FarPeriod is NearPeriod for the backend servers of other failure domains.
func FarPeriod(near, far int) time.Duration {
	direct := farRate(far) * float64(min(near+1, MaxNearReports))
	return reportPeriod(far, direct+float64(nearTargets(near))*MaxFarReports)
}

// reportPeriod accounts for duplicates: when reports arrive at random, the last server
// takes its mean time multiplied by a logarithm (the coupon collector's problem).
func reportPeriod(servers int, perRound float64) time.Duration {
	if servers == 0 {
		return RoundInterval
	}
	rounds := math.Ceil((1 + math.Log(float64(servers))) * float64(servers) / perRound)
	return time.Duration(rounds) * RoundInterval
}

// rotation cycles through a list of addresses in the order of their seeded hashes.
type rotation struct {
	seed uint64
	// source is the list as passed by the caller, order the same sorted by hash.
	source   []string
	order    []hashedAddress
	lastHash uint64
}

type hashedAddress struct {
	hash    uint64
	address string
}

// next returns the next targets. The rate is their mean number per round.
func (r *rotation) next(addresses []string, count int, rate float64) Targets {
	if len(addresses) == 0 || rate == 0 {
		return Targets{}
	}
	period := time.Duration(math.Ceil(float64(len(addresses))/rate)) * RoundInterval
	if count == 0 {
		return Targets{Period: period}
	}
	r.rebuild(addresses)
	start, found := slices.BinarySearchFunc(r.order, r.lastHash, func(target hashedAddress, lastHash uint64) int { return cmp.Compare(target.hash, lastHash) })
	if found {
		start++
	}
	selected := make([]string, 0, count)
	for i := range count {
		target := r.order[(start+i)%len(r.order)]
		selected = append(selected, target.address)
		r.lastHash = target.hash
	}
	return Targets{Addresses: selected, Period: period}
}

// rebuild sorts a list that has changed. The rotation continues after the last hash.
func (r *rotation) rebuild(addresses []string) {
	if len(r.source) == len(addresses) && &r.source[0] == &addresses[0] {
		return
	}
	r.source = addresses
	r.order = r.order[:0]
	seed := strconv.FormatUint(r.seed, 36)
	for _, address := range addresses {
		r.order = append(r.order, hashedAddress{hash: xxhash.Sum64String(seed + address), address: address})
	}
	slices.SortFunc(r.order, func(a, b hashedAddress) int { return cmp.Compare(a.hash, b.hash) })
}
