package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func addresses(count int) []string {
	all := make([]string, 0, count)
	for i := range count {
		all = append(all, fmt.Sprintf("10.0.%d.%d:80", i/100, i%100))
	}
	return all
}

// Guards against beacons that grow with the square of the fleet and fill the
// links of all hosts: a round is bounded, everybody has its turn within the
// period that is told, and small fleets hear of each other as often as before.
func TestRoundsAreBounded(t *testing.T) {
	for _, test := range []struct {
		near, far             int
		nearPeriod, farPeriod time.Duration
	}{
		{4, 8, 100 * time.Millisecond, 300 * time.Millisecond},
		{25, 50, 200 * time.Millisecond, 400 * time.Millisecond},
		{100, 200, 700 * time.Millisecond, 1400 * time.Millisecond},
		{0, 1, 0, 100 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(test.near, "+", test.far), func(t *testing.T) {
			is := is.New(t)
			var r rounds
			told := [2]map[string]bool{{}, {}}
			longest := [2]time.Duration{test.nearPeriod, test.farPeriod}
			for passed := time.Duration(0); passed < max(test.nearPeriod, test.farPeriod); passed += beaconInterval {
				for i, one := range r.next(addresses(test.near), addresses(test.far)) {
					is.True(len(one.addresses) <= beaconsPerRound)
					if len(one.addresses) > 0 {
						is.Equal(one.period, longest[i])
					}
					for _, address := range one.addresses {
						told[i][address] = true
					}
				}
			}
			is.Equal(len(told[0]), test.near)
			is.Equal(len(told[1]), test.far)
		})
	}
}
