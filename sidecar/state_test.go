package sidecar

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/mirror"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/io/control"
	"marjoramsaddle/platform"
	"marjoramsaddle/platform/platformtest"
)

// newIdleDaemon returns a daemon that is not started.
func newIdleDaemon(t *testing.T) *Daemon {
	t.Helper()
	d, err := New(platform.Settings{
		Host: "h", Domain: "reduit", IP: "127.0.0.1", Service: "counter", HopAddress: "127.0.0.1:1", ControlAddress: "127.0.0.1:2",
		BackendAddress: "127.0.0.1:3", StopGrace: time.Second, Heartbeat: 1500 * time.Millisecond,
	}, 0, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against requests to a backend server whose entry was removed while the store
// refused the readers: until another daemon has taken over reading, the copy gets as old
// as in a short outage of the store, but no entry can have lapsed. After an outage in
// which entries may lapse, the server must be kept.
func TestRemovedServerIsKeptOnlyAfterOutage(t *testing.T) {
	for _, test := range []struct {
		name string
		away time.Duration
		kept bool
	}{
		{"readers were replaced", 1900 * time.Millisecond, false},
		{"too short for a lapse", 2900 * time.Millisecond, false},
		{"outage", 3100 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newIdleDaemon(t)
			listed := platformtest.Backend{Name: "i-1", Service: "counter", Address: "127.0.0.2:3"}
			data, err := json.Marshal(listed.Entry("reduit", "ready", 4))
			is.NoErr(err)
			key := platformtest.ServerPrefix + listed.Name
			d.storeState.apply([]mirror.Item{{Key: key, Revision: 1, Value: data}})
			lastCurrent := d.now()
			d.storeState.recordCurrentAt(lastCurrent)
			d.storeState.recordCurrentAt(lastCurrent.Add(test.away))
			d.storeState.apply([]mirror.Item{{Key: key, Revision: 2, Deleted: true}})
			is.Equal(len(d.storeState.servers.All()) == 1, test.kept)
		})
	}
}

// Guards against a daemon that starts beside another one without a copy, takes the beacon of
// that one for news of the store, and its own first copy for the end of an outage: it went
// on using a backend server that had left.
func TestPeerWithoutCopyIsNoOutage(t *testing.T) {
	is := is.New(t)
	d := newIdleDaemon(t)
	d.handleBeacon(&control.Beacon{
		Address: "127.0.0.2:2", Domain: "reduit", Incarnation: 1, Sequence: 1, StoreAge: time.Since(time.Unix(0, 0)), ReadAge: time.Hour, Received: d.now(),
	})
	d.storeState.recordCurrentAt(d.now())
	is.Equal(d.storeState.lapseWindowEnd, id.Instant(0))
}

// Guards against a daemon that reports itself ready and accepts requests with a
// configuration but without the backend servers of the same listing: on a busy host
// it responded with 503.
func TestServersAreAppliedBeforeConfiguration(t *testing.T) {
	is := is.New(t)
	d := newIdleDaemon(t)
	encode := func(value any) []byte {
		data, err := json.Marshal(value)
		is.NoErr(err)
		return data
	}
	route := platformtest.Route("stock", "/stock/", "safe", "counter", time.Second, 2)
	const servers = 2000
	items := make([]mirror.Item, 0, servers+1)
	items = append(items, mirror.Item{
		Key: platformtest.ConfigurationKey, Revision: 1,
		Value: encode(platformtest.Configuration("r1", []string{"counter"}, route)),
	})
	for i := range servers {
		listed := platformtest.Backend{Name: fmt.Sprint("i-", i), Service: "counter", Address: fmt.Sprintf("127.0.%d.%d:3", i/200, i%200+1)}
		items = append(items, mirror.Item{
			Key: platformtest.ServerPrefix + listed.Name, Revision: mirror.Revision(i + 2), Value: encode(listed.Entry("reduit", "ready", 4)),
		})
	}
	found := make(chan bool, 1)
	go func() {
		for d.table.Load() == nil {
			time.Sleep(10 * time.Microsecond)
		}
		_, known := d.chooser.Choose(placement.Request{Service: "counter", Now: id.Instant(time.Hour)})
		found <- known
	}()
	d.storeState.apply(items)
	is.True(<-found)
}
