package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/mirror"
	"marjoramsaddle/io/control"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/relay"
	"marjoramsaddle/platform/platformtest"
)

// scriptedPeer is a daemon of which only the control address exists. It announces the
// revision of its copy in beacons.
type scriptedPeer struct {
	t       *testing.T
	address string
	copy    *mirror.Mirror
	gossip  *control.Gossip
	// link is the rate of the peer's link. One with a fast link reads the store in place of
	// the daemons under test.
	link link.Rate
}

// newScriptedPeer starts a peer that accepts connections. It serves its copy on them
// unless it is silent.
func (f *fleet) newScriptedPeer(silent bool) *scriptedPeer {
	f.t.Helper()
	p, listener := f.listenAsPeer()
	if !silent {
		p.serve(listener, control.NewHandler(p.copy, func() time.Duration { return 0 }))
	}
	return p
}

// newBusyPeer starts a peer that refuses each call because of other transfers, and
// returns it with the number of the calls.
func (f *fleet) newBusyPeer() (*scriptedPeer, *atomic.Int64) {
	f.t.Helper()
	p, listener := f.listenAsPeer()
	calls := new(atomic.Int64)
	p.serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		http.Error(w, "busy", http.StatusServiceUnavailable)
	}))
	return p, calls
}

// listenAsPeer returns a peer that does not accept the connections to its listener.
func (f *fleet) listenAsPeer() (*scriptedPeer, net.Listener) {
	f.t.Helper()
	address := f.address(allocateIP(), 2)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = listener.Close() })
	beacons, err := net.ListenPacket("udp4", address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = beacons.Close() })
	p := &scriptedPeer{t: f.t, address: address, copy: mirror.New()}
	began, sequence := time.Now(), uint64(0)
	now := func() id.Instant { return id.InstantOf(began).Add(time.Since(began)) }
	p.gossip = control.NewGossip(beacons, control.GossipOptions{
		Self: func() control.Beacon {
			sequence++
			return control.Beacon{Domain: "reduit", Link: p.link, AsOf: p.copy.AsOf(), Incarnation: 1, Sequence: sequence, Period: 100 * time.Millisecond}
		},
		OnBeacon: func(*control.Beacon) {}, OnError: func(error) {}, Now: now,
	})
	return p, listener
}

// serve handles the calls of other daemons until the test ends.
func (p *scriptedPeer) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: http1.EchoHeader(relay.ExchangeHeader, handler), ReadHeaderTimeout: time.Minute}
	p.t.Cleanup(func() { _ = server.Close() })
	go func() {
		// Serve returns when the server is closed.
		_ = server.Serve(listener)
	}()
}

// firstEra returns the position of a revision in the first era, in which the stand-in of
// the store starts.
func firstEra(revision mirror.Revision) mirror.Position {
	return mirror.Position{Era: 1, Revision: revision}
}

// hold sets the peer's copy to a configuration at the given position.
func (p *scriptedPeer) hold(at mirror.Position, version string, routes ...map[string]any) {
	p.t.Helper()
	value, err := json.Marshal(platformtest.Configuration(version, []string{"counter"}, routes...))
	if err != nil {
		p.t.Fatal(err)
	}
	p.copy.Replace([]mirror.Item{{Key: platformtest.ConfigurationKey, Value: value, Revision: at.Revision}}, at)
}

// announce sends a beacon to the host's daemon.
func (p *scriptedPeer) announce(f *fleet, h *host) {
	p.gossip.Send([]string{f.address(h.ip, 2)}, &control.Piggyback{Period: 100 * time.Millisecond})
}

// Guards against versions that come late because a daemon asks its peers one after the
// other, and waits for each that accepts connections and does not respond: a paused
// process, or a connection that went silent.
func TestSilentPeersDoNotDelayVersions(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "counter")
	h := f.hosts[0]
	h.store = "127.0.0.1:1"
	f.start(h)
	added := platformtest.Route("added", "/added/", "safe", "counter", time.Second, 1)
	healthy := f.newScriptedPeer(false)
	healthy.hold(firstEra(10), "r1", platformtest.Route("kept", "/kept/", "safe", "counter", time.Second, 1))
	f.eventually(func() bool {
		healthy.announce(f, h)
		return h.daemon.table.Load() != nil
	})
	for range 12 {
		silent := f.newScriptedPeer(true)
		silent.hold(firstEra(20), "r2", added)
		silent.announce(f, h)
	}
	time.Sleep(100 * time.Millisecond)
	healthy.hold(firstEra(20), "r2", added)
	heard := time.Now()
	for time.Since(heard) < applyDeadline && h.daemon.table.Load().Version < 2 {
		healthy.announce(f, h)
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(h.daemon.table.Load().Version, id.Version(2))
	is.True(f.call(h, http.MethodGet, "/added/x", "r-1").Status != http.StatusNotFound)
}

// Guards against a daemon that asks a busy peer again and again without pause while
// another peer that it has asked is silent: each call is a new connection, and all
// daemons that lack a version do the same.
func TestBusyPeersAreNotAskedWithoutPause(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "counter")
	h := f.hosts[0]
	h.store = "127.0.0.1:1"
	f.start(h)
	busy, calls := f.newBusyPeer()
	silent := f.newScriptedPeer(true)
	route := platformtest.Route("kept", "/kept/", "safe", "counter", time.Second, 1)
	for _, peer := range []*scriptedPeer{silent, busy} {
		peer.hold(firstEra(10), "r1", route)
	}
	const watched = 2 * time.Second
	for began := time.Now(); time.Since(began) < watched; time.Sleep(20 * time.Millisecond) {
		silent.announce(f, h)
		busy.announce(f, h)
	}
	asked := calls.Load()
	is.True(asked > 0)
	if most := int64(watched / fetchInterval); asked > most {
		t.Errorf("a busy peer was asked %d times in %v, more than %d", asked, watched, most)
	}
}

// applyDeadline is the documented time within which a version takes effect.
const applyDeadline = 2 * time.Second

// Guards against a daemon that never catches up because packets wait at its link: beacons
// tell it that it is behind, and each connection for the changes is given up before it is
// established.
func TestChangesArriveOverABusyLink(t *testing.T) {
	is := is.New(t)
	// Links at which packets wait up to half a second excuse no host.
	const linkWait = 500 * time.Millisecond
	f := newFleet(t)
	peer := f.newScriptedPeer(false)
	peer.hold(firstEra(10), "r1", platformtest.Route("kept", "/kept/", "safe", "counter", time.Second, 1))
	pool := newControlPool(nil, func(string, string, syscall.RawConn) error {
		time.Sleep(linkWait)
		return nil
	})
	t.Cleanup(pool.CloseIdle)
	changes, _, err := control.NewClient(pool).Changes(context.Background(), peer.address, control.Query{NewConn: true, OnResponse: func() {}})
	is.NoErr(err)
	is.Equal(changes.AsOf, firstEra(10))
}

// Guards against a daemon that stays at an old version for good because no peer's changes
// arrive whole: they are longer than a response may be, as those of a peer that keeps the
// entries of another writer, or take longer on the link than a fetch may.
func TestStoreIsReadInsteadOfUnreadableChanges(t *testing.T) {
	for _, test := range []struct {
		name  string
		serve func(p *scriptedPeer) http.Handler
	}{
		{"too long", func(p *scriptedPeer) http.Handler {
			return control.NewHandler(p.copy, func() time.Duration { return 0 })
		}},
		{"too slow", func(*scriptedPeer) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, "counter")
			h := f.hosts[0]
			f.putConfiguration("r1", f.routes("counter")...)
			f.start(h)
			f.eventually(func() bool { return f.runsVersion(1) })
			peers := make([]*scriptedPeer, 2)
			for i := range peers {
				p, listener := f.listenAsPeer()
				p.link = 1_000_000_000
				p.copy.Replace(nil, firstEra(1))
				p.serve(listener, test.serve(p))
				peers[i] = p
			}
			announce := func() {
				for _, p := range peers {
					p.announce(f, h)
				}
			}
			calls, lastCall := 0, time.Now()
			f.eventually(func() bool {
				announce()
				if count := f.store.CallCount(); count != calls {
					calls, lastCall = count, time.Now()
				}
				return time.Since(lastCall) > 2*watchWait
			})
			f.putConfiguration("r2", f.routes("counter")...)
			for _, p := range peers {
				p.copy.Replace(foreignItems(t, 1000), firstEra(1000))
			}
			f.eventually(func() bool {
				announce()
				return f.runsVersion(2)
			})
		})
	}
}

// foreignItems returns items with values that no daemon can use, of 8 MB together.
func foreignItems(t *testing.T, revision mirror.Revision) []mirror.Item {
	t.Helper()
	items := make([]mirror.Item, 8)
	for i := range items {
		items[i] = mirror.Item{Key: fmt.Sprint(platformtest.ServerPrefix, "other-", i), Value: foreignValue(t), Revision: revision}
	}
	return items
}
