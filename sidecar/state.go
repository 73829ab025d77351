package sidecar

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/contain"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/mirror"
	"marjoramsaddle/core/route"
	"marjoramsaddle/platform"
)

const (
	// lapseHeartbeats is the length of an outage of the store, in heartbeats of backend
	// servers, below which no entry can lapse: entries lapse after three heartbeats
	// without renewal, and the last renewal was at most one before the outage.
	lapseHeartbeats = 2
	// readerTakeover is the time within which other daemons take over when the store
	// refuses its readers. The copy gets as old without an outage of the store.
	readerTakeover = 2 * time.Second
	// lapseWindow is how long after the store returns a deleted entry counts as
	// lapsed.
	lapseWindow = 2 * time.Second
	// leaseHeartbeats is the number of heartbeats after which the store removes the entry
	// of a backend server that is silent.
	leaseHeartbeats = 3
)

// storeState derives the active configuration and the usable backend servers from the
// changes of the store.
type storeState struct {
	d       *Daemon
	decoder platform.Decoder

	mu      sync.Mutex
	servers *backend.Table
	// evacuated holds the failure domains that the operators have taken out of service.
	evacuated map[id.Domain]struct{}
	// lostEvacuations holds when evacuations end that the store has lost because it came
	// back from a copy, unless the operators write them again.
	lostEvacuations map[id.Domain]id.Instant
	// lapseWindowEnd is when deleted entries no longer count as lapsed.
	lapseWindowEnd id.Instant
}

func newStoreState(d *Daemon) *storeState {
	return &storeState{d: d, servers: backend.NewTable(), evacuated: map[id.Domain]struct{}{}, lostEvacuations: map[id.Domain]id.Instant{}}
}

// apply applies changes in the order of their revisions.
func (s *storeState) apply(items []mirror.Item) {
	if len(items) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.now()
	table := s.d.table.Load()
	for i := range items {
		// An entry whose processing panics must not block the others.
		err := contain.Panics(func() error {
			if s.decoder.IsConfiguration(items[i].Key) {
				table = s.newerConfiguration(table, &items[i])
				return nil
			}
			if domain, found := s.decoder.EvacuatedDomain(items[i].Key); found {
				s.applyEvacuationItem(domain, &items[i], now)
				return nil
			}
			s.applyServer(&items[i], now)
			return nil
		})
		if err != nil {
			s.d.logPanic("entry "+items[i].Key, err)
		}
	}
	// Routes take effect after the backend servers that they refer to.
	s.publish(table)
	s.activate(table)
}

// activate makes a configuration take effect.
func (s *storeState) activate(table *route.Table) {
	previous := s.d.table.Swap(table)
	if table == previous {
		return
	}
	if previous == nil {
		close(s.d.configured)
	}
	s.d.localBackend.SetMaxConnections(table.Services[s.d.settings.Load().Service].Connections)
	s.d.log.Info("configuration in force", zap.Uint64("version", uint64(table.Version)), zap.Int("routes", table.RouteCount()))
}

func (s *storeState) applyServer(item *mirror.Item, now id.Instant) {
	name, isServer := s.decoder.ServerID(item.Key)
	if !isServer {
		return
	}
	if item.Deleted {
		// A server whose entry the store has lost writes it again.
		lapsed := item.Restored || now.Before(s.lapseWindowEnd)
		s.servers.Remove(name, now, lapsed)
		s.d.log.Info("backend server vanished", zap.String("server", string(name)),
			zap.Uint64("revision", uint64(item.Revision)), zap.Bool("maybe_lapsed", lapsed))
		return
	}
	if item.Omitted > 0 {
		s.d.log.Warn("backend server entry rejected", zap.Uint64("revision", uint64(item.Revision)), zap.String("server", string(name)), zap.Int("bytes", item.Omitted))
		return
	}
	listed, err := s.decoder.Server(name, item.Value)
	if err != nil {
		s.d.log.Warn("backend server entry rejected", zap.Uint64("revision", uint64(item.Revision)), zap.Error(err))
		return
	}
	if s.put(listed, item.Restored, now) {
		s.d.log.Info("backend server listed", zap.String("server", string(name)), zap.String("state", listed.State.String()),
			zap.String("address", listed.Address), zap.String("service", string(listed.Service)), zap.Int("slots", listed.Slots),
			zap.Duration("cold_left", listed.ColdLeft), zap.Uint64("revision", uint64(item.Revision)))
	}
}

// put applies the entry of a backend server and reports whether anything has changed.
func (s *storeState) put(listed backend.Server, restored bool, now id.Instant) bool {
	if !restored {
		return s.servers.Put(listed, now)
	}
	changed, outdated := s.servers.Restore(listed, now, now.Add(s.leaseTime()+lapseWindow))
	if outdated {
		s.d.log.Info("outdated backend server entry held", zap.String("server", string(listed.ID)),
			zap.String("state", listed.State.String()), zap.Uint64("sequence", listed.Sequence))
	}
	return changed
}

// leaseTime returns the time after which the store removes the entry of a backend server
// that is silent.
func (s *storeState) leaseTime() time.Duration {
	return leaseHeartbeats * s.d.settings.Load().Heartbeat
}

// applyEvacuationItem applies the start or the end of an evacuation. One that the store has
// lost goes on until the operators have had the time to write it again.
func (s *storeState) applyEvacuationItem(domain id.Domain, item *mirror.Item, now id.Instant) {
	_, evacuated := s.evacuated[domain]
	if evacuated && item.Deleted && item.Restored {
		s.lostEvacuations[domain] = now.Add(lapseWindow)
		return
	}
	delete(s.lostEvacuations, domain)
	if evacuated == item.Deleted {
		s.setEvacuated(domain, !item.Deleted, item.Revision)
	}
}

func (s *storeState) setEvacuated(domain id.Domain, evacuated bool, revision mirror.Revision) {
	message, change := "failure domain back in service", "ended"
	if evacuated {
		message, change = "failure domain evacuated", "started"
		s.evacuated[domain] = struct{}{}
	} else {
		delete(s.evacuated, domain)
	}
	s.d.metrics.Control("evacuation", change)
	s.d.log.Info(message, zap.String("domain", string(domain)), zap.Uint64("revision", uint64(revision)))
}

// newerConfiguration returns the configuration of the item if it is valid and newer
// than the previous one, otherwise the previous one.
func (s *storeState) newerConfiguration(previous *route.Table, item *mirror.Item) *route.Table {
	if item.Deleted {
		s.d.log.Warn("configuration deleted; keeping the previous one", zap.Uint64("revision", uint64(item.Revision)))
		return previous
	}
	decoded, err := s.decoder.Configuration(item.Value)
	if err != nil {
		s.d.log.Warn("configuration rejected", zap.Uint64("revision", uint64(item.Revision)), zap.Error(err))
		return previous
	}
	if previous != nil && decoded.Version <= previous.Version {
		return previous
	}
	table, err := route.NewTable(decoded)
	if err != nil {
		s.d.log.Warn("configuration rejected", zap.Uint64("revision", uint64(item.Revision)), zap.Error(err))
		return previous
	}
	s.d.log.Info("configuration accepted", zap.Uint64("version", uint64(table.Version)), zap.Uint64("revision", uint64(item.Revision)))
	return table
}

// republish passes the backend servers on again after one of them has announced that
// it is leaving.
func (s *storeState) republish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(s.d.table.Load())
}

// publish passes the backend servers to the components that use them. A server that
// has announced that it is leaving counts as draining, whatever its entry says. An entry
// whose service the configuration does not name is none of a backend server.
func (s *storeState) publish(table *route.Table) {
	isUsable := func(server *backend.Server) bool {
		if table == nil {
			return true
		}
		_, configured := table.Services[server.Service]
		return configured
	}
	all := slices.DeleteFunc(s.servers.All(), func(server backend.Server) bool { return !isUsable(&server) })
	for i := range all {
		s.applyLeaving(&all[i])
		s.applyEvacuation(&all[i])
		all[i].ColdRate = configured(table, all[i].Service).ColdRate
	}
	s.d.chooser.SetServers(all)
	s.d.members.setServers(all)
	local, listed := s.servers.ByAddress(s.d.settings.Load().BackendAddress, isUsable)
	s.applyLeaving(&local)
	s.applyEvacuation(&local)
	service := configured(table, local.Service)
	local.ColdRate = service.ColdRate
	s.d.coldWatch.update(&local, listed, service)
	s.d.localBackend.SetCurrent(local, listed)
	s.d.applyLimit()
}

// configured returns the configuration of the service, or none before there is one.
func configured(table *route.Table, service id.Service) route.Service {
	if table == nil {
		return route.Service{}
	}
	return table.Services[service]
}

func (s *storeState) applyLeaving(server *backend.Server) {
	if s.d.announcements.Get(server.Process()).Leaving {
		server.State = backend.Draining
	}
}

func (s *storeState) applyEvacuation(server *backend.Server) {
	_, server.Evacuated = s.evacuated[server.Domain]
}

// expire ends what was kept or held for a while: entries that have lapsed, entries and
// evacuations that a store which is back from a copy has lost, and outdated entries of it.
func (s *storeState) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.now()
	changed := s.servers.Expire(now)
	for domain, until := range s.lostEvacuations {
		if until.Before(now) {
			delete(s.lostEvacuations, domain)
			s.setEvacuated(domain, false, s.d.mirror.AsOf().Revision)
			changed = true
		}
	}
	if changed {
		s.d.log.Info("lapsed, lost or held entries expired")
		s.publish(s.d.table.Load())
	}
}

// recordStoreRead records that this daemon has just got a response from the store.
func (s *storeState) recordStoreRead() {
	now := s.d.now()
	s.d.lastReadAt.Store(int64(now))
	s.recordCurrentAt(now)
}

// outageThreshold returns the time without a response of the store after which entries
// may have lapsed because their owners could not renew them either.
func (s *storeState) outageThreshold() time.Duration {
	return max(readerTakeover, lapseHeartbeats*s.d.settings.Load().Heartbeat)
}

// recordCurrentAt records that the copy of the store was current at the given
// instant.
func (s *storeState) recordCurrentAt(at id.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := id.Instant(s.d.currentAt.Load())
	if at <= previous {
		return
	}
	s.d.currentAt.Store(int64(at))
	if previous == 0 || at.Sub(previous) < s.outageThreshold() {
		return
	}
	s.lapseWindowEnd = s.d.now().Add(lapseWindow)
	s.d.log.Info("store regained", zap.Duration("away", at.Sub(previous)))
}

// storeAge returns how long ago the copy was known to be current.
func (d *Daemon) storeAge() time.Duration {
	return d.now().Sub(id.Instant(d.currentAt.Load()))
}

// readAge returns how long ago this daemon itself read the store.
func (d *Daemon) readAge() time.Duration {
	return d.now().Sub(id.Instant(d.lastReadAt.Load()))
}
