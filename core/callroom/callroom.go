// Package callroom decides whether a client's request is worth starting, given that the
// requests of its route call other services and those may have no room for the calls.
//
// A run whose call is refused fails: the work of its backend server is wasted, and unlike
// a refused request it cannot be sent again. A Table therefore learns from the runs that
// began at this daemon how many of each route fail for a refused call. While these exceed
// a small share, it admits only a part of the route's requests and refuses the others
// before they start.
//
// The admitted rate is lowered by what the failures say is too much: if the called service
// has room for the calls of four runs in five, a fifth less is admitted. It is raised
// slowly while nothing is known but that few runs fail, and ever faster once the load
// reports show room or many runs in a row have found it. Only runs that began after the
// rate was last lowered can lower it again, since earlier ones show the load of before.
//
// Each daemon sees a part of the traffic, sometimes a few requests a second. A single
// failed run therefore changes nothing, and a few requests a second are always admitted:
// without them nobody would see that there is room again. All requests of a route are
// admitted as long as its calls are served.
//
// # Usage
//
//	table := callroom.NewTable(occupancy)
//	if decision := table.Admit("orders", rand.Uint64(), now); !decision.Admitted {
//		// Refuse the request as not run; it may return after decision.RetryAfter.
//	}
//	run := table.Begun("orders", now)
//	table.Ended(run, callRefused, later)
package callroom

import (
	"sync"
	"time"

	"marjoramsaddle/core/id"
)

const (
	// sampleInterval is the longest time without an admitted request while requests
	// arrive. Two samples a second find returning room within a second, and cost a called
	// service with no room at all little.
	sampleInterval = 500 * time.Millisecond
	// forgetAfter is how long the state of a route without requests or runs is kept. It is
	// longer than a client waits and bounds the table by the routes in use.
	forgetAfter = 10 * time.Second
)

// Occupancy returns the used share of the slots of the services that the route calls, the
// highest of them, and false if no load reports of them are known.
type Occupancy func(route string, at id.Instant) (used float64, known bool)

// Share is a part of the requests of a route, from 0 to 1.
type Share float64

// Decision is whether a request may start.
type Decision struct {
	Admitted bool
	// Share is the share of the route's requests that are admitted.
	Share Share
	// RetryAfter is the time after which a request that is not admitted probably will be.
	RetryAfter time.Duration
}

// Run is a run of a route on a backend server.
type Run struct {
	route string
	began id.Instant
}

// Status is the state of a route for metrics.
type Status struct {
	// Admitted is the share of the route's requests that are admitted.
	Admitted Share
	// CallRefused is the share of the recent runs that failed because a call was refused.
	CallRefused Share
}

// Table decides for each route how many of its requests are admitted. It is safe for
// concurrent use. It calls its Occupancy function with its lock held.
type Table struct {
	occupancy Occupancy

	mu     sync.Mutex
	routes map[string]*routeState
}

// NewTable returns a table that admits all requests.
func NewTable(occupancy Occupancy) *Table {
	return &Table{occupancy: occupancy, routes: map[string]*routeState{}}
}

// Admit decides whether a client's request for the route may start. The random number is
// uniformly distributed.
func (t *Table) Admit(route string, random uint64, at id.Instant) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.stateOf(route, at)
	state.demand.add(at)
	t.advance(route, state, at)
	share := state.share(at)
	if at.Sub(state.lastAdmittedAt) >= sampleInterval || float64(random>>11)/(1<<53) < float64(share) {
		state.lastAdmittedAt = at
		return Decision{Admitted: true, Share: share}
	}
	return Decision{Share: share, RetryAfter: time.Duration(float64(recoveryTime) * float64(1-share))}
}

// Begun returns a run of the route that begins now.
func (t *Table) Begun(route string, at id.Instant) Run { return Run{route: route, began: at} }

// Ended records that the run ended with a response, and whether it failed because a call
// found no room. Runs without a response are not recorded, since it is unknown why they
// failed.
func (t *Table) Ended(run Run, callRefused bool, at id.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.stateOf(run.route, at)
	t.advance(run.route, state, at)
	state.ended(run.began, callRefused, at)
}

// Status returns the state of the routes of which runs have lately failed for a refused
// call.
func (t *Table) Status(at id.Instant) map[string]Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetUnused(at)
	all := map[string]Status{}
	for route, state := range t.routes {
		if !state.isQuiet(at) {
			all[route] = Status{Admitted: state.share(at), CallRefused: Share(state.recent.share())}
		}
	}
	return all
}

// stateOf returns the state of the route, and creates it if the route has not been in use.
func (t *Table) stateOf(route string, at id.Instant) *routeState {
	state := t.routes[route]
	if state == nil || state.isUnused(at) {
		t.forgetUnused(at)
		state = newRouteState(at)
		t.routes[route] = state
	}
	state.usedAt = at
	return state
}

// advance brings the state of the route up to the given instant.
func (t *Table) advance(route string, state *routeState, at id.Instant) {
	if !state.isQuiet(at) && at.Sub(state.occupancyAt) >= occupancyInterval {
		used, known := t.occupancy(route, at)
		state.setOccupancy(used, known, at)
	}
	state.grow(at)
}

// forgetUnused removes the routes that have not been in use for a while, for example
// because the configuration no longer has them.
func (t *Table) forgetUnused(at id.Instant) {
	for route, state := range t.routes {
		if state.isUnused(at) {
			delete(t.routes, route)
		}
	}
}
