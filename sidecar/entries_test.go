package sidecar

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"testing"
	"time"

	"marjoramsaddle/platform/platformtest"
)

// Guards against one odd entry of another writer that ends the daemons, keeps them from
// following the store, or takes a backend server out of use: requests are served by the
// sound servers, and changes after the entry take effect.
func TestOddEntries(t *testing.T) {
	f := newFleet(t, "counter", "counter")
	f.startServing()
	sound := f.hosts[0].backend
	for i, odd := range platformtest.OddEntries(sound) {
		f.store.Put(platformtest.ServerPrefix+fmt.Sprintf("i-odd-%d", i), odd)
		version := fmt.Sprint("r", i+2)
		f.putConfiguration(version, f.routes("counter")...)
		for _, h := range f.hosts {
			f.eventually(func() bool { return fmt.Sprint("r", h.daemon.table.Load().Version) == version })
			served := 0
			for request := range 8 {
				if f.call(h, http.MethodGet, "/stock/x", fmt.Sprintf("odd-%d-%s-%d", i, h.ip, request)).Status == http.StatusOK {
					served++
				}
			}
			if served != 8 {
				t.Errorf("entry %d: %d of 8 requests served at %s", i, served, h.ip)
			}
		}
		if current := f.hosts[0].daemon.localBackend.Current(); current == nil || string(current.ID) != sound.Name {
			t.Errorf("entry %d: the daemon takes %+v for the server beside it", i, current)
		}
	}
}

// foreignValue returns the largest value that the store takes, with bytes that can't be read.
func foreignValue(t *testing.T) []byte {
	t.Helper()
	value := make([]byte, 1<<20)
	if _, err := rand.Read(value); err != nil {
		t.Fatal(err)
	}
	return value
}

// Guards against large entries of another writer that keep versions out for good: a response
// with all of them is longer than a daemon reads, from the store or from another daemon.
func TestLargeForeignEntriesDoNotStopVersions(t *testing.T) {
	const entries = 8
	// limit is far above the documented time of a version: a daemon decodes all entries, a
	// second of work with the race detector, and without the fix no version ever arrives.
	const limit = 30 * time.Second
	put := func(f *fleet, key string) { f.store.Put(platformtest.ServerPrefix+key, foreignValue(f.t)) }
	for _, test := range []struct {
		name string
		// before and after write entries before the daemons start, and once they serve.
		before, after func(f *fleet)
	}{
		{"before the start", func(f *fleet) {
			for i := range entries {
				put(f, fmt.Sprint("other-", i))
			}
		}, func(*fleet) {}},
		{"while serving", func(*fleet) {}, func(f *fleet) {
			for i := range entries {
				put(f, fmt.Sprint("other-", i))
			}
		}},
		{"one key again and again", func(*fleet) {}, func(f *fleet) {
			for range entries {
				put(f, "other")
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, "counter", "counter", "counter", "depot", "depot")
			test.before(f)
			f.startServingWithin(limit)
			// The readers of the store are known and the others follow them.
			time.Sleep(time.Second)
			test.after(f)
			f.putConfiguration("r2", f.routes("depot")...)
			f.within(limit, func() bool { return f.runsVersion(2) })
			f.putConfiguration("r3", f.routes("counter")...)
			f.within(limit, func() bool { return f.runsVersion(3) })
		})
	}
}
