// Package load sends a workload to a mesh at a fixed rate of arrivals, verifies
// each answer, and compares what callers saw with the backend servers' journals.
//
// # Usage
//
//	workload, err := load.Find("counter")
//	calls := workload.Schedule(load.Plan{Rate: 500, Duration: 10 * time.Second, Seed: 1})
//	records := load.Run(ctx, calls, load.NewCaller(addresses))
//	comparison := load.Compare(records, journals)
//	report := load.NewReport(records, comparison, capacity, plan)
//
// Arrivals are open-loop: a slow answer delays no later call, and latency counts
// from the scheduled arrival, so that waiting before the send is measured, too.
package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// The names of the workloads.
const (
	Counter    = "counter"
	Storefront = "storefront"
)

// share is one kind of call and its weight among all calls.
type share struct {
	weight  int
	method  string
	path    func(*rand.Rand) string
	timeout time.Duration
}

// Workload is a mixture of kinds of calls.
type Workload struct {
	Name   string
	shares []share
	// repeatPercent is the share of keyed calls that the caller sends twice with
	// one idempotency key.
	repeatPercent int
}

const (
	lookupTimeout = time.Second
	orderTimeout  = 3 * time.Second
	fileTimeout   = 10 * time.Second
	items         = 50_000
	kib           = 1 << 10
)

// Find returns a workload by its name.
func Find(name string) (Workload, error) {
	switch name {
	case Counter:
		return counter(), nil
	case Storefront:
		return storefront(), nil
	default:
		return Workload{}, fmt.Errorf("unknown workload %q; use %s or %s", name, Counter, Storefront)
	}
}

// counter is the traffic of Clouterie Labs: stock and price lookups, orders and
// reservations, large spec sheets and internal stock checks.
func counter() Workload {
	return Workload{Name: Counter, repeatPercent: 5, shares: []share{
		{690, http.MethodGet, item("/stock/price/"), lookupTimeout},
		{100, http.MethodPost, fixed("/orders"), orderTimeout},
		{80, http.MethodPost, fixed("/reservations"), orderTimeout},
		{10, http.MethodGet, file(64*kib, 2048*kib), fileTimeout},
		{120, http.MethodGet, item("/internal/depot/"), lookupTimeout},
	}}
}

// storefront is the traffic of Kumtaşı Yazılım: catalogue lookups, orders,
// certificate downloads and internal stock checks.
func storefront() Workload {
	return Workload{Name: Storefront, repeatPercent: 5, shares: []share{
		{750, http.MethodGet, item("/stock/catalogue/"), lookupTimeout},
		{130, http.MethodPost, fixed("/orders"), orderTimeout},
		{40, http.MethodGet, file(4*kib, 64*kib), fileTimeout},
		{80, http.MethodGet, item("/internal/warehouse/"), lookupTimeout},
	}}
}

func item(prefix string) func(*rand.Rand) string {
	return func(random *rand.Rand) string { return fmt.Sprintf("%s%d", prefix, random.IntN(items)) }
}

func fixed(path string) func(*rand.Rand) string {
	return func(*rand.Rand) string { return path }
}

func file(least, most int) func(*rand.Rand) string {
	return func(random *rand.Rand) string {
		return fmt.Sprintf("%s%d", filesPrefix, least+random.IntN(most-least))
	}
}

const filesPrefix = "/files/"

// Call is one planned call.
type Call struct {
	At      time.Duration // after the start of the run
	ID      string
	Token   string
	Key     string // idempotency key of a call that is not idempotent
	TwinID  string // id of the call that carries the same key, if any
	Method  string
	Path    string
	Body    string
	Timeout time.Duration
}

// Plan is the rate and the length of a run.
type Plan struct {
	Rate     float64 // calls per second
	Duration time.Duration
	Seed     uint64
}

const (
	// streamOfSeed separates the generator from others with the same seed.
	streamOfSeed = 0x6c6f6164
	bodyLeast    = 100
	bodyMost     = 2000
	twinDelayMax = 50 * time.Millisecond
)

// Schedule returns the calls of a plan in the order of their arrival. Arrivals
// are a Poisson process; the same plan gives the same calls.
func (w Workload) Schedule(plan Plan) []Call {
	random := rand.New(rand.NewPCG(plan.Seed, streamOfSeed))
	calls := make([]Call, 0, int(plan.Rate*plan.Duration.Seconds()))
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / plan.Rate * float64(time.Second))
		if at >= plan.Duration {
			break
		}
		calls = append(calls, w.call(random, at))
		first := &calls[len(calls)-1]
		if first.Key != "" && random.IntN(100) < w.repeatPercent {
			calls = append(calls, twin(random, first))
		}
	}
	sortByArrival(calls)
	return calls
}

func (w Workload) call(random *rand.Rand, at time.Duration) Call {
	kind := w.pick(random)
	call := Call{
		At:      at,
		ID:      identifier(random),
		Token:   identifier(random),
		Method:  kind.method,
		Path:    kind.path(random),
		Timeout: kind.timeout,
	}
	if kind.method == http.MethodPost {
		call.Key = identifier(random)
		call.Body = text(random)
	}
	return call
}

// twin repeats a call under another id, as a caller does who is unsure of the
// first outcome. Both carry one token, as either may get the recorded answer.
func twin(random *rand.Rand, first *Call) Call {
	second := *first
	second.At += time.Duration(random.Int64N(int64(twinDelayMax)))
	second.ID = identifier(random)
	second.TwinID = first.ID
	first.TwinID = second.ID
	return second
}

func (w Workload) pick(random *rand.Rand) share {
	total := 0
	for _, s := range w.shares {
		total += s.weight
	}
	n := random.IntN(total)
	for _, s := range w.shares {
		if n -= s.weight; n < 0 {
			return s
		}
	}
	return w.shares[0]
}

func identifier(random *rand.Rand) string {
	return fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
}

func text(random *rand.Rand) string {
	size := bodyLeast + random.IntN(bodyMost-bodyLeast)
	var builder strings.Builder
	for builder.Len() < size {
		builder.WriteString(identifier(random))
	}
	return builder.String()[:size]
}
