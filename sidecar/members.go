package sidecar

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/gossip"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/mirror"
	"marjoramsaddle/io/control"
	"marjoramsaddle/platform"
)

const (
	// memberTimeout is how long a daemon counts as a member after its last beacon
	// when the platform does not list its backend server.
	memberTimeout = 3 * time.Second
	// maxViewAge is how long the member list is reused before it is rebuilt even
	// without a change.
	maxViewAge = time.Second
	// beaconLifePeriods is how many periods of its sender a beacon stays valid, as
	// beacons may be lost; minBeaconLifetime is the lower limit.
	beaconLifePeriods = 2
	minBeaconLifetime = 600 * time.Millisecond
	// maxAnnouncedReaders bounds the store readers listed in a beacon. Normally two
	// read; others step in for a while when information on them is late.
	maxAnnouncedReaders = 4
	// maxReaderAge is how long after its last read a daemon is listed as a reader.
	maxReaderAge = 3 * time.Second
	// gossipDelay is the time in which information spreads through a failure domain.
	gossipDelay = 500 * time.Millisecond
)

// members tracks the control addresses of the other daemons. One runs beside each
// listed backend server, and ports are identical on every host.
type members struct {
	self        control.Reader
	controlPort string
	seeds       []string
	now         func() id.Instant
	mu          sync.Mutex
	// listed holds the failure domain of the daemon beside each listed backend
	// server, and received the latest beacon of each daemon, both by control address.
	listed   map[string]id.Domain
	received map[string]control.Beacon
	// readers holds the daemons that have recently read the store, by address.
	readers map[string]control.Reader
	// newest is the newest position announced by another daemon.
	newest mirror.Position
	// behindSince is when another failure domain was first seen ahead of this one;
	// zero if none is.
	behindSince id.Instant
	view        *view
	decision    readDecision
}

// view holds the control addresses of the members of this failure domain (near) and
// of the others (far), sorted.
type view struct {
	validUntil id.Instant
	near       []string
	far        []string
}

// readDecision caches whether this daemon reads the store, for as long as the inputs
// of the decision stay the same.
type readDecision struct {
	view         *view
	freshReaders []string
	election     mirror.ReaderElection
	// electedSince is when the current, uninterrupted election began.
	electedSince id.Instant
}

func newMembers(settings platform.Settings, now func() id.Instant) *members {
	m := &members{
		self:  control.Reader{Address: settings.ControlAddress, Domain: settings.Domain, Link: settings.LinkRate},
		seeds: settings.Seeds, now: now,
		listed: map[string]id.Domain{}, received: map[string]control.Beacon{}, readers: map[string]control.Reader{},
	}
	if _, controlPort, err := net.SplitHostPort(settings.ControlAddress); err == nil {
		m.controlPort = controlPort
		// Other daemons know this one by the address of its host, which is not the listen
		// address if it listens on all addresses or behind a relay.
		m.self.Address = net.JoinHostPort(settings.IP, controlPort)
	}
	return m
}

// isSelf reports whether the control address is this daemon's own.
func (m *members) isSelf(address string) bool { return address == m.self.Address }

// setServers replaces the listed backend servers.
func (m *members) setServers(servers []backend.Server) {
	listed := make(map[string]id.Domain, len(servers))
	for i := range servers {
		host, _, err := net.SplitHostPort(servers[i].Address)
		if err != nil {
			continue
		}
		if address := net.JoinHostPort(host, m.controlPort); address != m.self.Address {
			listed[address] = servers[i].Domain
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed, m.view = listed, nil
}

// setSeeds replaces the seeds after the settings have changed.
func (m *members) setSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds, m.view = seeds, nil
}

// recordBeacon stores a beacon and reports whether it is newer than the previous one
// of its sender.
func (m *members) recordBeacon(beacon *control.Beacon) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous, found := m.received[beacon.Address]
	if found && (beacon.Incarnation < previous.Incarnation || beacon.Incarnation == previous.Incarnation && beacon.Sequence <= previous.Sequence) {
		return false
	}
	stored := *beacon
	stored.Near, stored.Far, stored.Readers = nil, nil, nil
	if stored.Period == 0 {
		stored.Period = previous.Period
	}
	m.received[beacon.Address] = stored
	m.newest = mirror.Latest(m.newest, beacon.AsOf)
	if _, listed := m.listed[beacon.Address]; !found && !listed {
		m.view = nil
	}
	m.recordReader(control.Reader{
		Address: beacon.Address, Domain: beacon.Domain, Link: beacon.Link, ReadAt: beacon.Received.Add(-beacon.ReadAge),
	})
	for _, reader := range beacon.Readers {
		m.recordReader(reader)
	}
	return true
}

// recordReader stores when another daemon last read the store; the caller must hold
// the lock.
func (m *members) recordReader(reader control.Reader) {
	if reader.Address == m.self.Address || m.now().Sub(reader.ReadAt) > maxReaderAge {
		return
	}
	if known, found := m.readers[reader.Address]; !found || known.ReadAt < reader.ReadAt {
		m.readers[reader.Address] = reader
	}
}

// recentReaders returns the daemons that have read the store most recently, including
// this one, whose last read is the given time ago.
func (m *members) recentReaders(age time.Duration) []control.Reader {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	recent := make([]control.Reader, 0, len(m.readers)+1)
	if age < maxReaderAge {
		self := m.self
		self.ReadAt = now.Add(-age)
		recent = append(recent, self)
	}
	for address, reader := range m.readers {
		if now.Sub(reader.ReadAt) > maxReaderAge {
			delete(m.readers, address)
			continue
		}
		recent = append(recent, reader)
	}
	slices.SortFunc(recent, func(a, b control.Reader) int {
		return cmp.Or(cmp.Compare(b.ReadAt, a.ReadAt), cmp.Compare(a.Address, b.Address))
	})
	return recent[:min(len(recent), maxAnnouncedReaders)]
}

// beaconLifetime returns how long a beacon stays valid: beaconLifePeriods of its
// periods, but at least minBeaconLifetime.
func beaconLifetime(beacon *control.Beacon) time.Duration {
	return max(minBeaconLifetime, beaconLifePeriods*beacon.Period)
}

// currentView returns the members, and rebuilds the cached view if it was discarded or
// is no longer valid. The caller must hold the lock.
func (m *members) currentView() *view {
	now := m.now()
	if m.view != nil && now.Before(m.view.validUntil) {
		return m.view
	}
	latest := &view{validUntil: now.Add(maxViewAge)}
	for address, domain := range m.listed {
		latest.add(address, domain == m.self.Domain)
	}
	for address := range m.received {
		beacon := m.received[address]
		if now.Sub(beacon.Received) > max(memberTimeout, beaconLifetime(&beacon)) {
			delete(m.received, address)
			continue
		}
		if _, listed := m.listed[address]; !listed {
			latest.add(address, beacon.Domain == m.self.Domain)
		}
	}
	if len(latest.near)+len(latest.far) == 0 {
		for _, seed := range m.seeds {
			if seed != m.self.Address {
				latest.add(seed, false)
			}
		}
	}
	slices.Sort(latest.near)
	slices.Sort(latest.far)
	if m.view != nil && slices.Equal(m.view.near, latest.near) && slices.Equal(m.view.far, latest.far) {
		m.view.validUntil = latest.validUntil
		return m.view
	}
	m.view = latest
	return latest
}

func (v *view) add(address string, near bool) {
	if near {
		v.near = append(v.near, address)
		return
	}
	v.far = append(v.far, address)
}

// nearAndFar returns the control addresses of the daemons in this failure domain, and
// of all others that may be alive. Both lists are sorted and must not be modified.
func (m *members) nearAndFar() (near, far []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.currentView()
	return view.near, view.far
}

// addresses returns the control addresses of all daemons that may be alive.
func (m *members) addresses() []string {
	near, far := m.nearAndFar()
	return slices.Concat(near, far)
}

// reportPeriods returns the intervals at which load reports of this failure domain
// and of the others are expected.
func (m *members) reportPeriods() (near, far time.Duration) {
	nearOthers, farOthers := m.nearAndFar()
	return gossip.NearPeriod(len(nearOthers)), gossip.FarPeriod(len(nearOthers), len(farOthers))
}

// peerAhead returns a daemon whose copy is newer than the given position. Links
// between failure domains are scarce, so a daemon of another domain is only asked by
// the daemon with the lowest address in this one, or once nobody here has had the
// changes for a while.
func (m *members) peerAhead(asOf mirror.Position) (string, bool) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.newest.Compare(asOf) <= 0 {
		m.behindSince = 0
		return "", false
	}
	var near, far []string
	hasLowestAddress := true
	isAhead := m.aheadOf(asOf)
	m.newest = asOf
	for address := range m.received {
		beacon := m.received[address]
		m.newest = mirror.Latest(m.newest, beacon.AsOf)
		sameDomain := beacon.Domain == m.self.Domain
		if sameDomain && now.Sub(beacon.Received) < beaconLifetime(&beacon) && beacon.Address < m.self.Address {
			hasLowestAddress = false
		}
		switch {
		case !isAhead(beacon.AsOf):
		case sameDomain:
			near = append(near, beacon.Address)
		default:
			far = append(far, beacon.Address)
		}
	}
	if len(near) > 0 || len(far) == 0 {
		m.behindSince = 0
		return randomAddress(near)
	}
	if m.behindSince == 0 {
		m.behindSince = now
	}
	if !hasLowestAddress && asOf != (mirror.Position{}) && now.Sub(m.behindSince) < nearFetchGrace {
		return "", false
	}
	return randomAddress(far)
}

// aheadOf returns a function that reports whether a copy at a position helps a daemon whose
// copy is at asOf. One that has just started must not use backend servers again that were
// removed after an outdated copy was made. The caller must hold the lock.
func (m *members) aheadOf(asOf mirror.Position) func(position mirror.Position) bool {
	if asOf == (mirror.Position{}) {
		newest := m.newest
		return func(position mirror.Position) bool { return !position.Before(newest) }
	}
	return asOf.Before
}

// latestAhead returns the daemon, among those that mayAsk allows and whose copy is newer
// than the given position, whose beacon arrived last. It is the most likely one to be
// alive and reachable.
func (m *members) latestAhead(asOf mirror.Position, mayAsk func(address string) bool) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	isAhead := m.aheadOf(asOf)
	latest, receivedAt := "", id.Instant(0)
	for address := range m.received {
		beacon := m.received[address]
		if isAhead(beacon.AsOf) && beacon.Received > receivedAt && mayAsk(address) {
			latest, receivedAt = address, beacon.Received
		}
	}
	return latest, latest != ""
}

// randomAddress returns one of the addresses at random, so that daemons do not all
// ask the same one.
func randomAddress(addresses []string) (string, bool) {
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// isSeed reports whether this daemon is one of the configured seeds.
func (m *members) isSeed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.seeds, m.self.Address)
}

// isReader reports whether this daemon has to read the store itself.
func (m *members) isReader() bool {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.currentView()
	var freshReaders []string
	for address, reader := range m.readers {
		if now.Sub(reader.ReadAt) < freshReaderAge+m.gossipDelay(address) {
			freshReaders = append(freshReaders, address)
		}
	}
	slices.Sort(freshReaders)
	if m.decision.view != view || !slices.Equal(m.decision.freshReaders, freshReaders) {
		previous := m.decision
		m.decision = readDecision{view: view, freshReaders: freshReaders, election: m.election(freshReaders), electedSince: now}
		if previous.election.Elected {
			m.decision.electedSince = previous.electedSince
		}
	}
	return m.decision.election.Elected && !now.Before(m.decision.electedSince.Add(m.decision.election.Delay()))
}

// gossipDelay returns how old information on a reader may be when it arrives.
func (m *members) gossipDelay(address string) time.Duration {
	if beacon, received := m.received[address]; received && beacon.Period > 0 {
		return min(beacon.Period, gossipDelay)
	}
	return gossipDelay
}

// election returns whether this daemon has to read the store, given the addresses of
// those with a recent read.
func (m *members) election(freshReaders []string) mirror.ReaderElection {
	others := make([]mirror.Candidate, 0, len(m.received)+len(freshReaders))
	for address := range m.received {
		beacon := m.received[address]
		fresh := slices.Contains(freshReaders, address)
		_, hasRead := m.readers[address]
		others = append(others, mirror.Candidate{
			Address: address, Domain: beacon.Domain, Link: beacon.Link, Fresh: fresh, Failed: hasRead && !fresh,
		})
	}
	for _, address := range freshReaders {
		if _, received := m.received[address]; received {
			continue
		}
		reader := m.readers[address]
		others = append(others, mirror.Candidate{Address: address, Domain: reader.Domain, Link: reader.Link, Fresh: true})
	}
	return mirror.ElectReader(mirror.Candidate{Address: m.self.Address, Domain: m.self.Domain, Link: m.self.Link}, others)
}

// forget removes the stored beacon of a daemon.
func (m *members) forget(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.received, address)
	m.view = nil
}

// setLinkRate sets the rate of this host's network link after the settings have
// changed.
func (m *members) setLinkRate(rate link.Rate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Link = rate
}
