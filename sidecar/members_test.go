package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/mirror"
	"marjoramsaddle/io/control"
	"marjoramsaddle/platform"
)

func testMembers(now *id.Instant) *members {
	return newMembers(platform.Settings{Domain: "d0", IP: "10.0.0.1", ControlAddress: "10.0.0.1:80"}, func() id.Instant { return *now })
}

// Guards against a daemon that starts without a copy and fetches an outdated one: a
// backend server that had been removed was used until the next fetch.
func TestFirstCopyIsNewestKnown(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	m := testMembers(&now)
	for i := range 20 {
		is.True(m.recordBeacon(&control.Beacon{
			Address: fmt.Sprintf("10.0.1.%d:80", i), Domain: "d0", Incarnation: 1, Sequence: 1, AsOf: firstEra(mirror.Revision(100 + i)), Received: now,
		}))
	}
	for range 20 {
		address, found := m.peerAhead(mirror.Position{})
		is.True(found)
		is.Equal(address, "10.0.1.19:80")
	}
	anyone := func(string) bool { return true }
	address, found := m.latestAhead(mirror.Position{}, anyone)
	is.True(found)
	is.Equal(address, "10.0.1.19:80")
	_, found = m.latestAhead(mirror.Position{}, func(address string) bool { return address != "10.0.1.19:80" })
	is.True(!found)
	_, found = m.latestAhead(firstEra(118), anyone)
	is.True(found)
	// After that any daemon that is ahead will do, so that not all ask the same one.
	asked := map[string]bool{}
	for range 100 {
		address, found := m.peerAhead(firstEra(110))
		is.True(found)
		asked[address] = true
	}
	is.True(len(asked) > 1)
	_, found = m.peerAhead(firstEra(119))
	is.True(!found)
}

// Guards against a daemon that never asks those whose copy is of a later era of the store,
// because its own has a higher revision, and that asks those that are still at the earlier
// era: a daemon that starts would use what the store no longer has.
func TestCopyOfLaterEraIsAhead(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	m := testMembers(&now)
	beacon := func(address string, asOf mirror.Position) {
		is.True(m.recordBeacon(&control.Beacon{Address: address, Domain: "d0", Incarnation: 1, Sequence: 1, AsOf: asOf, Received: now}))
	}
	later := mirror.Position{Era: 2, Revision: 90}
	beacon("10.0.1.1:80", later)
	beacon("10.0.1.2:80", firstEra(170))
	for _, asOf := range []mirror.Position{{}, firstEra(150), firstEra(170)} {
		for range 20 {
			address, found := m.peerAhead(asOf)
			if asOf == firstEra(150) {
				is.True(found)
				continue
			}
			is.Equal(address, "10.0.1.1:80")
		}
	}
	_, found := m.peerAhead(later)
	is.True(!found)
	var l lag
	l.recordAnnouncement(firstEra(170), firstEra(150), now)
	l.recordAnnouncement(later, firstEra(150), now.Add(time.Second))
	is.Equal(l.age(firstEra(170), now.Add(2*time.Second)), 2*time.Second)
	is.Equal(l.age(later, now.Add(2*time.Second)), time.Duration(0))
}

// Guards against a daemon that takes itself for another one, because it listens on an
// address that others do not know it by. It stopped reading the store each time it heard
// of its own reads, and for more than a second nobody read it.
func TestDaemonIsNoMemberOfItsOwn(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	m := newMembers(platform.Settings{Domain: "d0", IP: "10.0.0.1", ControlAddress: "0.0.0.0:80", Seeds: []string{"10.0.0.1:80"}}, func() id.Instant { return now })
	is.True(m.isSeed())
	m.setServers([]backend.Server{{Address: "10.0.0.1:8080", Domain: "d0"}})
	is.Equal(len(m.addresses()), 0)
	is.True(m.recordBeacon(&control.Beacon{
		Address: "10.0.0.2:80", Domain: "d1", Incarnation: 1, Sequence: 1, ReadAge: time.Hour, Received: now,
		Readers: []control.Reader{{Address: "10.0.0.1:80", Domain: "d0", ReadAt: now}},
	}))
	is.Equal(len(m.recentReaders(time.Hour)), 0)
	is.Equal(m.addresses(), []string{"10.0.0.2:80"})
}

// Guards against a reader being announced for longer than maxReaderAge, and against
// one being known only to the daemons that receive its own beacons.
func TestReadersAreAnnounced(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	m := testMembers(&now)
	reader := control.Reader{Address: "10.0.9.9:80", Domain: "d1", Link: 1000, ReadAt: now.Add(-100 * time.Millisecond)}
	second := control.Reader{Address: "10.0.9.8:80", Domain: "d2", Link: 1000, ReadAt: now}
	is.True(m.isReader())
	is.True(m.recordBeacon(&control.Beacon{
		Address: "10.0.0.2:80", Domain: "d0", Incarnation: 1, Sequence: 1, ReadAge: time.Hour, Received: now,
		Readers: []control.Reader{reader, second},
	}))
	is.True(!m.isReader())
	announced := m.recentReaders(time.Hour)
	is.Equal(announced, []control.Reader{second, reader})
	now = now.Add(maxReaderAge + time.Second)
	is.Equal(len(m.recentReaders(time.Hour)), 0)
	is.Equal(len(m.recentReaders(0)), 1)
	is.True(m.isReader())
}

// Guards against a daemon that waits for the lost readers of the store as for candidates
// that may be about to read: a version came later by that time.
func TestLostReadersAreNotAwaited(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	m := testMembers(&now)
	for i := range 2 {
		is.True(m.recordBeacon(&control.Beacon{
			Address: fmt.Sprintf("10.0.0.%d:80", 2+i), Domain: id.Domain(fmt.Sprint("d", 1+i)), Link: 1 << 30, Incarnation: 1, Sequence: 1, Received: now,
		}))
	}
	is.True(!m.isReader())
	lostAt := now.Add(freshReaderAge + gossipDelay)
	now = lostAt.Add(-time.Millisecond)
	is.True(!m.isReader())
	now = lostAt
	is.True(m.isReader())
}
