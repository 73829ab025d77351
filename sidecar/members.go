package sidecar

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/mirror"
	"marjoramsaddle/io/control"
	"marjoramsaddle/platform"
)

// memberLife is how long a daemon counts as a member after its last beacon
// when the platform does not list its backend server.
const memberLife = 3 * time.Second

// members knows the control addresses of the other daemons. There is one
// beside each listed backend server, and ports are the same on every host.
type members struct {
	self  string
	port  string
	seeds []string
	now   func() id.Instant

	mu     sync.Mutex
	listed []string
	heard  map[string]control.Beacon
	// behindSince is when another failure domain was first seen ahead of this one.
	behindSince id.Instant
}

func newMembers(settings platform.Settings, now func() id.Instant) *members {
	m := &members{self: settings.ControlAddress, seeds: settings.Seeds, now: now, heard: map[string]control.Beacon{}}
	if _, port, err := net.SplitHostPort(settings.ControlAddress); err == nil {
		m.port = port
	}
	return m
}

func (m *members) setServers(servers []backend.Server) {
	var listed []string
	for i := range servers {
		host, _, err := net.SplitHostPort(servers[i].Address)
		if err != nil {
			continue
		}
		if address := net.JoinHostPort(host, m.port); address != m.self && !slices.Contains(listed, address) {
			listed = append(listed, address)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = listed
}

// setSeeds replaces the seeds, after a change of the settings.
func (m *members) setSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// hear takes in a beacon and reports whether it is news.
func (m *members) hear(beacon control.Beacon) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, found := m.heard[beacon.Address]
	if found && (beacon.Boot < known.Boot || beacon.Boot == known.Boot && beacon.Sequence <= known.Sequence) {
		return false
	}
	if beacon.Load.Period == 0 {
		beacon.Load.Period = known.Load.Period
	}
	m.heard[beacon.Address] = beacon
	return true
}

// life returns how long a beacon counts.
func life(beacon control.Beacon) time.Duration {
	return max(shortestBeaconLife, beaconLife*beacon.Load.Period)
}

// near returns the control addresses of the daemons heard in the failure
// domain.
func (m *members) near(domain id.Domain) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var near []string
	for address, beacon := range m.heard {
		if beacon.Domain == domain {
			near = append(near, address)
		}
	}
	return near
}

// addresses returns the control addresses of all daemons that may be alive.
func (m *members) addresses() []string {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	all := slices.Clone(m.listed)
	for address, beacon := range m.heard {
		if now.Sub(beacon.Received) > max(memberLife, life(beacon)) {
			delete(m.heard, address)
			continue
		}
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	if len(all) == 0 {
		for _, seed := range m.seeds {
			if seed != m.self {
				all = append(all, seed)
			}
		}
	}
	return all
}

// ahead returns a daemon with a newer copy than the given revision. A daemon of
// another failure domain is asked only by the first daemon of this one, or when
// nobody here has had the changes for a while: the links between failure
// domains are the scarce ones.
func (m *members) ahead(asOf mirror.Revision, domain id.Domain) (string, bool) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var near, far []string
	first := true
	for _, beacon := range m.heard {
		same := beacon.Domain == domain
		if same && now.Sub(beacon.Received) < life(beacon) && beacon.Address < m.self {
			first = false
		}
		switch {
		case beacon.Revision <= asOf:
		case same:
			near = append(near, beacon.Address)
		default:
			far = append(far, beacon.Address)
		}
	}
	if len(near) > 0 || len(far) == 0 {
		m.behindSince = 0
		return anyOf(near)
	}
	if m.behindSince == 0 {
		m.behindSince = now
	}
	if !first && asOf > 0 && now.Sub(m.behindSince) < nearGrace {
		return "", false
	}
	return anyOf(far)
}

// anyOf draws one of the addresses, so that not all daemons ask the same one.
func anyOf(addresses []string) (string, bool) {
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// reads reports whether this daemon has to read the store itself.
func (m *members) reads(domain id.Domain, rate link.Rate) bool {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	others := make([]mirror.Daemon, 0, len(m.heard))
	for _, beacon := range m.heard {
		age := now.Sub(beacon.Received)
		others = append(others, mirror.Daemon{
			Address: beacon.Address, Domain: beacon.Domain, Link: beacon.Link,
			Fresh: age < life(beacon) && beacon.ReadAge+age < freshAge+beacon.Load.Period,
		})
	}
	return mirror.Reads(mirror.Daemon{Address: m.self, Domain: domain, Link: rate}, others)
}

// forget drops what was heard of a daemon.
func (m *members) forget(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.heard, address)
}
