package retry

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"marjoramsaddle/core/id"
)

func terms() FleetLimits { return FleetLimits{Ratio: 0.2, Slack: 430, Daemons: 195} }

// Guards against a storm of repeats while the backend servers of a service
// reject half of all requests: the repeats of all daemons together, and those of
// the calls that repeated runs make, stay within the ratio and the slack, in
// every order of events and with every daemon restarted.
func TestRepeatsOfAFleetAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 20
		allowed := FleetLimits{Ratio: 0.2, Slack: 44, Daemons: daemons}
		ledgers := make([]*FleetBudget, daemons)
		restart := func(i int) {
			ledgers[i] = NewFleetBudget(func() FleetLimits { return allowed })
			ledgers[i].RecordCalls("lookup", map[id.Service]int{"depot": 1})
		}
		for i := range ledgers {
			restart(i)
		}
		requests, repeats := map[id.Service]float64{}, map[id.Service]float64{}
		restarts := 0
		for range rapid.IntRange(1, 4000).Draw(t, "requests") {
			ledger := ledgers[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				ledger.RecordFirstAttempt("depot", false)
				requests["depot"]++
				if ledger.Take("depot", "download", 1) {
					repeats["depot"]++
				}
			case 1:
				if restarts < daemons/2 {
					restarts++
					restart(rapid.IntRange(0, daemons-1).Draw(t, "restarted"))
				}
			default:
				ledger.RecordFirstAttempt("counter", false)
				requests["counter"]++
				if ledger.Take("counter", "lookup", 1) {
					repeats["counter"]++
					repeats["depot"]++
					ledger.ChargeCalls("lookup", map[id.Service]int{"depot": 1})
				}
			}
		}
		for service, count := range repeats {
			if count > allowed.Ratio*requests[service]+allowed.Slack {
				t.Fatalf("%v repeats of %v requests for %s", count, requests[service], service)
			}
		}
	})
}

// Guards against orders that are not tried again because lookups, whose runs
// make calls, have used up the repeats of the called service.
func TestRoutesWithoutCallsAreRepeated(t *testing.T) {
	is := is.New(t)
	ledger := NewFleetBudget(terms)
	ledger.RecordCalls("lookup", map[id.Service]int{"depot": 2})
	for range 20 {
		ledger.RecordFirstAttempt("counter", false)
	}
	is.True(ledger.Take("counter", "lookup", 1))
	ledger.ChargeCalls("lookup", nil)
	is.True(!ledger.Take("counter", "lookup", 1))
	for range 20 {
		ledger.RecordFirstAttempt("counter", false)
	}
	is.True(ledger.Take("counter", "order", 1))
	// A call earns less than a request of a client.
	for range 13 {
		ledger.RecordFirstAttempt("depot", true)
		ledger.RecordFirstAttempt("counter", false)
	}
	is.True(ledger.Take("counter", "lookup", 1))
}

// Guards against orders that are refused while backend servers reject half of
// all requests, because lookups, which are more, take the repeats first.
func TestUrgentRequestsAreRepeatedFirst(t *testing.T) {
	is := is.New(t)
	ledger := NewFleetBudget(terms)
	orders, lookups, refused := 0, 0, 0
	for i := range 4000 {
		ledger.RecordFirstAttempt("counter", false)
		if i%2 == 0 {
			continue
		}
		// Every fourth rejected request is an order.
		if i%8 != 1 {
			if ledger.Take("counter", "lookup", 2) {
				lookups++
			}
			continue
		}
		if ledger.Take("counter", "order", 1) {
			orders++
		} else {
			refused++
		}
	}
	is.True(refused <= orders/100)
	is.True(lookups > 0)
}

// Guards against saved repeats of many daemons that add up to more than the
// platform's slack, and against repeats where none are allowed.
func TestSavedRepeats(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		terms FleetLimits
		most  int
	}{{terms(), 2}, {FleetLimits{Ratio: 0.2, Slack: 64, Daemons: 13}, 4}, {FleetLimits{Slack: 64, Daemons: 1}, 0}} {
		ledger := NewFleetBudget(func() FleetLimits { return test.terms })
		for range 1000 {
			ledger.RecordFirstAttempt("counter", false)
		}
		taken := 0
		for ledger.Take("counter", "r", 1) {
			taken++
		}
		is.Equal(taken, test.most)
	}
}

// Guards against a mean number of calls that does not follow the runs.
func TestCallsOfARoute(t *testing.T) {
	is := is.New(t)
	ledger := NewFleetBudget(terms)
	ledger.RecordCalls("order", map[id.Service]int{})
	is.Equal(len(ledger.calls), 0)
	ledger.RecordCalls("lookup", map[id.Service]int{"depot": 2})
	is.Equal(ledger.calls["lookup"]["depot"], 2.0)
	for range 100 {
		ledger.RecordCalls("lookup", map[id.Service]int{"depot": 1})
	}
	is.True(ledger.calls["lookup"]["depot"] < 1.01)
	for range 100 {
		ledger.RecordCalls("lookup", nil)
	}
	is.True(ledger.calls["lookup"]["depot"] < 0.01)
}
