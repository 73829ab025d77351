package load

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"marjoramsaddle/bench/fleet"
	"marjoramsaddle/bench/process"
	"marjoramsaddle/bench/rig"
)

// PolicyDirect sends calls straight to the backend servers, without daemons. It
// is the baseline of the other policies.
const PolicyDirect = "direct"

const (
	daemonProgram = "marjoramsaddled"
	// today is the number of targets that each operator runs today.
	today       = 13
	stopTimeout = time.Minute
	// platformPorts are taken before those of the hosts.
	platformPorts = 2
)

// ErrDaemonMissing reports a policy that needs daemons, which the experiment
// can't start yet.
var ErrDaemonMissing = errors.New("this policy needs daemons; use the policy " + PolicyDirect)

// Experiment is a run of a workload against a fleet of today's size.
type Experiment struct {
	Workload    string
	Plan        Plan
	Policy      string
	Fault       Fault
	ServiceTime time.Duration
	FirstPort   int
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
	r, err := rig.Start(ctx, e.rigOptions(layout, folder))
	if err != nil {
		return Report{}, err
	}
	defer r.Kill()
	return e.measure(ctx, r, layout, workload)
}

func (e Experiment) check() error {
	if e.Plan.Rate <= 0 || e.Plan.Duration <= 0 || e.ServiceTime <= 0 {
		return errors.New("rate, duration and service time must be above 0")
	}
	if e.Policy == PolicyDirect {
		return nil
	}
	if _, err := process.Sibling(daemonProgram); err != nil {
		return errors.Join(ErrDaemonMissing, err)
	}
	return ErrDaemonMissing
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

func (e Experiment) measure(ctx context.Context, r *rig.Rig, layout *fleet.Layout, workload Workload) (Report, error) {
	caller := NewCaller(backendAddresses(layout))
	defer caller.Close()
	faulted := make(chan error, 1)
	faultCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { faulted <- e.Fault.play(faultCtx, r, e.Plan.Duration) }()
	records := Run(ctx, workload.Schedule(e.Plan), caller)
	if err := <-faulted; err != nil {
		return Report{}, fmt.Errorf("play fault %v: %w", e.Fault, err)
	}
	if err := ctx.Err(); err != nil {
		return Report{}, err
	}
	stopCtx, cancelStop := context.WithTimeout(ctx, stopTimeout)
	defer cancelStop()
	if err := r.Stop(stopCtx); err != nil {
		return Report{}, err
	}
	journals, err := r.Journals()
	if err != nil {
		return Report{}, err
	}
	return NewReport(records, Compare(records, journals), e.capacity(layout), e.Plan), nil
}

func backendAddresses(layout *fleet.Layout) []string {
	addresses := make([]string, 0, len(layout.Hosts))
	for _, host := range layout.Hosts {
		addresses = append(addresses, host.Backend.String())
	}
	return addresses
}

// capacity returns the calls per second that all slots can run.
func (e Experiment) capacity(layout *fleet.Layout) float64 {
	slots := 0
	for _, host := range layout.Hosts {
		slots += host.Service.Slots
	}
	return float64(slots) / e.ServiceTime.Seconds()
}
