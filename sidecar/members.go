package sidecar

import (
	"net"
	"slices"
	"sync"
	"time"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
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
	m.heard[beacon.Address] = beacon
	return true
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
		if now.Sub(beacon.Received) > memberLife {
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
