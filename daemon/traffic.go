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

// The limits of the admission gate until a configuration sets those of the
// service.
const (
	initialSlots       = 1
	initialConnections = 1
	// maxConnections bounds the connections to the backend server. The gate
	// enforces the configured number.
	maxConnections = 130
)

// buildTraffic assembles the path of calls.
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
	d.hop = hop.NewClient(d.keys, d.hopAddress, s.HopTransport)
	d.records = d.newRecords()
	d.record = record.New(record.Options{
		Self:         s.Host,
		Service:      s.Service,
		Records:      d.records,
		Next:         d.backend,
		Peers:        d.hop,
		SortPartners: d.orderPartners,
		Leaving:      func() bool { return d.Readiness() == kernel.Draining },
		Disabled:     s.Experiment.NoRecords,
		Now:          now,
	})
	d.retryBudgets.unbounded = s.Experiment.NoRetryBudget
}

// chooser adapts the load balancer to the caller package: it converts refusals
// to results of an attempt.
type chooser struct{ *balance.Chooser }

// Finished reports the end of an attempt to the load balancer.
func (c chooser) Finished(host id.Host, at id.Instant, latency time.Duration, refused *refusal.Error) {
	c.Chooser.Finished(host, at, latency, balance.ResultOf(refused))
}

// sender passes attempts for this host to the local backend server and all
// others to the daemon of their host.
type sender struct{ daemon *Daemon }

// Do sends one attempt.
func (s sender) Do(host id.Host, request *http.Request, call hop.Call) (*http.Response, *refusal.Error) {
	if host == s.daemon.settings.Host {
		return s.daemon.record.Do(request.Context(), request, call)
	}
	return s.daemon.hop.Do(host, request, call)
}

// retryBudgets holds the retry budget of each service.
type retryBudgets struct {
	unbounded bool
	mu        sync.Mutex
	services  map[id.Service]serviceBudget
}

type serviceBudget struct {
	percent int
	budget  *retry.Budget
}

// unboundedPerSecond is a number of retries that no load reaches.
const unboundedPerSecond = 1e9

// get returns the budget of a service; a changed percentage starts a new one.
func (b *retryBudgets) get(service id.Service, percent int) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.services = map[id.Service]serviceBudget{}
	}
	entry, ok := b.services[service]
	if !ok || entry.percent != percent {
		entry = serviceBudget{percent: percent, budget: b.newBudget(percent)}
		b.services[service] = entry
	}
	return entry.budget
}

func (b *retryBudgets) newBudget(percent int) *retry.Budget {
	if b.unbounded {
		return retry.NewBudget(percent, retry.WithMinimum(unboundedPerSecond))
	}
	return retry.NewBudget(percent)
}

// rateLimiters holds the rate limiter of each service.
type rateLimiters struct {
	mu       sync.Mutex
	services map[id.Service]*rate.Limiter
}

// allow reports whether a call is within the rate limit; 0 means no limit. The
// burst is one second of the rate.
func (l *rateLimiters) allow(service id.Service, perSecond int, at id.Instant) bool {
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
