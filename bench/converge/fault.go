package converge

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"marjoramsaddle/bench/fleet"
	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/topology"
)

const (
	slowMs       = 1_000
	slowJitterMs = 500
	faultStream  = 0x6661756c
)

// fault is one fault of a run. It begins after a third of the changes and ends
// after two thirds, or at the half if it is early.
type fault struct {
	begin, end func(ctx context.Context, r *run) error
	// hosts returns the hosts that can't get versions during the fault.
	hosts func(r *run) []*daemon
	early bool
	// offline keeps operators from publishing.
	offline bool
	// crossing makes two operators publish at once.
	crossing bool

	active, done bool
}

// faults makes the faults by name.
var faults = map[string]func() *fault{
	"kill_one":           func() *fault { return killing(oneHost) },
	"kill_domain":        func() *fault { return killing(firstDomain) },
	"kill_readers":       func() *fault { return killing(readers) },
	"kill_all":           func() *fault { return killing(allHosts) },
	"pause_one":          pausing,
	"platform_down":      platformDown,
	"platform_stale":     platformStale,
	"platform_slow":      platformSlow,
	"crossing":           func() *fault { return &fault{crossing: true} },
	"bad_version":        func() *fault { return &fault{begin: publishInvalid, end: publishInvalid} },
	"partition_domain":   func() *fault { return cutting(true, false) },
	"partition_platform": func() *fault { return cutting(false, true) },
	"partition_both":     func() *fault { return cutting(true, true) },
}

// FaultNames returns the names of all faults.
func FaultNames() string { return strings.Join(slices.Sorted(maps.Keys(faults)), ", ") }

func parseFaults(names string) ([]*fault, error) {
	if names == "" || names == "none" {
		return nil, nil
	}
	var found []*fault
	for name := range strings.SplitSeq(names, "+") {
		create, ok := faults[name]
		if !ok {
			return nil, fmt.Errorf("unknown fault %q; use one of %s, or several joined by +", name, FaultNames())
		}
		found = append(found, create())
	}
	return found, nil
}

func (r *run) cutsLinks() bool { return strings.Contains(r.setup.Fault, "partition") }

// playFaults begins and ends the faults that are due before a change.
func (r *run) playFaults(ctx context.Context, change int) error {
	for _, f := range r.faults {
		until := 2 * r.setup.Changes / 3
		if f.early {
			until = r.setup.Changes / 2
		}
		switch {
		case !f.active && !f.done && change >= r.setup.Changes/3:
			f.active = true
			if f.begin != nil {
				if err := f.begin(ctx, r); err != nil {
					return err
				}
			}
		case f.active && change >= until:
			if err := r.endFault(ctx, f); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *run) endFault(ctx context.Context, f *fault) error {
	f.active, f.done = false, true
	if f.end != nil {
		if err := f.end(ctx, r); err != nil {
			return err
		}
	}
	if f.hosts == nil {
		return nil
	}
	episode := Episode{Until: id.InstantOf(time.Now()), Hosts: map[id.Host]bool{}}
	for _, d := range f.hosts(r) {
		episode.Hosts[d.host.Name] = true
	}
	r.episodes = append(r.episodes, episode)
	return nil
}

func allHosts(r *run) []*daemon { return r.daemons }

// oneHost draws a host by the seed.
func oneHost(r *run) []*daemon {
	random := rand.New(rand.NewPCG(r.setup.Seed, faultStream))
	index := random.IntN(len(r.daemons))
	return r.daemons[index : index+1]
}

func firstDomain(r *run) []*daemon {
	return r.choose(func(host fleet.Host) bool { return host.Domain == r.layout.Domains[0] })
}

// readers returns the hosts that read the platform while all are alive.
func readers(r *run) []*daemon {
	table := endpoint.NewTable()
	for _, host := range r.layout.Hosts {
		table.Merge(endpoint.Entry{Host: host.Name, Domain: host.Domain, Incarnation: 1, Sequence: 1})
	}
	names := make([]id.Host, 0, len(r.layout.Domains)*topology.ReadersPerDomain)
	for _, domain := range r.layout.Domains {
		names = append(names, topology.Readers(table, domain, topology.ReadersPerDomain)...)
	}
	return r.choose(func(host fleet.Host) bool { return slices.Contains(names, host.Name) })
}

func (r *run) choose(keep func(fleet.Host) bool) []*daemon {
	var chosen []*daemon
	for _, d := range r.daemons {
		if keep(d.host) {
			chosen = append(chosen, d)
		}
	}
	return chosen
}

// killing kills hosts at once and starts them again at once.
func killing(hosts func(*run) []*daemon) *fault {
	begin := func(_ context.Context, r *run) error {
		r.each(hosts(r), func(_ int, d *daemon) { d.kill() })
		return nil
	}
	end := func(_ context.Context, r *run) error {
		for _, d := range hosts(r) {
			if err := d.start(r.rig); err != nil {
				return err
			}
		}
		return nil
	}
	return &fault{begin: begin, end: end, hosts: hosts, early: true}
}

func pausing() *fault {
	return &fault{
		begin: func(_ context.Context, r *run) error { return oneHost(r)[0].process.Pause() },
		end:   func(_ context.Context, r *run) error { return oneHost(r)[0].process.Resume() },
		hosts: oneHost,
	}
}

func platformDown() *fault {
	f := platformFault(func(r *run) { r.outage.Outage = "refuse" }, func(r *run) { r.outage.Outage = "" })
	f.offline = true
	return f
}

// platformStale freezes what the readers see; writes are still accepted.
func platformStale() *fault {
	f := platformFault(func(r *run) { r.outage.Frozen = true }, func(r *run) { r.outage.Frozen = false })
	f.hosts = allHosts
	return f
}

func platformSlow() *fault {
	return platformFault(
		func(r *run) { r.outage.LatencyMs, r.outage.JitterMs = slowMs, slowJitterMs },
		func(r *run) { r.outage.LatencyMs, r.outage.JitterMs = 0, 0 })
}

func platformFault(set, unset func(*run)) *fault {
	apply := func(change func(*run)) func(context.Context, *run) error {
		return func(ctx context.Context, r *run) error {
			change(r)
			return r.rig.SetPlatformFaults(ctx, r.outage)
		}
	}
	return &fault{begin: apply(set), end: apply(unset)}
}

func publishInvalid(ctx context.Context, r *run) error {
	version, err := r.publisher.PublishInvalid(ctx)
	r.note("version %d has to be refused", version)
	return err
}

// cutting cuts the first failure domain off from the others, the platform or
// both.
func cutting(domains, platform bool) *fault {
	f := &fault{
		begin: func(_ context.Context, r *run) error {
			first := r.layout.Domains[0]
			if platform {
				r.network.PartitionPlatform(first)
			}
			for _, other := range r.layout.Domains[1:] {
				if domains {
					r.network.Partition(first, other)
				}
			}
			return nil
		},
		end: func(_ context.Context, r *run) error {
			r.network.Heal()
			return nil
		},
	}
	if domains && platform {
		f.hosts = firstDomain
	}
	return f
}

// cross lets two operators publish at once. Compare-and-set lets one of them
// win; the other one reads the manifest and publishes again.
func (r *run) cross(ctx context.Context) error {
	other := fleet.NewPublisher(r.platform.String(), r.layout, r.setup.Seed+uint64(len(r.publications))+1)
	if err := errors.Join(other.RefreshIndex(ctx), r.publisher.RefreshIndex(ctx)); err != nil {
		return err
	}
	operators := []*fleet.Publisher{r.publisher, other}
	results, errs := make([]fleet.Publication, len(operators)), make([]error, len(operators))
	var group sync.WaitGroup
	for i, operator := range operators {
		operator.ChangeDocument()
		group.Go(func() { results[i], errs[i] = operator.PublishSnapshot(ctx) })
	}
	group.Wait()
	for i, operator := range operators {
		if errs[i] == nil {
			r.publications = append(r.publications, results[i])
			continue
		}
		if !errors.Is(errs[i], fleet.ErrConflict) {
			return errs[i]
		}
		if err := operator.RefreshIndex(ctx); err != nil {
			return err
		}
		again, err := operator.PublishSnapshot(ctx)
		if err != nil {
			return err
		}
		results[i], errs[i] = again, nil
		r.publications = append(r.publications, again)
	}
	return r.publisher.RefreshIndex(ctx)
}
