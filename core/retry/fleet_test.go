package retry

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"marjoramsaddle/core/id"
)

func limits() FleetLimits { return FleetLimits{Ratio: 0.2, Slack: 430, Daemons: 195} }

// Guards against a retry storm while the backend servers of a service reject half of
// all requests. The retries of all daemons together, and those of the calls that they
// make, stay within the ratio and the slack, in any order of events and while daemons
// restart.
func TestFleetRetriesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 20
		limits := FleetLimits{Ratio: 0.2, Slack: 44, Daemons: daemons}
		budgets := make([]*FleetBudget, daemons)
		restart := func(i int) {
			budgets[i] = NewFleetBudget(func() FleetLimits { return limits })
			budgets[i].RecordCalls("lookup", map[id.Service]int{"depot": 1})
		}
		for i := range budgets {
			restart(i)
		}
		requests, retries := map[id.Service]float64{}, map[id.Service]float64{}
		restarts := 0
		for range rapid.IntRange(1, 4000).Draw(t, "requests") {
			budget := budgets[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				budget.RecordFirstAttempt("depot", false)
				requests["depot"]++
				if budget.Take("depot", "download", 1) {
					retries["depot"]++
				}
			case 1:
				if restarts < daemons/2 {
					restarts++
					restart(rapid.IntRange(0, daemons-1).Draw(t, "restarted"))
				}
			default:
				budget.RecordFirstAttempt("counter", false)
				requests["counter"]++
				if budget.Take("counter", "lookup", 1) {
					retries["counter"]++
					retries["depot"]++
					budget.ChargeCalls("lookup", map[id.Service]int{"depot": 1})
				}
			}
		}
		for service, count := range retries {
			if count > limits.Ratio*requests[service]+limits.Slack {
				t.Fatalf("%v retries of %v requests for %s", count, requests[service], service)
			}
		}
	})
}

// Guards against orders that are not retried because lookups, whose runs make calls,
// have used up the retries of the called service.
func TestRoutesWithoutCallsAreRetried(t *testing.T) {
	is := is.New(t)
	budget := NewFleetBudget(limits)
	budget.RecordCalls("lookup", map[id.Service]int{"depot": 2})
	for range 20 {
		budget.RecordFirstAttempt("counter", false)
	}
	is.True(budget.Take("counter", "lookup", 1))
	budget.ChargeCalls("lookup", nil)
	is.True(!budget.Take("counter", "lookup", 1))
	for range 20 {
		budget.RecordFirstAttempt("counter", false)
	}
	is.True(budget.Take("counter", "order", 1))
	// A call earns less than a client's request.
	for range 13 {
		budget.RecordFirstAttempt("depot", true)
		budget.RecordFirstAttempt("counter", false)
	}
	is.True(budget.Take("counter", "lookup", 1))
}

// Guards against refusing orders while backend servers reject half of all requests
// because lookups, which are more frequent, take the retries first.
func TestUrgentRequestsAreRetriedFirst(t *testing.T) {
	is := is.New(t)
	budget := NewFleetBudget(limits)
	orders, lookups, refused := 0, 0, 0
	for i := range 4000 {
		budget.RecordFirstAttempt("counter", false)
		if i%2 == 0 {
			continue
		}
		// Every fourth rejected request is an order.
		if i%8 != 1 {
			if budget.Take("counter", "lookup", 2) {
				lookups++
			}
			continue
		}
		if budget.Take("counter", "order", 1) {
			orders++
		} else {
			refused++
		}
	}
	is.True(refused <= orders/100)
	is.True(lookups > 0)
}

// Guards against saved retries that add up to more than the platform's slack across
// daemons, and against retries where none are allowed.
func TestTokenCap(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		limits FleetLimits
		most   int
	}{{limits(), 2}, {FleetLimits{Ratio: 0.2, Slack: 64, Daemons: 13}, 4}, {FleetLimits{Slack: 64, Daemons: 1}, 0}} {
		budget := NewFleetBudget(func() FleetLimits { return test.limits })
		for range 1000 {
			budget.RecordFirstAttempt("counter", false)
		}
		taken := 0
		for budget.Take("counter", "r", 1) {
			taken++
		}
		is.Equal(taken, test.most)
	}
}

// Guards against a mean number of calls that does not follow the recorded runs.
func TestMeanCallsOfARoute(t *testing.T) {
	is := is.New(t)
	budget := NewFleetBudget(limits)
	budget.RecordCalls("order", map[id.Service]int{})
	is.Equal(len(budget.calls), 0)
	budget.RecordCalls("lookup", map[id.Service]int{"depot": 2})
	is.Equal(budget.calls["lookup"]["depot"], 2.0)
	for range 100 {
		budget.RecordCalls("lookup", map[id.Service]int{"depot": 1})
	}
	is.True(budget.calls["lookup"]["depot"] < 1.01)
	for range 100 {
		budget.RecordCalls("lookup", nil)
	}
	is.True(budget.calls["lookup"]["depot"] < 0.01)
}
