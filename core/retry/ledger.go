package retry

import (
	"sync"

	"marjoramsaddle/core/id"
)

const (
	// clientShare is the part of the allowed ratio that the requests of clients
	// earn. The rest is for arrivals that nobody could count, such as those of a
	// daemon that has died.
	clientShare = 0.9
	// callShare is clientShare for calls that running requests make. Repeats of
	// requests also repeat these, so they earn less.
	callShare = 0.4
	// leastSaved is what a daemon can save at least: one repeat for the most urgent
	// requests, and one for others.
	leastSaved = 2.0
	// startTokens is what a daemon has at its start. A fleet in which many restart
	// must not start with the slack of each.
	startTokens = 1.0
	// deepestDebt bounds what is paid back for calls that repeats have made. It is
	// earned again within seconds at a few requests a second.
	deepestDebt = 20.0
	// fewCalls is the mean number of calls below which a route counts as one whose
	// runs make none.
	fewCalls = 0.05
	// callsWeight is the weight of one run in the mean number of its calls.
	callsWeight = 1.0 / 8
)

// FleetLimits is what the platform allows all daemons together.
type FleetLimits struct {
	// Ratio is the allowed share of repeats in the requests for a service.
	Ratio float64
	// Slack is the number of repeats for a service on top, in the platform's
	// window.
	Slack float64
	// Daemons is the number of daemons that share both.
	Daemons int
}

// FleetBudget is one daemon's part of the repeats that the platform allows for each
// service. A repeat of a request also repeats the calls that its run makes, and
// these count at the services that are called; so a route is not repeated while
// one of them has no repeats left, and its calls are charged there. The last
// repeat that is saved is left to the most urgent requests for the service.
//
// Usage:
//
//	ledger := retry.NewLedger(func() retry.Terms { ... })
//	ledger.First("counter", false)
//	if ledger.Take("counter", "r-1", rank) {
//		calls := sendAgain()
//		ledger.Repeated("r-1", calls)
//	}
//
// It is safe for concurrent use.
type FleetBudget struct {
	terms func() FleetLimits

	mu     sync.Mutex
	tokens map[id.Service]float64
	// urgent is the rank of the most urgent requests for a service so far.
	urgent map[id.Service]int
	// calls is the mean number of calls of one run of a route.
	calls map[string]map[id.Service]float64
}

// NewFleetBudget returns a ledger under terms that may change.
func NewFleetBudget(terms func() FleetLimits) *FleetBudget {
	return &FleetBudget{
		terms: terms, tokens: map[id.Service]float64{}, urgent: map[id.Service]int{}, calls: map[string]map[id.Service]float64{},
	}
}

// RecordFirstAttempt records a request for the service that is no repeat: of a client, or a
// call that a running request makes.
func (l *FleetBudget) RecordFirstAttempt(service id.Service, call bool) {
	terms := l.terms()
	share := clientShare
	if call {
		share = callShare
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens[service] = min(terms.most(), l.of(service)+share*terms.Ratio)
}

// most returns what one daemon saves up.
func (t FleetLimits) most() float64 {
	if t.Ratio <= 0 {
		return 0
	}
	return max(leastSaved, t.Slack/float64(max(1, t.Daemons)))
}

func (l *FleetBudget) of(service id.Service) float64 {
	if tokens, known := l.tokens[service]; known {
		return tokens
	}
	return startTokens
}

// Take uses one repeat of a request of the route for the service, if there is
// one, and if the services that its runs call have repeats left as well. A lower
// rank is more urgent.
func (l *FleetBudget) Take(service id.Service, route string, rank int) bool {
	if l.terms().Ratio <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.of(service) < l.needed(service, rank) {
		return false
	}
	for called, mean := range l.calls[route] {
		if mean >= fewCalls && l.of(called) <= 0 {
			return false
		}
	}
	l.tokens[service] = l.of(service) - 1
	return true
}

// needed returns the tokens that a repeat needs; it uses one of them.
func (l *FleetBudget) needed(service id.Service, rank int) float64 {
	urgent, known := l.urgent[service]
	if !known || rank < urgent {
		l.urgent[service] = rank
		urgent = rank
	}
	if rank > urgent {
		return 2
	}
	return 1
}

// ChargeCalls charges the calls that a repeat has made. Nil calls are unknown, and
// the mean of the route counts.
func (l *FleetBudget) ChargeCalls(route string, calls map[id.Service]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if calls == nil {
		for service, mean := range l.calls[route] {
			l.charge(service, mean)
		}
		return
	}
	for service, count := range calls {
		l.charge(service, float64(count))
	}
}

func (l *FleetBudget) charge(service id.Service, calls float64) {
	l.tokens[service] = max(-deepestDebt, l.of(service)-calls)
}

// RecordCalls takes in the calls that one run of the route has made.
func (l *FleetBudget) RecordCalls(route string, calls map[id.Service]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.calls[route]
	if known == nil {
		if len(calls) == 0 {
			return
		}
		known = map[id.Service]float64{}
		l.calls[route] = known
	}
	for service := range calls {
		if _, found := known[service]; !found {
			known[service] = float64(calls[service])
		}
	}
	for service, mean := range known {
		known[service] = mean + callsWeight*(float64(calls[service])-mean)
	}
}
