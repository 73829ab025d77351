package record

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"marjoramsaddle/bench/fleet"
	"marjoramsaddle/core/id"
	"marjoramsaddle/standin/link"
)

// deadTime is longer than a host needs to be suspect and then dead.
const deadTime = 15 * time.Second

// relayed are the scenarios in which all links pass through relays.
var relayed = []string{"partition", "partition_kill"}

// relay opens the relays of a scenario that cuts links. Daemons announce the
// address of their relay.
func relay(layout *fleet.Layout, options Options, address func(int) netip.AddrPort) (*link.Network, error) {
	if !slices.Contains(relayed, options.Scenario) {
		return nil, nil
	}
	network := link.New()
	for i := range layout.Hosts {
		host := &layout.Hosts[i]
		host.AdvertisedControl = address(options.FirstPort + firstPorts + len(layout.Hosts)*(hostPorts-1) + i)
		network.Register(host.Control, host.Domain)
		if err := network.RelayUDP(host.AdvertisedControl, host.Control, host.Domain); err != nil {
			return nil, err
		}
	}
	platformOf := platformAddress(layout, options, address)
	for _, domain := range layout.Domains {
		if err := network.RelayTCP(platformOf(domain), address(options.FirstPort), domain); err != nil {
			return nil, err
		}
	}
	return network, nil
}

// platformAddress returns the platform's address for each failure domain.
func platformAddress(layout *fleet.Layout, options Options, address func(int) netip.AddrPort) func(id.Domain) netip.AddrPort {
	return func(domain id.Domain) netip.AddrPort {
		if !slices.Contains(relayed, options.Scenario) {
			return address(options.FirstPort)
		}
		return address(options.FirstPort + 2 + slices.Index(layout.Domains, domain))
	}
}

func (r *run) closeNetwork() {
	if r.network != nil {
		_ = r.network.Close()
	}
}

// cut separates a failure domain from the others and from the platform.
func (r *run) cut(domain id.Domain) {
	r.step("cut %s", domain)
	r.network.PartitionPlatform(domain)
	for _, other := range r.layout.Domains {
		if other != domain {
			r.network.Partition(domain, other)
		}
	}
}

// partition cuts a failure domain off across a change. In the meantime the
// given step runs in the domain.
func partition(during func(context.Context, *run, []id.Host) error) func(context.Context, *run) error {
	return prepared(func(ctx context.Context, r *run) error {
		lost, others := r.hosts(r.layout.Domains[0]), r.hosts(r.layout.Domains[1:]...)
		r.cut(r.layout.Domains[0])
		version, err := r.publish(ctx, r.operator)
		if err != nil {
			return err
		}
		r.due(version, inForceWithin, "acceptance", others...)
		if err := r.settleOn(ctx, others...); err != nil {
			return err
		}
		if err := during(ctx, r, lost); err != nil {
			return err
		}
		r.step("heal")
		r.network.Heal()
		r.due(version, inForceWithin, "end of the partition", lost...)
		if err := r.settle(ctx); err != nil {
			return err
		}
		return r.change(ctx)
	})
}

// waitCut waits until each side takes the other for dead, which needs 13 s.
func waitCut(ctx context.Context, _ *run, _ []id.Host) error { return sleep(ctx, deadTime) }

// killCut replaces a daemon of the domain that is cut off. Its neighbour in the
// domain has the version that it ran.
func killCut(ctx context.Context, r *run, lost []id.Host) error {
	if err := sleep(ctx, steadyTime); err != nil {
		return err
	}
	r.kill(lost[0])
	if err := r.start(lost[0]); err != nil {
		return err
	}
	r.due(r.floor, inForceWithin, "restart", lost[0])
	return sleep(ctx, 3*steadyTime)
}
