package daemon

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"marjoramsaddle/core/admission"
	"marjoramsaddle/core/balance"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/retry"
	"marjoramsaddle/io/backend"
	"marjoramsaddle/io/hop"
	"marjoramsaddle/io/record"
)

// The sizes of the gate until a configuration names those of the service.
const (
	initialSlots       = 1
	initialConnections = 1
	// maxConnections bounds the connections to the backend server; the gate
	// holds the configured number.
	maxConnections = 130
)

func (d *Daemon) buildTraffic() {
	s := d.settings
	d.gate = admission.NewGate(initialSlots, initialConnections)
	d.chooser = balance.NewChooser(s.Host, s.FailureDomain, uint64(time.Now().UnixNano()),
		balance.WithPolicy(s.BalancePolicy()))
	d.backend = backend.New(backend.Options{
		Address:       s.BackendAddress,
		Service:       s.Service,
		Gate:          d.gate,
		Connections:   maxConnections,
		OnDraining:    d.onDraining,
		OnUnreachable: d.onUnreachable,
		Now:           now,
	})
	d.hop = hop.NewClient(d.keys, d.lookup, s.HopTransport)
	d.records = d.newRecords()
	d.record = record.New(record.Options{
		Self:    s.Host,
		Service: s.Service,
		Records: d.records,
		Next:    d.backend,
		Peers:   d.hop,
		Order:   d.orderPartners,
		Leaving: func() bool { return d.Readiness() == kernel.Draining },
		Off:     s.Experiment.NoRecords,
		Now:     now,
	})
	d.budgets.unbounded = s.Experiment.NoRetryBudget
}

// chooser turns refusals into results for the choice of backend servers.
type chooser struct{ *balance.Chooser }

// Finished reports the end of an attempt.
func (c chooser) Finished(host id.Host, at id.Instant, latency time.Duration, refused *refusal.Error) {
	c.Chooser.Finished(host, at, latency, balance.ResultOf(refused))
}

// sender hands attempts to the own backend server directly and to others over
// the network.
type sender struct{ daemon *Daemon }

// Do sends one attempt.
func (s sender) Do(host id.Host, request *http.Request, call hop.Call) (*http.Response, *refusal.Error) {
	if host == s.daemon.settings.Host {
		return s.daemon.record.Do(request.Context(), request, call)
	}
	return s.daemon.hop.Do(host, request, call)
}

// budgets holds the retry budget of each service.
type budgets struct {
	unbounded bool
	mu        sync.Mutex
	services  map[id.Service]serviceBudget
}

type serviceBudget struct {
	percent int
	budget  *retry.Budget
}

// unboundedPerSecond is a number of repeats that no load reaches.
const unboundedPerSecond = 1e9

func (b *budgets) get(service id.Service, percent int) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.services = map[id.Service]serviceBudget{}
	}
	known, ok := b.services[service]
	if !ok || known.percent != percent {
		known = serviceBudget{percent: percent, budget: b.create(percent)}
		b.services[service] = known
	}
	return known.budget
}

func (b *budgets) create(percent int) *retry.Budget {
	if b.unbounded {
		return retry.NewBudget(percent, retry.WithMinimum(unboundedPerSecond))
	}
	return retry.NewBudget(percent)
}

// limits holds the rate limit of each service.
type limits struct {
	mu       sync.Mutex
	services map[id.Service]*rate.Limiter
}

func (l *limits) allow(service id.Service, perSecond int, at id.Instant) bool {
	if perSecond == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services == nil {
		l.services = map[id.Service]*rate.Limiter{}
	}
	limiter := l.services[service]
	if limiter == nil || limiter.Burst() != perSecond {
		limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
		l.services[service] = limiter
	}
	return limiter.AllowN(at.Time(), 1)
}
