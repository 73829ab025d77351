package sidecar

import (
	"slices"
	"time"

	"marjoramsaddle/core/id"
)

const (
	// beaconInterval is the time between two rounds of beacons.
	beaconInterval = 100 * time.Millisecond
	// beaconsPerRound bounds the beacons of one round within the failure domain,
	// and again those beyond it. With up to 15 daemons in a failure domain each
	// hears of each every 100 ms. At 300 daemons a daemon sends and receives 300
	// beacons a second, which take a tenth of a link of 6 Mbit/s at most.
	beaconsPerRound = 15
	// farRounds is the number of rounds in which all other failure domains are
	// told, while they have few daemons.
	farRounds = 3
)

// rounds spreads the beacons to all daemons over rounds of bounded size.
type rounds struct{ near, far rotation }

// batch is the receivers of one round that are told in the same period.
type batch struct {
	addresses []string
	period    time.Duration
}

// next returns the receivers of the next round.
func (r *rounds) next(near, far []string) [2]batch {
	return [2]batch{
		r.near.next(near, min(len(near), beaconsPerRound)),
		r.far.next(far, min((len(far)+farRounds-1)/farRounds, beaconsPerRound)),
	}
}

// rotation goes through a list that may change on the way.
type rotation struct{ last string }

func (r *rotation) next(all []string, count int) batch {
	if count == 0 {
		return batch{}
	}
	slices.Sort(all)
	start, found := slices.BinarySearch(all, r.last)
	if found {
		start++
	}
	taken := make([]string, 0, count)
	for i := range count {
		taken = append(taken, all[(start+i)%len(all)])
	}
	r.last = taken[count-1]
	full := (len(all) + count - 1) / count
	return batch{addresses: taken, period: time.Duration(full) * beaconInterval}
}

// split returns the control addresses of the daemons in the failure domain, and
// of all others that may be alive.
func (m *members) split(domain id.Domain) (near, far []string) {
	all := m.addresses()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, address := range all {
		if beacon, heard := m.heard[address]; heard && beacon.Domain == domain {
			near = append(near, address)
			continue
		}
		far = append(far, address)
	}
	return near, far
}
