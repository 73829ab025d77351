package retry

import (
	"sync"

	"marjoramsaddle/core/id"
)

const (
	// clientCredit is the share of the allowed ratio that a client's request earns. The
	// rest covers requests that no daemon counted, such as those of a daemon that died.
	clientCredit = 0.9
	// callCredit is the share that a call made by a running request earns. It is lower
	// than clientCredit, because a retry of the request also repeats its calls.
	callCredit = 0.4
	// minTokenCap is the lowest positive value of maxTokens: one retry for the most
	// urgent requests, and one for others.
	minTokenCap = 2.0
	// initialTokens is the number of tokens at start. If many daemons of a fleet
	// restart, each of them must not start with its share of the slack.
	initialTokens = 1.0
	// maxDebt bounds how far the calls of retries can lower the tokens of a service
	// below zero. A few requests a second earn this back within seconds.
	maxDebt = 20.0
	// minMeanCalls is the mean number of calls below which a route counts as making
	// none.
	minMeanCalls = 0.05
	// callsSampleWeight is the weight of one run in the moving average of its calls.
	callsSampleWeight = 1.0 / 8
)

// FleetLimits is the retry limit that the platform sets for all daemons together.
type FleetLimits struct {
	// Ratio is the maximum number of retries per request for a service.
	Ratio float64
	// Slack is the number of retries for a service that is allowed in addition, within
	// the platform's window.
	Slack float64
	// Daemons is the number of daemons that share the limit.
	Daemons int
}

// FleetBudget is one daemon's share of the retries that the platform allows for each
// service.
//
// A retried request repeats its calls to other services, and these count against the
// called services. A request is therefore not retried while a service that its route
// calls has no retries left, and the calls of a retry are charged to the called
// services. The last saved retry for a service is reserved for its most urgent requests.
//
// Usage:
//
//	budget := retry.NewFleetBudget(func() retry.FleetLimits { ... })
//	budget.RecordFirstAttempt("counter", false)
//	if budget.Take("counter", "r-1", rank) {
//		calls := sendAgain()
//		budget.ChargeCalls("r-1", calls)
//	}
//
// It is safe for concurrent use.
type FleetBudget struct {
	limits func() FleetLimits

	mu     sync.Mutex
	tokens map[id.Service]float64
	// topRank is the rank of the most urgent requests for a service so far.
	topRank map[id.Service]int
	// calls is the mean number of calls to each service per run of a route.
	calls map[string]map[id.Service]float64
}

// NewFleetBudget returns a budget whose limits may change. It reads them on each use.
func NewFleetBudget(limits func() FleetLimits) *FleetBudget {
	return &FleetBudget{
		limits: limits, tokens: map[id.Service]float64{}, topRank: map[id.Service]int{}, calls: map[string]map[id.Service]float64{},
	}
}

// RecordFirstAttempt records a request for the service that is not a retry. isCall is
// true if a running request made it, and false if a client did.
func (b *FleetBudget) RecordFirstAttempt(service id.Service, isCall bool) {
	limits := b.limits()
	share := clientCredit
	if isCall {
		share = callCredit
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(limits.maxTokens(), b.balance(service)+share*limits.Ratio)
}

// maxTokens returns the maximum number of tokens of one daemon for a service.
func (l FleetLimits) maxTokens() float64 {
	if l.Ratio <= 0 {
		return 0
	}
	return max(minTokenCap, l.Slack/float64(max(1, l.Daemons)))
}

func (b *FleetBudget) balance(service id.Service) float64 {
	if tokens, known := b.tokens[service]; known {
		return tokens
	}
	return initialTokens
}

// Take consumes one retry of a request of the route for the service. It returns false
// if none is left for the service or for one that the route calls. A lower rank is
// more urgent.
func (b *FleetBudget) Take(service id.Service, route string, rank int) bool {
	if b.limits().Ratio <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance(service) < b.requiredTokens(service, rank) {
		return false
	}
	for called, mean := range b.calls[route] {
		if mean >= minMeanCalls && b.balance(called) <= 0 {
			return false
		}
	}
	b.tokens[service] = b.balance(service) - 1
	return true
}

// requiredTokens returns the tokens that a retry requires; it consumes one of them.
func (b *FleetBudget) requiredTokens(service id.Service, rank int) float64 {
	topRank, known := b.topRank[service]
	if !known || rank < topRank {
		b.topRank[service] = rank
		topRank = rank
	}
	if rank > topRank {
		return 2
	}
	return 1
}

// ChargeCalls charges the calls that a retry has made. If calls is nil, they are
// unknown, and the mean of the route is charged.
func (b *FleetBudget) ChargeCalls(route string, calls map[id.Service]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if calls == nil {
		for service, mean := range b.calls[route] {
			b.charge(service, mean)
		}
		return
	}
	for service, count := range calls {
		b.charge(service, float64(count))
	}
}

func (b *FleetBudget) charge(service id.Service, calls float64) {
	b.tokens[service] = max(-maxDebt, b.balance(service)-calls)
}

// RecordCalls updates the mean calls of the route with those of one run.
func (b *FleetBudget) RecordCalls(route string, calls map[id.Service]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.calls[route]
	if known == nil {
		if len(calls) == 0 {
			return
		}
		known = map[id.Service]float64{}
		b.calls[route] = known
	}
	for service := range calls {
		if _, found := known[service]; !found {
			known[service] = float64(calls[service])
		}
	}
	for service, mean := range known {
		known[service] = mean + callsSampleWeight*(float64(calls[service])-mean)
	}
}
