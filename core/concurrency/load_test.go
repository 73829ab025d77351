package concurrency

import (
	"math"
	"math/rand/v2"
	"time"

	"marjoramsaddle/core/id"
)

// rule decides how many requests a backend server may run.
type rule interface {
	Begin(at id.Instant)
	End(started, at id.Instant, outcome Outcome)
	Value() int
}

// kind is one kind of work with its mean service time.
type kind struct {
	mean time.Duration
	// share returns the share of requests of this kind.
	share func(at time.Duration) float64
}

// load is what a group of backend servers handles in a test. Requests arrive at random
// at the given share of the capacity of all servers at their best concurrency, and go
// to the server with the lowest expected time, as in package placement.
type load struct {
	name     string
	slots    int
	speeds   []float64
	kinds    []kind
	spread   float64
	duration time.Duration
	demand   func(at time.Duration) float64
	// slowdown is the factor on service times at the given number of running requests.
	slowdown func(running int) float64
	// disturbance is a factor on service times that does not depend on the load.
	disturbance func(server int, at time.Duration) float64
	// calls is how long each request waits for calls to other services.
	calls func(at time.Duration) time.Duration
	// followed is set where service times grow with the number of running requests.
	followed bool
	// want is the share of what the best fixed limit serves.
	want float64
}

const (
	step = 2 * time.Millisecond
	// longestWait and goal are in mean service times. Clients give up on what is late.
	longestWait = 1
	goal        = 5
)

// simRequest is a request of a simulated load. Its work and its calls are in seconds.
type simRequest struct {
	arrived, started id.Instant
	work, calls      float64
}

type simServer struct {
	speed           float64
	rule            rule
	running, queued []simRequest
	// service is the reported service time in seconds.
	service float64
	lowest  int
}

// played is the result of a load under one rule.
type played struct {
	arrived, served int
	// lowest is the lowest settled limit of any server.
	lowest int
}

func (l *load) meanService() time.Duration {
	if len(l.kinds) == 1 {
		return l.kinds[0].mean
	}
	return (l.kinds[0].mean + l.kinds[1].mean) / 2
}

// capacity returns the requests per second of all servers at the best concurrency.
func (l *load) capacity() float64 {
	best, sum := 0.0, 0.0
	for n := 1; n <= l.slots; n++ {
		best = math.Max(best, float64(n)/l.slowdown(n))
	}
	for _, speed := range l.speeds {
		sum += speed
	}
	return best * sum / l.meanService().Seconds()
}

// play plays the load with one rule for each server.
func (l *load) play(newRule func() rule, seed uint64) played {
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // A fixed sequence.
	servers := make([]*simServer, 0, len(l.speeds))
	for _, speed := range l.speeds {
		servers = append(servers, &simServer{speed: speed, rule: newRule(), service: l.meanService().Seconds() / speed, lowest: l.slots})
	}
	capacity, result := l.capacity(), played{lowest: l.slots}
	for at := time.Duration(0); at < l.duration; at += step {
		now := id.Instant(time.Hour).Add(at)
		for range arrivals(random, capacity*l.demand(at)*step.Seconds()) {
			result.arrived++
			server := choose(servers)
			server.queued = append(server.queued, l.request(random, at, now))
		}
		for i, server := range servers {
			result.served += l.advance(server, i, at, now)
			result.lowest = min(result.lowest, server.lowest)
		}
	}
	return result
}

// arrivals draws from the Poisson distribution.
func arrivals(random *rand.Rand, mean float64) int {
	count, product := 0, random.Float64()
	for product > math.Exp(-mean) {
		count++
		product *= random.Float64()
	}
	return count
}

// request draws a request: log-normal service times, of which one in a hundred is three
// to five times as long.
func (l *load) request(random *rand.Rand, at time.Duration, now id.Instant) simRequest {
	chosen := l.kinds[0]
	if len(l.kinds) > 1 && random.Float64() < l.kinds[1].share(at) {
		chosen = l.kinds[1]
	}
	sigma := math.Sqrt(math.Log(1 + l.spread*l.spread))
	work := chosen.mean.Seconds() * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
	if random.IntN(100) == 0 {
		work *= 3 + 2*random.Float64()
	}
	return simRequest{arrived: now, work: work, calls: l.calls(at).Seconds()}
}

// choose returns the server with the lowest expected time, as package placement
// estimates it from load reports.
func choose(servers []*simServer) *simServer {
	var best *simServer
	least := math.Inf(1)
	for _, server := range servers {
		slots, load := float64(settled(server.rule)), float64(len(server.running)+len(server.queued))
		wait := max(0, load+1-slots) / slots
		busy := 0.5 * math.Pow(min(1, load/slots), 4)
		if expected := server.service * (wait + 1 + busy); expected < least {
			best, least = server, expected
		}
	}
	return best
}

// record updates the reported service time.
func (s *simServer) record(took float64) {
	s.service += (min(took, 3*s.service) - s.service) / 32
}

func settled(r rule) int {
	if learned, ok := r.(*Limit); ok {
		return learned.Settled()
	}
	return r.Value()
}

// advance runs the server for one step and returns the requests served in time.
func (l *load) advance(server *simServer, index int, at time.Duration, now id.Instant) int {
	served := 0
	rate := server.speed / (l.slowdown(len(server.running)) * l.disturbance(index, at)) * step.Seconds()
	remaining := server.running[:0]
	for _, request := range server.running {
		if request.calls > 0 {
			request.calls -= step.Seconds()
		} else {
			request.work -= rate
		}
		if request.work > 0 {
			remaining = append(remaining, request)
			continue
		}
		server.rule.End(request.started, now, Served)
		server.record(now.Sub(request.started).Seconds())
		if now.Sub(request.arrived) <= l.goal() {
			served++
		}
	}
	server.running = remaining
	for len(server.queued) > 0 {
		request := server.queued[0]
		late := now.Sub(request.arrived) > longestWait*l.meanService()
		if !late && len(server.running) >= server.rule.Value() {
			break
		}
		server.queued = server.queued[1:]
		if !late {
			// Starts are unique, as on a clock in nanoseconds.
			request.started = now + id.Instant(len(server.running))
			server.rule.Begin(request.started)
			server.running = append(server.running, request)
		}
	}
	server.lowest = min(server.lowest, settled(server.rule))
	return served
}

func (l *load) goal() time.Duration { return goal*l.meanService() + 2*l.calls(0) }
