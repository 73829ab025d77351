// Package fleet plans a fleet of daemons and their backend servers in several
// failure domains, writes a folder with the files of each host, and publishes the
// fleet's configuration to the platform.
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

// Operator names an organization that runs the mesh. It selects the services, domains
// and sizes of a fleet.
type Operator string

// The operators, which are also the values of command-line flags.
const (
	Clouterie Operator = "clouterie"
	Kumtasi   Operator = "kumtasi"
)

// Service describes a service and the capacity of each of its backend servers.
type Service struct {
	Name        id.Service
	Slots       int
	Connections int
	ConnectTime time.Duration
	ProbeTime   time.Duration // 0 if the operator specifies none
	// Weight is the service's relative share of the hosts.
	Weight int
}

// region is an operator's region with its failure domains and services.
type region struct {
	name     id.Region
	domains  []id.Domain
	services []Service
}

func regionFor(operator Operator) (region, error) {
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

// The offsets of a host's ports from its first port.
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

// Host is a host with the loopback addresses of its daemon and backend server.
type Host struct {
	Name    id.Host
	Domain  id.Domain
	Region  id.Region
	Service Service
	Caller  netip.AddrPort
	Control netip.AddrPort
	// AdvertisedControl is the control address that other hosts use. It equals Control
	// unless a relay is in between.
	AdvertisedControl netip.AddrPort
	Hop               netip.AddrPort
	Operator          netip.AddrPort
	Backend           netip.AddrPort
	BackendControl    netip.AddrPort
}

// Options configures a Layout.
type Options struct {
	Daemons   int
	Operator  Operator
	FirstPort int
	// Proxies is the minimum number of proxy documents. Documents without a host in
	// this fleet give the configuration the size of a larger fleet's.
	Proxies int
	// IsPortFree reports whether a port can be used; nil means that all ports can.
	// Hosts skip ports in use, for example by outgoing connections.
	IsPortFree func(port int) bool
}

// firstFreePort returns the start of the first block of portsPerHost free ports at or
// after the given port.
func (o Options) firstFreePort(first int) int {
	for port := first; o.IsPortFree != nil && port < first+portsPerHost; port++ {
		if !o.IsPortFree(port) {
			first = port + 1
		}
	}
	return first
}

// Layout holds the hosts, failure domains and services of a fleet.
type Layout struct {
	// NextPort is the first port after those of the last host.
	NextPort int
	proxies  int
	Hosts    []Host
	Domains  []id.Domain
	Services []Service
}

// New plans a fleet. Consecutive hosts are in different failure domains. Services get
// hosts in proportion to their weights, at least one each.
func New(options Options) (*Layout, error) {
	region, err := regionFor(options.Operator)
	if err != nil {
		return nil, err
	}
	if minimum := len(region.services); options.Daemons < minimum {
		return nil, fmt.Errorf("%d daemons can't run %d services; use at least %d", options.Daemons, minimum, minimum)
	}
	if last := options.FirstPort + options.Daemons*portsPerHost; options.FirstPort < 1 || last > maxPort {
		return nil, fmt.Errorf("ports %d to %d are out of range; choose a lower first port", options.FirstPort, last)
	}
	layout := &Layout{Domains: region.domains, Services: region.services, proxies: options.Proxies}
	sequence := assignServices(region.services, options.Daemons)
	layout.NextPort = options.FirstPort
	for i, service := range sequence {
		first := options.firstFreePort(layout.NextPort)
		if first+portsPerHost > maxPort {
			return nil, fmt.Errorf("no free ports for host %d; choose another first port", i)
		}
		layout.Hosts = append(layout.Hosts, newHost(region, service, i, first))
		layout.NextPort = first + portsPerHost
	}
	return layout, nil
}

// assignServices gives each host the service that is furthest below its share. The
// first hosts get one service each.
func assignServices(services []Service, hosts int) []Service {
	counts := make([]int, len(services))
	sequence := make([]Service, 0, hosts)
	for range hosts {
		next := 0
		for i, service := range services {
			// Compares the ratios of count to weight without division.
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

// Seeds returns the seeds in a host's settings, one other host of each failure domain.
// Seeds differ between hosts, so that no host is contacted by the whole fleet.
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
