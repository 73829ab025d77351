package daemon

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	"marjoramsaddle/core/snapshot"
	"marjoramsaddle/io/operator"
)

var errStopped = errors.New("daemon: shutting down: ask another daemon")

// censusTimeout bounds a census, which asks every host for its version in force.
const censusTimeout = time.Second

// serveOperators opens the operators' listener.
func (d *Daemon) serveOperators() error {
	listener, err := net.Listen("tcp", d.settings.OperatorAddress)
	if err != nil {
		return errors.Join(errors.New("daemon: free operator_address or choose another"), err)
	}
	options := operator.Options{LocalDaemon: d, Metrics: d.metrics.Handler()}
	if address, ok := listener.Addr().(*net.TCPAddr); ok && !address.IP.IsLoopback() {
		options.TLS = d.keys.Operators()
	}
	d.operators, err = operator.New(listener, options)
	if err != nil {
		_ = listener.Close()
		return err
	}
	go func() { _ = d.operators.Serve() }()
	return nil
}

// Host returns the name of this host.
func (d *Daemon) Host() id.Host { return d.settings.Host }

// maxStepGap is the longest time between two steps of the control goroutine at
// which the daemon still serves. The kernel treats the same gap between two ticks
// as a pause of the process.
const maxStepGap = 2 * time.Second

// Readiness returns whether this daemon serves calls. After a pause of the
// process, the goroutines of calls may run before the control goroutine does, so
// Readiness checks the time of its last step.
func (d *Daemon) Readiness() kernel.Readiness {
	readiness := kernel.Readiness(d.readiness.Load())
	sinceLastStep := now().Sub(id.Instant(d.lastStepAt.Load()))
	if readiness == kernel.Serving && sinceLastStep > maxStepGap {
		return kernel.Resyncing
	}
	return readiness
}

// Drain starts the graceful stop and returns at once. Only the first call has an
// effect.
func (d *Daemon) Drain(context.Context) error {
	d.drainOnce.Do(func() { close(d.drainRequested) })
	return nil
}

// Trace writes the recent kernel events as JSON lines.
func (d *Daemon) Trace(w io.Writer) error { return d.recent.write(w) }

// View compiles the view of the proxy on host from the version in force on this
// host.
func (d *Daemon) View(host id.Host) (*snapshot.View, error) {
	current := d.snapshot.Load()
	if current == nil {
		return nil, &operator.Error{
			Kind: operator.Unavailable, Problem: "no configuration is in force on this host",
			Remedy: "publish one or wait until a peer or the platform answers",
		}
	}
	if _, ok := current.Documents().Proxies[host]; !ok && host != d.settings.Host {
		return nil, &operator.Error{
			Kind: operator.NotFound, Problem: "no proxy document names host " + string(host),
			Remedy: "check the name or publish a proxy document",
		}
	}
	return current.View(host), nil
}

// Status takes a census of the fleet over the control links. If the kernel does
// not answer in time, the status covers this host only.
func (d *Daemon) Status(ctx context.Context) (operator.Status, error) {
	requestedAt := now()
	deadline := requestedAt.Add(censusTimeout)
	requestID, answer := d.statusRequests.register()
	defer d.statusRequests.remove(requestID)
	d.emit(kernel.StatusRequested{ID: requestID, Deadline: deadline})
	timer := time.NewTimer(2 * censusTimeout)
	defer timer.Stop()
	select {
	case census := <-answer:
		return d.statusOf(ctx, requestedAt, census)
	case <-timer.C:
		return d.statusOf(ctx, requestedAt, nil)
	case <-ctx.Done():
		return operator.Status{}, ctx.Err()
	case <-d.stopped:
		return operator.Status{}, errStopped
	}
}

// statusOf combines the state of this daemon with the census of the fleet.
func (d *Daemon) statusOf(ctx context.Context, requestedAt id.Instant, census []*message.DomainCensus) (operator.Status, error) {
	status := operator.Status{AsOf: requestedAt}
	err := d.queryKernel(ctx, func(k *kernel.Kernel) {
		shared := k.SharedState()
		status.Held = shared.HeldVersion()
		status.InForce = shared.InForceVersion()
		status.IgnoredIndex = shared.IgnoredIndex
	})
	for _, domain := range census {
		status.Domains = append(status.Domains, domainOf(domain))
	}
	return status, err
}

func domainOf(census *message.DomainCensus) operator.Domain {
	domain := operator.Domain{
		Name:    id.Domain(census.GetFailureDomain()),
		InForce: map[id.Host]id.Version{},
		Refused: map[id.Version]string{},
	}
	for host, version := range census.GetHosts() {
		domain.InForce[id.Host(host)] = id.Version(version)
	}
	for version, reason := range census.GetRefused() {
		domain.Refused[id.Version(version)] = reason
	}
	for _, host := range census.GetMissing() {
		domain.Unanswered = append(domain.Unanswered, id.Host(host))
	}
	return domain
}

// statusRequests matches the censuses of the kernel to the status requests of
// operators by an ID.
type statusRequests struct {
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan []*message.DomainCensus
}

// register returns a new request ID and the channel on which its census arrives.
func (r *statusRequests) register() (uint64, <-chan []*message.DomainCensus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = map[uint64]chan []*message.DomainCensus{}
	}
	r.lastID++
	answer := make(chan []*message.DomainCensus, 1)
	r.pending[r.lastID] = answer
	return r.lastID, answer
}

func (r *statusRequests) remove(requestID uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, requestID)
}

// deliver passes a census to its request, unless that has been removed.
func (r *statusRequests) deliver(answer kernel.AnswerStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if pending, ok := r.pending[answer.ID]; ok {
		pending <- answer.Census
		delete(r.pending, answer.ID)
	}
}
