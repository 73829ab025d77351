package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/placement"
)

func addresses(domain, count int) []string {
	all := make([]string, 0, count)
	for i := range count {
		all = append(all, fmt.Sprintf("10.%d.%03d.%03d:80", domain, i/100, i%100))
	}
	return all
}

// Guards against beacons that grow with the fleet and saturate the links and CPUs of
// all hosts. The beacons per round are bounded, every daemon is reached within the
// announced period, and in a fleet of 13 hosts all neighbors are reached in every round.
func TestRoundsAreBounded(t *testing.T) {
	for _, test := range []struct {
		near, far             int
		nearPeriod, farPeriod time.Duration
		// mostPerSecond bounds the beacons that one daemon sends.
		mostPerSecond int
	}{
		{4, 8, 100 * time.Millisecond, 800 * time.Millisecond, 52},
		{25, 50, 1300 * time.Millisecond, 15 * time.Second, 24},
		{38, 156, 1900 * time.Millisecond, 46800 * time.Millisecond, 24},
		{450, 4950, 22500 * time.Millisecond, 1485 * time.Second, 24},
		{0, 1, 0, 100 * time.Millisecond, 10},
	} {
		t.Run(fmt.Sprint(test.near, "+", test.far), func(t *testing.T) {
			is := is.New(t)
			r := NewPeerSelector(7)
			near, far := addresses(1, test.near), addresses(2, test.far)
			reached := [2]map[string]bool{{}, {}}
			longest := [2]time.Duration{test.nearPeriod, test.farPeriod}
			sent, elapsed := 0, time.Duration(0)
			for ; elapsed < max(test.nearPeriod, test.farPeriod); elapsed += RoundInterval {
				plan := r.Next(near, far)
				for i, targets := range []Targets{plan.Near, plan.Far} {
					is.Equal(targets.Period, longest[i])
					for _, address := range targets.Addresses {
						reached[i][address] = true
					}
					sent += len(targets.Addresses)
				}
			}
			is.Equal(len(reached[0]), test.near)
			is.Equal(len(reached[1]), test.far)
			is.True(float64(sent) <= float64(test.mostPerSecond)*elapsed.Seconds()+1)
		})
	}
}

// node is a daemon in a simulated failure domain.
type node struct {
	name   backend.ID
	board  *ReportBuffer
	rounds *PeerSelector
	others []string
	known  map[backend.ID]id.Instant
}

// simulateDomain runs a failure domain for some time and returns the age of the oldest
// load that any daemon has of any backend server.
func simulateDomain(t *testing.T, size int, loss float64, passed time.Duration) time.Duration {
	t.Helper()
	random := rand.New(rand.NewPCG(uint64(size), 1)) //nolint:gosec // A fixed sequence.
	names := addresses(1, size)
	nodes := make(map[string]*node, size)
	for i, name := range names {
		others := append(append([]string{}, names[:i]...), names[i+1:]...)
		nodes[name] = &node{name: backend.ID(name), board: NewReportBuffer(MaxNearReports), rounds: NewPeerSelector(uint64(i)), others: others, known: map[backend.ID]id.Instant{}}
	}
	now := id.Instant(time.Hour)
	for end := now.Add(passed); now < end; now = now.Add(RoundInterval) {
		random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		for _, name := range names {
			sender := nodes[name]
			reports := append(sender.board.Take(now), placement.Report{Server: sender.name, At: now})
			for _, address := range sender.rounds.Next(sender.others, nil).Near.Addresses {
				if random.Float64() < loss {
					continue
				}
				receiver := nodes[address]
				for i := range reports {
					// Ages are in whole milliseconds and exclude the network delay.
					report := reports[i]
					report.At = report.At.Add(time.Duration(random.IntN(3)) * time.Millisecond)
					if report.Server != receiver.name && receiver.board.Put(&report) {
						receiver.known[report.Server] = report.At
					}
				}
			}
		}
	}
	oldest := time.Duration(0)
	for _, n := range nodes {
		for _, name := range names {
			if backend.ID(name) != n.name {
				oldest = max(oldest, now.Sub(n.known[backend.ID(name)]))
			}
		}
	}
	return oldest
}

// Guards against loads older than the time after which a daemon counts as unreachable,
// one second or three periods, in failure domains of 4 to 200 hosts with 10% of the
// beacons lost.
func TestReportsReachTheFailureDomain(t *testing.T) {
	for _, size := range []int{4, 27, 39, 100, 200} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			limit := max(time.Second, 3*NearPeriod(size-1))
			oldest := simulateDomain(t, size, 0.1, limit+2*time.Second)
			is.True(oldest <= limit)
		})
	}
}

// Guards against forwarding the load of a dead daemon forever. Two daemons exchange it,
// and the network delay makes it look slightly newer each time.
func TestOldReportsAreNotForwardedForever(t *testing.T) {
	is := is.New(t)
	a, b := NewReportBuffer(MaxNearReports), NewReportBuffer(MaxNearReports)
	now := id.Instant(time.Hour)
	first := placement.Report{Server: "dead", At: now}
	is.True(a.Put(&first))
	from, to := a, b
	forwards := 0
	for range 200 {
		now = now.Add(RoundInterval)
		for _, report := range from.Take(now) {
			report.At = report.At.Add(2 * time.Millisecond)
			if to.Put(&report) {
				forwards++
			}
		}
		from, to = to, from
	}
	is.Equal(forwards, 1)
	is.Equal(len(b.entries), 0)
}
