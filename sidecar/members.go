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
	// memberLife is how long a daemon counts as a member after its last beacon
	// when the platform does not list its backend server.
	memberLife = 3 * time.Second
	// viewLife is how long the list of members is used before it is made anew
	// without a change.
	viewLife = time.Second
	// beaconLife is how long a beacon counts, in periods of its sender, and at
	// least; beacons may be lost.
	beaconLife         = 2
	shortestBeaconLife = 600 * time.Millisecond
	// readersTold bounds the readers that a beacon names. Two read while all is
	// well; others step in for a while when news of them is late.
	readersTold = 4
	// readerLife is how long a daemon that has read the store is named.
	readerLife = 3 * time.Second
	// newsDelay is the time in which news spreads through a failure domain.
	newsDelay = 500 * time.Millisecond
)

// members knows the control addresses of the other daemons. There is one
// beside each listed backend server, and ports are the same on every host.
type members struct {
	self   control.Reader
	port   string
	seeds  []string
	now    func() id.Instant
	mu     sync.Mutex
	listed map[string]id.Domain
	heard  map[string]control.Beacon
	// readers holds the daemons that have read the store a short while ago.
	readers map[string]control.Reader
	// newest is the highest revision heard.
	newest mirror.Revision
	// behindSince is when another failure domain was first seen ahead of this one.
	behindSince id.Instant
	view        *view
	duty        readDuty
}

// view is the members in sorted lists.
type view struct {
	until id.Instant
	near  []string
	far   []string
}

// readDuty keeps the answer to whether this daemon reads the store while what it
// depends on stays the same.
type readDuty struct {
	view  *view
	fresh []string
	turn  mirror.ReaderElection
	// since is when this daemon was first needed.
	since id.Instant
}

func newMembers(settings platform.Settings, now func() id.Instant) *members {
	m := &members{
		self:  control.Reader{Address: settings.ControlAddress, Domain: settings.Domain, Link: settings.LinkRate},
		seeds: settings.Seeds, now: now,
		listed: map[string]id.Domain{}, heard: map[string]control.Beacon{}, readers: map[string]control.Reader{},
	}
	if _, port, err := net.SplitHostPort(settings.ControlAddress); err == nil {
		m.port = port
	}
	return m
}

func (m *members) setServers(servers []backend.Server) {
	listed := make(map[string]id.Domain, len(servers))
	for i := range servers {
		host, _, err := net.SplitHostPort(servers[i].Address)
		if err != nil {
			continue
		}
		if address := net.JoinHostPort(host, m.port); address != m.self.Address {
			listed[address] = servers[i].Domain
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed, m.view = listed, nil
}

// setSeeds replaces the seeds, after a change of the settings.
func (m *members) setSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds, m.view = seeds, nil
}

// hear takes in a beacon and reports whether it is news.
func (m *members) hear(beacon *control.Beacon) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, found := m.heard[beacon.Address]
	if found && (beacon.Incarnation < known.Incarnation || beacon.Incarnation == known.Incarnation && beacon.Sequence <= known.Sequence) {
		return false
	}
	kept := *beacon
	kept.Near, kept.Far, kept.Readers = nil, nil, nil
	if kept.Period == 0 {
		kept.Period = known.Period
	}
	m.heard[beacon.Address] = kept
	m.newest = max(m.newest, beacon.Revision)
	if _, listed := m.listed[beacon.Address]; !found && !listed {
		m.view = nil
	}
	m.learnReader(control.Reader{
		Address: beacon.Address, Domain: beacon.Domain, Link: beacon.Link, ReadAt: beacon.Received.Add(-beacon.ReadAge),
	})
	for _, reader := range beacon.Readers {
		m.learnReader(reader)
	}
	return true
}

func (m *members) learnReader(reader control.Reader) {
	if reader.Address == m.self.Address || m.now().Sub(reader.ReadAt) > readerLife {
		return
	}
	if known, found := m.readers[reader.Address]; !found || known.ReadAt < reader.ReadAt {
		m.readers[reader.Address] = reader
	}
}

// tellReaders returns the daemons that have read the store last, this one
// included. The age says how long ago this one did.
func (m *members) tellReaders(age time.Duration) []control.Reader {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	told := make([]control.Reader, 0, len(m.readers)+1)
	if age < readerLife {
		self := m.self
		self.ReadAt = now.Add(-age)
		told = append(told, self)
	}
	for address, reader := range m.readers {
		if now.Sub(reader.ReadAt) > readerLife {
			delete(m.readers, address)
			continue
		}
		told = append(told, reader)
	}
	slices.SortFunc(told, func(a, b control.Reader) int {
		return cmp.Or(cmp.Compare(b.ReadAt, a.ReadAt), cmp.Compare(a.Address, b.Address))
	})
	return told[:min(len(told), readersTold)]
}

// life returns how long a beacon counts.
func life(beacon *control.Beacon) time.Duration {
	return max(shortestBeaconLife, beaconLife*beacon.Period)
}

// current returns the members; the caller holds the lock.
func (m *members) current() *view {
	now := m.now()
	if m.view != nil && now.Before(m.view.until) {
		return m.view
	}
	latest := &view{until: now.Add(viewLife)}
	for address, domain := range m.listed {
		latest.add(address, domain == m.self.Domain)
	}
	for address := range m.heard {
		beacon := m.heard[address]
		if now.Sub(beacon.Received) > max(memberLife, life(&beacon)) {
			delete(m.heard, address)
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
		m.view.until = latest.until
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

// split returns the control addresses of the daemons in the own failure domain,
// and of all others that may be alive. Both lists are sorted and not to be
// changed.
func (m *members) split() (near, far []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.current()
	return view.near, view.far
}

// addresses returns the control addresses of all daemons that may be alive.
func (m *members) addresses() []string {
	near, far := m.split()
	return slices.Concat(near, far)
}

// reportPeriods returns the times within which loads of the own and of other
// failure domains are heard again.
func (m *members) reportPeriods() (near, far time.Duration) {
	nearOthers, farOthers := m.split()
	return gossip.NearPeriod(len(nearOthers)), gossip.FarPeriod(len(nearOthers), len(farOthers))
}

// ahead returns a daemon with a newer copy than the given revision. A daemon of
// another failure domain is asked only by the first daemon of this one, or when
// nobody here has had the changes for a while: the links between failure
// domains are the scarce ones.
func (m *members) ahead(asOf mirror.Revision) (string, bool) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.newest <= asOf {
		m.behindSince = 0
		return "", false
	}
	var near, far []string
	first := true
	wanted := asOf + 1
	if asOf == 0 {
		// A daemon that has just started must not take servers back into use that
		// have left since a copy which lags behind was made.
		wanted = m.newest
	}
	m.newest = asOf
	for address := range m.heard {
		beacon := m.heard[address]
		m.newest = max(m.newest, beacon.Revision)
		same := beacon.Domain == m.self.Domain
		if same && now.Sub(beacon.Received) < life(&beacon) && beacon.Address < m.self.Address {
			first = false
		}
		switch {
		case beacon.Revision < wanted:
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

// isSeed reports whether the other daemons are told to ask this one.
func (m *members) isSeed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Contains(m.seeds, m.self.Address)
}

// reads reports whether this daemon has to read the store itself.
func (m *members) reads() bool {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.current()
	var fresh []string
	for address, reader := range m.readers {
		if now.Sub(reader.ReadAt) < freshAge+m.newsDelay(address) {
			fresh = append(fresh, address)
		}
	}
	slices.Sort(fresh)
	if m.duty.view != view || !slices.Equal(m.duty.fresh, fresh) {
		former := m.duty
		m.duty = readDuty{view: view, fresh: fresh, turn: m.turn(fresh), since: now}
		if former.turn.Elected {
			m.duty.since = former.since
		}
	}
	return m.duty.turn.Elected && !now.Before(m.duty.since.Add(m.duty.turn.Delay()))
}

// newsDelay returns how old news of a reader may be on its arrival.
func (m *members) newsDelay(address string) time.Duration {
	if beacon, heard := m.heard[address]; heard && beacon.Period > 0 {
		return min(beacon.Period, newsDelay)
	}
	return newsDelay
}

func (m *members) turn(fresh []string) mirror.ReaderElection {
	others := make([]mirror.Candidate, 0, len(m.heard)+len(fresh))
	for address := range m.heard {
		beacon := m.heard[address]
		others = append(others, mirror.Candidate{
			Address: address, Domain: beacon.Domain, Link: beacon.Link, Fresh: slices.Contains(fresh, address),
		})
	}
	for _, address := range fresh {
		if _, heard := m.heard[address]; heard {
			continue
		}
		reader := m.readers[address]
		others = append(others, mirror.Candidate{Address: address, Domain: reader.Domain, Link: reader.Link, Fresh: true})
	}
	return mirror.ElectReader(mirror.Candidate{Address: m.self.Address, Domain: m.self.Domain, Link: m.self.Link}, others)
}

// forget drops what was heard of a daemon.
func (m *members) forget(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.heard, address)
	m.view = nil
}

// setLink sets what the network link of this host carries, after a change of
// the settings.
func (m *members) setLink(rate link.Rate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Link = rate
}
