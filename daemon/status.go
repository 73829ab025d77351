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

var errStopped = errors.New("daemon: it is stopping: ask another daemon")

// censusTime bounds how long a census of the fleet takes.
const censusTime = time.Second

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

// pauseLimit is how long the control goroutine may be silent while the daemon
// serves. The kernel takes the same gap between two ticks for a pause.
const pauseLimit = 2 * time.Second

// Readiness tells whether this daemon serves calls. After a pause of the
// process, goroutines of traffic may run before the control goroutine does, so
// they look at the time of its last step themselves.
func (d *Daemon) Readiness() kernel.Readiness {
	ready := kernel.Readiness(d.ready.Load())
	silent := now().Sub(id.Instant(d.steppedAt.Load()))
	if ready == kernel.Serving && silent > pauseLimit {
		return kernel.Resyncing
	}
	return ready
}

// Drain starts the graceful shutdown. Only the first call has an effect.
func (d *Daemon) Drain(context.Context) error {
	d.leaveOnce.Do(func() { close(d.leave) })
	return nil
}

// Trace writes the recent kernel events as JSON lines.
func (d *Daemon) Trace(w io.Writer) error { return d.recent.write(w) }

// View compiles what the proxy on host runs under the version in force here.
func (d *Daemon) View(host id.Host) (*snapshot.View, error) {
	current := d.snapshot.Load()
	if current == nil {
		return nil, &operator.Error{
			Kind: operator.Unavailable, Problem: "no configuration is in force here",
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

// Status takes a census of the fleet over the control links.
func (d *Daemon) Status(ctx context.Context) (operator.Status, error) {
	asked := now()
	deadline := asked.Add(censusTime)
	number, answer := d.answers.expect()
	defer d.answers.forget(number)
	d.emit(kernel.StatusRequested{ID: number, Deadline: deadline})
	timer := time.NewTimer(2 * censusTime)
	defer timer.Stop()
	select {
	case census := <-answer:
		return d.statusOf(ctx, asked, census)
	case <-timer.C:
		return d.statusOf(ctx, asked, nil)
	case <-ctx.Done():
		return operator.Status{}, ctx.Err()
	case <-d.stopped:
		return operator.Status{}, errStopped
	}
}

func (d *Daemon) statusOf(ctx context.Context, asked id.Instant, census []*message.DomainCensus) (operator.Status, error) {
	status := operator.Status{AsOf: asked}
	err := d.ask(ctx, func(k *kernel.Kernel) {
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

// answers matches answers of the kernel to the questions of operators.
type answers struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan []*message.DomainCensus
}

func (a *answers) expect() (uint64, <-chan []*message.DomainCensus) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting == nil {
		a.waiting = map[uint64]chan []*message.DomainCensus{}
	}
	a.next++
	answer := make(chan []*message.DomainCensus, 1)
	a.waiting[a.next] = answer
	return a.next, answer
}

func (a *answers) forget(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, number)
}

func (a *answers) give(answer kernel.AnswerStatus) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if waiting, ok := a.waiting[answer.ID]; ok {
		waiting <- answer.Census
		delete(a.waiting, answer.ID)
	}
}
