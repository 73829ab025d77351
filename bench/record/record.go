// Package record runs a fleet of six or nine daemons in three failure domains
// through a scripted fault, and keeps the trace of each daemon with its stated outcome.
// The outcome comes from the script, not from what the daemons did.
//
// # Usage
//
//	err := record.Run(ctx, record.Options{Scenario: "pause", Out: dir, FirstPort: 26000})
package record

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"marjoramsaddle/bench/fleet"
	"marjoramsaddle/bench/rig"
	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/topology"
	"marjoramsaddle/core/trace"
	"marjoramsaddle/io/settings"
	"marjoramsaddle/standin/authority"
	"marjoramsaddle/standin/link"
	"marjoramsaddle/standin/platform"
)

const (
	defaultDaemons = 6
	// readersPerDomain is the number of readers that core/topology chooses.
	readersPerDomain = 2
	// firstPorts are taken before the ports of the fleet: the platform, its
	// control, and for each failure domain a relay to the platform.
	firstPorts = 5
	// hostPorts are those of one host; its announced address is one of them.
	hostPorts     = 7
	daemonProgram = "marjoramsaddled"
	folderMode    = 0o700
	// inForceWithin is the bound of promise 9.
	inForceWithin = 9 * time.Second
	// replacedWithin is the goal for a replaced host when a peer answers.
	replacedWithin = 2 * time.Second
)

// Options are the settings of a recording.
type Options struct {
	Scenario string
	// Out receives a folder with the traces.
	Out string
	// FirstPort is the first of 68 ports on loopback.
	FirstPort int
}

// Names returns the names of the scenarios in order.
func Names() []string { return slices.Sorted(maps.Keys(scenarios)) }

// Run records one scenario.
func Run(ctx context.Context, options Options) error {
	play, ok := scenarios[options.Scenario]
	if !ok {
		return fmt.Errorf("unknown scenario %q; use one of %s", options.Scenario, strings.Join(Names(), ", "))
	}
	folder, err := os.MkdirTemp("", "record-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	r, err := start(ctx, options, folder)
	if err != nil {
		return err
	}
	defer r.rig.Kill()
	defer r.closeNetwork()
	if err := play(ctx, r); err != nil {
		return fmt.Errorf("scenario %s: %w", options.Scenario, err)
	}
	r.kill(r.hosts()...)
	return r.keep(filepath.Join(options.Out, options.Scenario))
}

// run is one recording.
type run struct {
	folder string
	layout *fleet.Layout
	rig    *rig.Rig
	// network is nil unless the scenario cuts links.
	network  *link.Network
	operator *operator
	lives    []*life
	running  map[id.Host]*life
	// good are the versions that may come into force.
	good []trace.Allowed
	// floor is the newest version that was in force everywhere.
	floor id.Version
	steps []string
}

func start(ctx context.Context, options Options, folder string) (*run, error) {
	daemons := defaultDaemons
	if size, ok := sizes[options.Scenario]; ok {
		daemons = size
	}
	layout, err := fleet.New(fleet.Options{
		Daemons: daemons, Operator: fleet.Clouterie, FirstPort: options.FirstPort + firstPorts,
	})
	if err != nil {
		return nil, err
	}
	address := func(port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
	}
	network, err := relay(layout, options, address)
	if err != nil {
		return nil, err
	}
	if err := writeLayout(layout, folder, platformAddress(layout, options, address)); err != nil {
		return nil, err
	}
	stands, err := rig.Start(ctx, rig.Options{
		Layout: layout, Folder: folder, ServiceTime: time.Millisecond,
		Platform: address(options.FirstPort), PlatformControl: address(options.FirstPort + 1),
	})
	if err != nil {
		return nil, err
	}
	return &run{
		network: network,
		folder:  folder, layout: layout, rig: stands, running: map[id.Host]*life{},
		operator: newOperator(address(options.FirstPort).String(), "a", layout),
	}, nil
}

func writeLayout(layout *fleet.Layout, folder string, platformOf func(id.Domain) netip.AddrPort) error {
	issuer, err := authority.New()
	if err != nil {
		return err
	}
	return layout.Write(folder, issuer, fleet.DaemonSettings("", func(s *settings.Settings) {
		s.PlatformURL = "http://" + platformOf(s.FailureDomain).String()
		s.TraceFile = traceFile(folder, s.Host)
	}))
}

func traceFile(folder string, host id.Host) string {
	return filepath.Join(folder, string(host), "trace.jsonl")
}

// hosts returns all hosts, or those of the given failure domains.
func (r *run) hosts(domains ...id.Domain) []id.Host {
	var hosts []id.Host
	for _, host := range r.layout.Hosts {
		if len(domains) == 0 || slices.Contains(domains, host.Domain) {
			hosts = append(hosts, host.Name)
		}
	}
	return hosts
}

// readers returns the readers of a failure domain while all hosts live.
func (r *run) readers(domain id.Domain) []id.Host {
	table := endpoint.NewTable()
	for _, host := range r.layout.Hosts {
		table.Merge(endpoint.Entry{Host: host.Name, Domain: host.Domain})
	}
	return topology.Readers(table, domain, readersPerDomain)
}

func (r *run) step(format string, args ...any) {
	at := time.Now().UTC().Format(time.RFC3339Nano)
	r.steps = append(r.steps, at+"  "+fmt.Sprintf(format, args...))
}

// start starts daemons. The versions below the floor are not allowed to them.
func (r *run) start(hosts ...id.Host) error {
	for _, host := range hosts {
		files := fleet.FilesOf(r.folder, fleet.Host{Name: host})
		process, err := r.rig.Spawn(daemonProgram, string(host)+"-daemon", "run", "--settings", files.Settings)
		if err != nil {
			return err
		}
		number := 1
		for _, earlier := range r.lives {
			if earlier.host == host {
				number++
			}
		}
		started := &life{host: host, number: number, process: process, floor: r.floor}
		r.running[host] = started
		r.lives = append(r.lives, started)
		r.step("start %s, life %d", host, number)
	}
	return nil
}

// kill ends daemons and keeps their traces aside.
func (r *run) kill(hosts ...id.Host) {
	for _, host := range hosts {
		ended := r.running[host]
		if ended == nil {
			continue
		}
		ended.process.Kill()
		ended.goodAtEnd = len(r.good)
		delete(r.running, host)
		ended.trace = traceFile(r.folder, host) + fmt.Sprintf(".%d", ended.number)
		_ = os.Rename(traceFile(r.folder, host), ended.trace)
		r.step("kill %s", host)
	}
}

func (r *run) faults(ctx context.Context, faults platform.Faults) error {
	r.step("platform faults %+v", faults)
	return r.rig.SetPlatformFaults(ctx, faults)
}

// due states that a version must be in force on the running daemons in time
// from now on.
func (r *run) due(version id.Version, within time.Duration, event string, hosts ...id.Host) {
	by := id.InstantOf(time.Now().Add(within))
	for host, running := range r.running {
		if len(hosts) == 0 || slices.Contains(hosts, host) {
			running.stated.Due = append(running.stated.Due, trace.Due{Version: version, By: by, Event: event})
		}
	}
}

// refused states that the running daemons refuse a version.
func (r *run) refused(version id.Version) {
	for _, running := range r.running {
		running.stated.Refused = append(running.stated.Refused, version)
	}
}

// counted states the least value of a counter at the end of a host's life.
func (r *run) counted(name string, hosts ...id.Host) {
	for _, host := range hosts {
		running := r.running[host]
		if running.stated.Counters == nil {
			running.stated.Counters = map[string]int{}
		}
		running.stated.Counters[name] = 1
	}
}

// settle waits until all running daemons have the newest good version in force.
func (r *run) settle(ctx context.Context) error {
	if err := r.settleOn(ctx, r.hosts()...); err != nil {
		return err
	}
	r.floor = r.good[len(r.good)-1].Version
	return nil
}

// settleOn does so for some hosts.
func (r *run) settleOn(ctx context.Context, hosts ...id.Host) error {
	newest := r.good[len(r.good)-1].Version
	ctx, cancel := context.WithTimeout(ctx, 2*inForceWithin)
	defer cancel()
	for _, host := range hosts {
		running := r.running[host]
		if running == nil {
			continue
		}
		address := r.host(running.host).Operator.String()
		if err := awaitInForce(ctx, running.process, address, newest); err != nil {
			return err
		}
	}
	r.step("version %d in force on %v", newest, hosts)
	return nil
}

func (r *run) host(name id.Host) fleet.Host {
	index := slices.IndexFunc(r.layout.Hosts, func(h fleet.Host) bool { return h.Name == name })
	return r.layout.Hosts[index]
}

func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
