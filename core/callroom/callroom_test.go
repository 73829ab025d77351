package callroom

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/id"
)

const (
	// The loads are 400 requests a second at 40 daemons, whose calls need 40 slots.
	modelDaemons  = 40
	modelRequests = 400
	neededSlots   = 40
	ampleSlots    = 56
	// troubleFrom and troubleUntil are the seconds in which a load exceeds the capacity.
	troubleFrom, troubleUntil = 5, 12
	modelSeconds              = 18
	// seeds is the number of random sequences that each load is played with.
	seeds = 3
)

func always[T any](value T) func(float64) T { return func(float64) T { return value } }

// during returns the first value in the seconds of trouble and the other one elsewhere.
func during[T any](trouble, otherwise T) func(float64) T {
	return func(second float64) T {
		if second >= troubleFrom && second < troubleUntil {
			return trouble
		}
		return otherwise
	}
}

// ordinaryLoad returns a load that both services have the capacity for.
func ordinaryLoad() load {
	return load{
		daemons: modelDaemons, requests: always[float64](modelRequests), seconds: modelSeconds, reports: true,
		callerSlots: always(modelRequests), calledSlots: always(ampleSlots),
	}
}

// Guards against runs that are started although the called service has no room for their
// calls, against requests that are refused although it has, and against a part of the
// capacity that stays unused.
func TestTroubleOfSomeSeconds(t *testing.T) {
	halfLost := ordinaryLoad()
	halfLost.calledSlots = during(ampleSlots/2, ampleSlots)
	withoutReports := halfLost
	withoutReports.reports = false
	clientsReturn := halfLost
	clientsReturn.returns = 3
	burst := ordinaryLoad()
	burst.direct = during(480.0, 0)
	// Both services start with the demand already there, the called one at a quarter.
	coldStart := ordinaryLoad()
	coldStart.calledSlots = func(second float64) int {
		if second < troubleUntil {
			return ampleSlots / 4
		}
		return ampleSlots
	}
	coldStart.callerSlots = func(second float64) int { return min(modelRequests, 4+int(second*20)) }
	tests := []struct {
		name string
		load load
		// left are the slots that are left for calls during the trouble.
		left int
		// failed bounds the share of the runs that fail from two seconds into the trouble
		// on, and failedOtherwise is exceeded if all requests are admitted.
		failed, failedOtherwise float64
		// refusedAfter bounds the share refused from two seconds after the trouble on.
		refusedAfter float64
	}{
		{"called service loses half of its capacity", halfLost, ampleSlots / 2, 0.09, 0.3, 0.02},
		{"called service loses half, no load reports", withoutReports, ampleSlots / 2, 0.11, 0.3, 0.35},
		{"called service loses half, refused clients return", clientsReturn, ampleSlots / 2, 0.1, 0.3, 0.3},
		{"burst of direct requests at the called service", burst, ampleSlots - 24, 0.08, 0.15, 0.02},
		{"cold start of both services", coldStart, ampleSlots / 4, 0.11, 0.5, 0.02},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				is := is.New(t)
				result := play(test.load, seed)
				trouble, after := result.between(troubleFrom+2, troubleUntil), result.between(troubleUntil+2, modelSeconds)
				capacity := test.left * int(time.Second/(callsPerRun*callTime)) * (troubleUntil - troubleFrom - 2)
				t.Logf("trouble: %+v of %d, failed %.3f; after: %+v, refused %.3f", trouble, capacity, trouble.failedShare(), after, after.refusedShare())
				is.True(trouble.failedShare() < test.failed)
				is.True(trouble.served > capacity*9/10)
				is.True(after.refusedShare() < test.refusedAfter)
				is.True(after.failedShare() < 0.05)
				test.load.admitAll = true
				is.True(play(test.load, seed).between(troubleFrom+2, troubleUntil).failedShare() > test.failedOtherwise)
				test.load.admitAll = false
			}
		})
	}
}

// Guards against an admitted share that swings between too much and too little while the
// demand exceeds the capacity for long, also where each daemon sees few requests.
func TestSteadyOverload(t *testing.T) {
	tests := []struct {
		name    string
		daemons int
		failed  float64
	}{
		{"four requests a second at each daemon", 100, 0.13},
		{"ten requests a second at each daemon", 40, 0.08},
		{"a hundred requests a second at each daemon", 4, 0.07},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				is := is.New(t)
				overload := ordinaryLoad()
				overload.daemons, overload.calledSlots = test.daemons, always(neededSlots*2/3)
				result := play(overload, seed)
				from := 3
				sum := result.between(from, modelSeconds)
				capacity := neededSlots * 2 / 3 * 10 * (modelSeconds - from)
				t.Logf("%+v of %d, failed %.3f", sum, capacity, sum.failedShare())
				is.True(sum.failedShare() < test.failed)
				is.True(sum.served > capacity*9/10)
				for second := from; second < modelSeconds; second++ {
					is.True(result[second].served > neededSlots*2/3*10*7/10)
					is.True(result[second].refusedShare() < 0.55)
				}
			}
		})
	}
}

// Guards against requests that are refused where calls find room, and where a few runs in
// a hundred fail for reasons that refusing others does not change.
func TestFewFailuresChangeNothing(t *testing.T) {
	tests := []struct {
		name    string
		daemons int
		failing float64
		reports bool
		// full fills the called service with requests that follow calls.
		full    bool
		refused float64
	}{
		{"all calls served", 40, 0, true, false, 0},
		{"all calls served, no load reports", 40, 0, false, false, 0},
		{"all calls served, full called service", 40, 0, true, true, 0},
		{"two runs in a hundred fail", 40, 0.01, true, false, 0.005},
		{"two runs in a hundred fail, no load reports", 40, 0.01, false, false, 0.015},
		{"two runs in a hundred fail, full called service", 40, 0.01, true, true, 0.02},
		{"two runs in a hundred fail, full called service, small daemons", 80, 0.01, true, true, 0.01},
		{"four runs in a hundred fail", 40, 0.02, true, false, 0.01},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				is := is.New(t)
				few := ordinaryLoad()
				few.failing, few.reports, few.daemons = test.failing, test.reports, test.daemons
				if test.full {
					few.direct, few.directLast = always[float64](modelRequests), true
				}
				sum := play(few, seed).between(0, modelSeconds)
				t.Logf("%+v, failed %.3f, refused %.4f", sum, sum.failedShare(), sum.refusedShare())
				is.True(sum.refusedShare() <= test.refused)
			}
		})
	}
}

// newTable returns a table whose load reports show the given occupancy.
func newTable(used float64) *Table {
	return NewTable(func(string, id.Instant) (float64, bool) { return used, true })
}

// fail records runs of the route that begin at the instant and fail.
func fail(table *Table, route string, runs int, at id.Instant) {
	for range runs {
		table.Ended(table.Begun(route, at), true, at)
	}
}

// Guards against a single failed run among few that starts the refusals, and against
// refusals of a route whose calls are served because those of another one are not.
func TestSingleFailuresAndOtherRoutes(t *testing.T) {
	is := is.New(t)
	at := id.Instant(time.Hour)
	table := newTable(1)
	fail(table, "orders", 1, at)
	is.Equal(table.Admit("orders", 1<<63, at), Decision{Admitted: true, Share: 1})
	is.Equal(table.Status(at)["orders"], Status{Admitted: 1, CallRefused: 1})
	fail(table, "orders", 3, at)
	decision := table.Admit("orders", 1<<64-1, at)
	is.True(!decision.Admitted)
	is.True(decision.Share <= 0.6)
	is.True(decision.RetryAfter > 0 && decision.RetryAfter <= recoveryTime)
	is.True(table.Admit("orders", 0, at).Admitted)
	is.Equal(table.Admit("stock", 1<<64-1, at), Decision{Admitted: true, Share: 1})
}

// Guards against a called service that is gone and takes the route with it: without
// samples nobody sees it return. Guards also against state that outlives its use.
func TestRouteIsSampledAndRecovers(t *testing.T) {
	is := is.New(t)
	at := id.Instant(time.Hour)
	used := 1.0
	table := NewTable(func(string, id.Instant) (float64, bool) { return used, true })
	const step = 10 * time.Millisecond
	play := func(span time.Duration, callRefused bool) (admitted int) {
		for end := at.Add(span); at.Before(end); at = at.Add(step) {
			if table.Admit("orders", 1<<64-1, at).Admitted {
				admitted++
				table.Ended(table.Begun("orders", at), callRefused, at)
			}
		}
		return admitted
	}
	fail(table, "orders", 20, at)
	is.True(play(21*time.Second, true) >= 40)
	is.True(table.Admit("orders", 1<<64-1, at).Share < 0.1)
	used = 0.5
	play(2500*time.Millisecond, false)
	is.Equal(table.Admit("orders", 1<<64-1, at).Share, Share(1))
	play(time.Second, false)
	is.Equal(table.Admit("orders", 1<<64-1, at).Share, Share(1))
	table.Ended(table.Begun("orders", at), false, at)
	is.Equal(len(table.Status(at)), 0)
	fail(table, "former", 1, at)
	for end := at.Add(forgetAfter + time.Second); at.Before(end); at = at.Add(time.Second) {
		// Reading the state does not count as use.
		table.Status(at)
	}
	fail(table, "orders", 1, at)
	is.Equal(len(table.Status(at)), 1)
	is.Equal(len(table.routes), 1)
}

// Guards against runs that began before the share was lowered and lower it again, although
// the demand that they met is gone.
func TestRunsOfBeforeDoNotCount(t *testing.T) {
	is := is.New(t)
	at := id.Instant(time.Hour)
	table := newTable(1)
	earlier := table.Begun("orders", at)
	at = at.Add(100 * time.Millisecond)
	fail(table, "orders", 2, at)
	share := table.Admit("orders", 0, at).Share
	is.True(share < 1)
	at = at.Add(time.Second)
	for range 50 {
		table.Ended(earlier, true, at)
	}
	is.True(table.Admit("orders", 0, at).Share >= share)
	fail(table, "orders", 10, at)
	is.True(table.Admit("orders", 0, at).Share < share)
}

// Guards against refusals for failures that do not depend on the load: while reports show
// room, at least a half of the requests is admitted.
func TestRoomBoundsTheRefusals(t *testing.T) {
	is := is.New(t)
	at := id.Instant(time.Hour)
	table := newTable(0.3)
	for range 100 {
		fail(table, "orders", 4, at)
		for range 6 {
			table.Ended(table.Begun("orders", at), false, at)
		}
		at = at.Add(300 * time.Millisecond)
	}
	is.True(table.Admit("orders", 0, at).Share >= minAdmittedWithRoom)
	// Where nearly all runs fail, such as by servers that reject what they have room for,
	// the share falls further.
	for range 100 {
		fail(table, "orders", 10, at)
		at = at.Add(300 * time.Millisecond)
	}
	is.True(table.Admit("orders", 0, at).Share < 0.1)
}
