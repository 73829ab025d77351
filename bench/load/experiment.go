package load

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"marjoramsaddle/bench/fleet"
	"marjoramsaddle/bench/rig"
	"marjoramsaddle/core/id"
	"marjoramsaddle/standin/backend"
)

const (
	// today is the number of targets that each operator runs today.
	today       = 13
	stopTimeout = time.Minute
	// The baseline takes a part of the run's length and differs in its calls.
	baselineParts = 4
	baselineMax   = 3 * time.Second
	baselineSeed  = 1 << 32
	// The warm-up outlasts the slow start of 10 s, and the time after the start
	// of a fleet in which keyed calls are refused, which was 13 s to 15 s.
	warmUpRate = 200
	warmUpTime = 16 * time.Second
	warmUpSeed = 2 << 32
	// internalPrefix begins the paths of the second service.
	internalPrefix = "/internal/"
	// platformPorts are taken before those of the hosts.
	platformPorts = 2
)

// overloadServiceTime is the service time under Overload. Twice the capacity at
// the default service time is more than one machine can send.
const overloadServiceTime = 250 * time.Millisecond

// Experiment is a run of a workload against a fleet of today's size.
type Experiment struct {
	Workload    string
	Plan        Plan
	Policy      string
	Faults      []Fault
	ServiceTime time.Duration
	// HopTransport is that of the daemons; empty is their default.
	HopTransport string
	FirstPort    int
	// EvidenceFile receives the records of the callers and the journals of the
	// backend servers; empty means none.
	EvidenceFile string
}

// Run starts the fleet, sends the workload and stops the fleet.
func (e Experiment) Run(ctx context.Context) (Report, error) {
	workload, err := Find(e.Workload)
	if err != nil {
		return Report{}, err
	}
	if err := e.check(); err != nil {
		return Report{}, err
	}
	folder, err := os.MkdirTemp("", "marjoramsaddle-load-")
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	layout, err := e.layout(workload)
	if err != nil {
		return Report{}, err
	}
	if slices.Contains(e.Faults, Overload) {
		e.overload(layout)
	}
	r, err := rig.Start(ctx, e.rigOptions(layout, folder))
	if err != nil {
		return Report{}, err
	}
	defer r.Kill()
	if e.Policy != PolicyDirect {
		if err := e.startMesh(ctx, r, layout, folder); err != nil {
			return Report{}, err
		}
	}
	return e.measure(ctx, &stage{rig: r, dir: folder}, layout, workload)
}

func (e Experiment) check() error {
	if e.Plan.Rate <= 0 || e.Plan.Duration <= 0 || e.ServiceTime <= 0 {
		return errors.New("rate, duration and service time must be above 0")
	}
	if e.Policy != "" && !slices.Contains(policies(), e.Policy) {
		return fmt.Errorf("unknown policy %q; use one of %s", e.Policy, PolicyNames())
	}
	for _, fault := range e.Faults {
		if e.Policy == PolicyDirect && fault.needsDaemons() {
			return fmt.Errorf("fault %v needs daemons; use another policy than %s", fault, PolicyDirect)
		}
	}
	return nil
}

// overload sets a rate of twice the capacity.
func (e *Experiment) overload(layout *fleet.Layout) {
	e.ServiceTime = overloadServiceTime
	total := 0.0
	for _, service := range layout.Services {
		total += e.capacity(layout, service.Name)
	}
	e.Plan.Rate = 2 * total
}

func (e Experiment) layout(workload Workload) (*fleet.Layout, error) {
	operator := fleet.Clouterie
	if workload.Name == Storefront {
		operator = fleet.Kumtasi
	}
	return fleet.New(fleet.Options{Daemons: today, Operator: operator, FirstPort: e.FirstPort + platformPorts})
}

func (e Experiment) rigOptions(layout *fleet.Layout, folder string) rig.Options {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	return rig.Options{
		Layout:          layout,
		Folder:          folder,
		Platform:        netip.AddrPortFrom(loopback, uint16(e.FirstPort)),
		PlatformControl: netip.AddrPortFrom(loopback, uint16(e.FirstPort+1)),
		ServiceTime:     e.ServiceTime,
	}
}

func (e Experiment) measure(ctx context.Context, s *stage, layout *fleet.Layout, workload Workload) (Report, error) {
	baseline, err := e.baseline(ctx, layout, workload)
	if err != nil {
		return Report{}, err
	}
	if err := e.warmUp(ctx, layout, workload); err != nil {
		return Report{}, err
	}
	calls := workload.Schedule(e.Plan)
	DateKeys(calls, time.Now())
	records, err := e.send(ctx, s, e.addresses(layout), calls)
	if err != nil {
		return Report{}, err
	}
	retries := countRetries(ctx, s.rig.Daemons)
	journals, err := stop(ctx, s)
	if err != nil {
		return Report{}, err
	}
	evidence := Evidence{
		Workload: e.Workload, Policy: e.Policy, Faults: faultNames(e.Faults), Plan: e.Plan,
		Capacity: e.reachable(layout, calls), Retries: retries,
		Left: leavingEntries(s.leaves.at, layout), Records: records, Journals: journals,
	}
	if err := evidence.save(e.EvidenceFile); err != nil {
		return Report{}, err
	}
	report := evidence.Report()
	report.Baseline = Compare(baseline, journals).added(baseline)
	return report, nil
}

// send sends the calls and plays the faults meanwhile.
func (e Experiment) send(ctx context.Context, s *stage, addresses []string, calls []Call) ([]Record, error) {
	caller := NewCaller(addresses)
	defer caller.Close()
	faultCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	faulted := make(chan error, len(e.Faults))
	for _, fault := range e.Faults {
		go func() {
			if err := s.play(faultCtx, fault, e.Plan.Duration); err != nil {
				faulted <- fmt.Errorf("play fault %v: %w", fault, err)
				return
			}
			faulted <- nil
		}()
	}
	records := Run(ctx, calls, caller)
	for range e.Faults {
		if err := <-faulted; err != nil {
			return nil, err
		}
	}
	return records, ctx.Err()
}

// baseline sends lookups straight to the backend servers before the run.
func (e Experiment) baseline(ctx context.Context, layout *fleet.Layout, workload Workload) ([]Record, error) {
	if e.Policy == PolicyDirect || slices.Contains(e.Faults, Overload) {
		return nil, nil
	}
	plan := e.Plan
	plan.Duration = min(plan.Duration/baselineParts, baselineMax)
	plan.Seed += baselineSeed
	caller := NewCaller(backendAddresses(layout))
	defer caller.Close()
	return Run(ctx, lookups(workload, plan), caller), ctx.Err()
}

// warmUp opens the connections between daemons, and passes the slow start that
// all hosts of a new fleet are in at once.
func (e Experiment) warmUp(ctx context.Context, layout *fleet.Layout, workload Workload) error {
	if e.Policy == PolicyDirect {
		return nil
	}
	plan := Plan{Rate: warmUpRate, Duration: warmUpTime, Seed: e.Plan.Seed + warmUpSeed}
	caller := NewCaller(e.addresses(layout))
	defer caller.Close()
	Run(ctx, lookups(workload, plan), caller)
	return ctx.Err()
}

// lookups returns the calls of a plan that are no orders.
func lookups(workload Workload, plan Plan) []Call {
	return slices.DeleteFunc(workload.Schedule(plan), func(call Call) bool { return call.Key != "" })
}

// stop stops all processes gracefully, the daemons first, and returns the
// journals. The drain of a host begins with the first of its two processes.
func stop(ctx context.Context, s *stage) ([]backend.Journal, error) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := s.rig.Stop(ctx); err != nil {
		return nil, err
	}
	journals, err := s.rig.Journals()
	if err != nil {
		return nil, err
	}
	for i, b := range s.rig.Backends {
		left, ok := s.leaves.at[b.Host.Name]
		if ok && !s.returned(b.Host.Name) && (journals[i].DrainUnixNs == 0 || left < journals[i].DrainUnixNs) {
			journals[i].DrainUnixNs = left
		}
	}
	return journals, nil
}

// returned reports whether the daemon of a host was started again.
func (s *stage) returned(host id.Host) bool {
	count := 0
	for _, daemon := range s.rig.Daemons {
		if daemon.Host.Name == host {
			count++
		}
	}
	return count > 1
}

// addresses returns where callers connect.
func (e Experiment) addresses(layout *fleet.Layout) []string {
	if e.Policy == PolicyDirect {
		return backendAddresses(layout)
	}
	addresses := make([]string, 0, len(layout.Hosts))
	for i, host := range layout.Hosts {
		if i == 0 && slices.ContainsFunc(e.Faults, Fault.avoidsEntry) {
			continue
		}
		addresses = append(addresses, host.Caller.String())
	}
	return addresses
}

func backendAddresses(layout *fleet.Layout) []string {
	addresses := make([]string, 0, len(layout.Hosts))
	for _, host := range layout.Hosts {
		addresses = append(addresses, host.Backend.String())
	}
	return addresses
}

// capacity returns the calls per second that all slots of a service can run.
func (e Experiment) capacity(layout *fleet.Layout, service id.Service) float64 {
	slots := 0
	for _, host := range layout.Hosts {
		if host.Service.Name == service {
			slots += host.Service.Slots
		}
	}
	return float64(slots) / e.ServiceTime.Seconds()
}

// reachable returns the calls per second that can be answered: of each service
// the lower of offered load and capacity.
func (e Experiment) reachable(layout *fleet.Layout, calls []Call) float64 {
	second := 0
	for _, call := range calls {
		if strings.HasPrefix(call.Path, internalPrefix) {
			second++
		}
	}
	span := e.Plan.Duration.Seconds()
	return min(float64(len(calls)-second)/span, e.capacity(layout, layout.Services[0].Name)) +
		min(float64(second)/span, e.capacity(layout, layout.Services[1].Name))
}
