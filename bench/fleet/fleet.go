// Package fleet lays out a fleet of daemons with their backend servers over
// failure domains, writes the folder of each host, and publishes configurations
// for the fleet on the platform.
//
// # Usage
//
//	layout, err := fleet.New(fleet.Options{Daemons: 13, Operator: fleet.Clouterie, FirstPort: 23000})
//	err = layout.Write(dir, authority, settings)
//	publisher := fleet.NewPublisher(platformAddress, layout, seed)
//	version, err := publisher.Publish(ctx)
package fleet

import (
	"fmt"
	"net/netip"
	"time"

	"marjoramsaddle/core/id"
)

// Operator names one of the users whose sizes a fleet takes.
type Operator string

// The operators.
const (
	Clouterie Operator = "clouterie"
	Kumtasi   Operator = "kumtasi"
)

// Service is the shape of one service's backend servers.
type Service struct {
	Name        id.Service
	Slots       int
	Connections int
	ConnectTime time.Duration
	ProbeTime   time.Duration // 0 where the operator states none
	// Weight is the service's share of the hosts.
	Weight int
}

// region is the part of a fleet that an operator runs today.
type region struct {
	name     id.Region
	domains  []id.Domain
	services []Service
}

func regionOf(operator Operator) (region, error) {
	switch operator {
	case Clouterie:
		return region{"mu-plateau", []id.Domain{"reduit", "ebene", "rose-hill"}, []Service{
			{"counter", 20, 130, time.Millisecond, 6 * time.Millisecond, 10},
			{"depot", 20, 130, time.Millisecond, 6 * time.Millisecond, 3},
		}}, nil
	case Kumtasi:
		return region{"ic-anadolu", []id.Domain{"kapadokya", "konya", "aksaray"}, []Service{
			{"storefront", 13, 130, time.Millisecond, 0, 10},
			{"warehouse", 13, 130, time.Millisecond, 0, 3},
		}}, nil
	default:
		return region{}, fmt.Errorf("unknown operator %q; use %s or %s", operator, Clouterie, Kumtasi)
	}
}

// The ports of each host, counted from its first one.
const (
	callerPort = iota
	peerPort
	hopPort
	operatorPort
	backendPort
	backendControlPort
	portsPerHost
)

const maxPort = 65_535

// Host is one host with its addresses on loopback.
type Host struct {
	Name    id.Host
	Domain  id.Domain
	Region  id.Region
	Service Service
	Caller  netip.AddrPort
	Control netip.AddrPort
	// AdvertisedControl is the control address that other hosts use. It is Peer unless
	// a relay stands before it.
	AdvertisedControl netip.AddrPort
	Hop               netip.AddrPort
	Operator          netip.AddrPort
	Backend           netip.AddrPort
	BackendControl    netip.AddrPort
}

// Options are the size of a fleet and its first port.
type Options struct {
	Daemons   int
	Operator  Operator
	FirstPort int
	// Proxies is the least number of proxy documents. Those without a host in
	// this fleet give the configuration the size of a larger one.
	Proxies int
	// IsPortFree reports whether a port can be used; nil takes all ports for free.
	// Hosts skip blocks of ports that are taken, for example by outgoing
	// connections.
	IsPortFree func(port int) bool
}

// block returns the first free block of ports from the given one.
func (o Options) block(first int) int {
	for port := first; o.IsPortFree != nil && port < first+portsPerHost; port++ {
		if !o.IsPortFree(port) {
			first = port + 1
		}
	}
	return first
}

// Layout is the plan of a fleet.
type Layout struct {
	// NextPort follows the ports of the last host.
	NextPort int
	proxies  int
	Hosts    []Host
	Domains  []id.Domain
	Services []Service
}

// New lays out a fleet. Neighbouring hosts lie in different failure domains, and
// services take hosts by their weight, at least one each.
func New(options Options) (*Layout, error) {
	region, err := regionOf(options.Operator)
	if err != nil {
		return nil, err
	}
	if least := len(region.services); options.Daemons < least {
		return nil, fmt.Errorf("%d daemons can't run %d services; use at least %d", options.Daemons, least, least)
	}
	if last := options.FirstPort + options.Daemons*portsPerHost; options.FirstPort < 1 || last > maxPort {
		return nil, fmt.Errorf("ports %d to %d are out of range; choose a lower first port", options.FirstPort, last)
	}
	layout := &Layout{Domains: region.domains, Services: region.services, proxies: options.Proxies}
	sequence := serviceSequence(region.services, options.Daemons)
	layout.NextPort = options.FirstPort
	for i, service := range sequence {
		first := options.block(layout.NextPort)
		if first+portsPerHost > maxPort {
			return nil, fmt.Errorf("no free ports for host %d; choose another first port", i)
		}
		layout.Hosts = append(layout.Hosts, newHost(region, service, i, first))
		layout.NextPort = first + portsPerHost
	}
	return layout, nil
}

// serviceSequence gives each host the service that lies furthest behind its
// share, with the first hosts going to one service each.
func serviceSequence(services []Service, hosts int) []Service {
	counts := make([]int, len(services))
	sequence := make([]Service, 0, hosts)
	for range hosts {
		next := 0
		for i, service := range services {
			// Compares counts[i]/weight without division.
			if counts[i]*services[next].Weight < counts[next]*service.Weight {
				next = i
			}
		}
		counts[next]++
		sequence = append(sequence, services[next])
	}
	return sequence
}

func newHost(region region, service Service, index, firstPort int) Host {
	domain := region.domains[index%len(region.domains)]
	return Host{
		Name:              id.Host(fmt.Sprintf("%s-%s-%d", service.Name, domain, index)),
		Domain:            domain,
		Region:            region.name,
		Service:           service,
		Caller:            loopback(firstPort + callerPort),
		Control:           loopback(firstPort + peerPort),
		AdvertisedControl: loopback(firstPort + peerPort),
		Hop:               loopback(firstPort + hopPort),
		Operator:          loopback(firstPort + operatorPort),
		Backend:           loopback(firstPort + backendPort),
		BackendControl:    loopback(firstPort + backendControlPort),
	}
}

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}

// Seeds returns one other host of each failure domain, for the host's settings.
// They differ from host to host, so that no host is asked by the whole fleet.
func (l *Layout) Seeds(index int) []Host {
	seeds := make([]Host, 0, len(l.Domains))
	for step := 1; step <= len(l.Domains) && step < len(l.Hosts); step++ {
		seeds = append(seeds, l.Hosts[(index+step)%len(l.Hosts)])
	}
	return seeds
}

// HostsInDomain returns the hosts of a failure domain.
func (l *Layout) HostsInDomain(domain id.Domain) []Host {
	var hosts []Host
	for _, host := range l.Hosts {
		if host.Domain == domain {
			hosts = append(hosts, host)
		}
	}
	return hosts
}
