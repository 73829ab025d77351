package sidecar

import (
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
	// outageLength is the time without an answer of the store after which
	// entries may have lapsed because their owners could not renew them either.
	outageLength = 1500 * time.Millisecond
	// lapsePeriod is how long after the return of the store a vanished entry
	// counts as lapsed.
	lapsePeriod = 2 * time.Second
)

// state turns changes of the store into the configuration in force and the
// backend servers to use.
type state struct {
	d       *Daemon
	decoder platform.Decoder

	mu      sync.Mutex
	servers *backend.Table
	// suspectUntil is when vanished entries no longer count as lapsed.
	suspectUntil id.Instant
}

func newState(d *Daemon) *state { return &state{d: d, servers: backend.NewTable()} }

// apply takes over changes in the order of their revisions.
func (s *state) apply(items []mirror.Item) {
	if len(items) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.now()
	table := s.d.table.Load()
	for i := range items {
		// An entry that cannot be taken over must not keep others from it.
		err := contain.Panics(func() error {
			if s.decoder.IsConfiguration(items[i].Key) {
				table = s.newer(table, &items[i])
				return nil
			}
			s.applyServer(&items[i], now)
			return nil
		})
		if err != nil {
			s.d.panicked("entry "+items[i].Key, err)
		}
	}
	// Routes come into force after the backend servers that they lead to.
	s.publish()
	s.enforce(table)
}

// enforce puts a configuration in force.
func (s *state) enforce(table *route.Table) {
	former := s.d.table.Swap(table)
	if table == former {
		return
	}
	if former == nil {
		close(s.d.configured)
	}
	s.d.local.SetMaxConnections(table.Services[s.d.settings.Load().Service].Connections)
	s.d.log.Info("configuration in force", zap.Uint64("version", uint64(table.Version)), zap.Int("routes", table.RouteCount()))
}

func (s *state) applyServer(item *mirror.Item, now id.Instant) {
	name, isServer := s.decoder.ServerID(item.Key)
	if !isServer {
		return
	}
	if item.Deleted {
		lapsed := now.Before(s.suspectUntil)
		s.servers.Remove(name, now, lapsed)
		s.d.log.Info("backend server vanished", zap.String("server", string(name)),
			zap.Uint64("revision", uint64(item.Revision)), zap.Bool("maybe_lapsed", lapsed))
		return
	}
	listed, err := s.decoder.Server(name, item.Value)
	if err != nil {
		s.d.log.Warn("entry refused", zap.Uint64("revision", uint64(item.Revision)), zap.Error(err))
		return
	}
	if s.servers.Put(listed, now) {
		s.d.log.Info("backend server listed", zap.String("server", string(name)), zap.String("state", listed.State.String()),
			zap.String("address", listed.Address), zap.String("service", string(listed.Service)), zap.Int("slots", listed.Slots),
			zap.Duration("cold_left", listed.ColdLeft), zap.Uint64("revision", uint64(item.Revision)))
	}
}

// newer returns the configuration of the item if it is valid and newer than the
// former one, and the former one otherwise.
func (s *state) newer(former *route.Table, item *mirror.Item) *route.Table {
	if item.Deleted {
		s.d.log.Warn("configuration deleted; the former one stays", zap.Uint64("revision", uint64(item.Revision)))
		return former
	}
	decoded, err := s.decoder.Configuration(item.Value)
	if err != nil {
		s.d.log.Warn("configuration refused", zap.Uint64("revision", uint64(item.Revision)), zap.Error(err))
		return former
	}
	if former != nil && decoded.Version <= former.Version {
		return former
	}
	table, err := route.NewTable(decoded)
	if err != nil {
		s.d.log.Warn("configuration refused", zap.Uint64("revision", uint64(item.Revision)), zap.Error(err))
		return former
	}
	s.d.log.Info("configuration accepted", zap.Uint64("version", uint64(table.Version)), zap.Uint64("revision", uint64(item.Revision)))
	return table
}

// publish hands the servers to those who use them.
func (s *state) publish() {
	all := s.servers.All()
	s.d.chooser.SetServers(all)
	s.d.members.setServers(all)
	s.d.local.SetCurrent(s.servers.ByAddress(s.d.settings.Load().BackendAddress))
}

// expire gives up the lapsed entries that have not returned.
func (s *state) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.servers.Expire(s.d.now()) {
		s.d.log.Info("lapsed backend servers given up")
		s.publish()
	}
}

// confirmRead notes that this daemon has just heard from the store.
func (s *state) confirmRead() {
	now := s.d.now()
	s.d.lastRead.Store(int64(now))
	s.confirm(now)
}

// confirm notes that the copy of the store was current at the given instant.
func (s *state) confirm(at id.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := id.Instant(s.d.confirmed.Load())
	if at <= before {
		return
	}
	s.d.confirmed.Store(int64(at))
	if before == 0 || at.Sub(before) < outageLength {
		return
	}
	s.suspectUntil = s.d.now().Add(lapsePeriod)
	s.d.log.Info("store regained", zap.Duration("away", at.Sub(before)))
}

// storeAge returns how long ago the copy was known to be current.
func (d *Daemon) storeAge() time.Duration {
	return d.now().Sub(id.Instant(d.confirmed.Load()))
}

// readAge returns how long ago this daemon itself read the store.
func (d *Daemon) readAge() time.Duration {
	return d.now().Sub(id.Instant(d.lastRead.Load()))
}
