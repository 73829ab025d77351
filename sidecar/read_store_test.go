package sidecar

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/mirror"
	"marjoramsaddle/platform/platformtest"
)

const (
	// slowLink is the rate in bytes per second of the slowest links, 6 Mbit/s.
	slowLink = 750_000
	// manyRoutes is the number of routes of a configuration of 300 KB.
	manyRoutes = 1400
)

// putLargeConfiguration publishes a configuration whose routes all differ from those of
// other versions.
func (f *fleet) putLargeConfiguration(version int) { f.putConfigurationOf(manyRoutes, version) }

// putConfigurationOf is putLargeConfiguration with the given number of routes.
func (f *fleet) putConfigurationOf(routeCount, version int) {
	routes := f.routes("counter")
	for i := range routeCount {
		timeout := time.Second + time.Duration(version)*time.Millisecond
		routes = append(routes, platformtest.Route(fmt.Sprintf("r-%07d", i), fmt.Sprintf("/page%04d/", i), "safe", "counter", timeout, 2))
	}
	f.putConfiguration(fmt.Sprint("r", version), routes...)
}

// runsVersion reports whether the version is in force at all hosts.
func (f *fleet) runsVersion(version int) bool {
	for _, h := range f.hosts {
		if table := h.daemon.table.Load(); table == nil || int(table.Version) != version {
			return false
		}
	}
	return true
}

// slowDownLinks puts slow links between all hosts and the store.
func (f *fleet) slowDownLinks() {
	f.t.Helper()
	for _, h := range f.hosts {
		link, err := platformtest.NewLink(f.store.Address(), slowLink)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(link.Close)
		h.store = link.Address()
	}
}

// Guards against daemons that stay at an old version for good, because the versions after
// it, which a watch returns all in full, take longer on the hosts' links than a watch may.
func TestLargeVersionsInSeriesArriveOnSlowLinks(t *testing.T) {
	f := newFleet(t, "counter", "depot")
	f.slowDownLinks()
	for _, h := range f.hosts {
		f.putServer(h, "ready")
	}
	f.putLargeConfiguration(1)
	f.start(f.hosts...)
	f.eventually(func() bool { return f.runsVersion(1) })
	const last = 14
	for version := 2; version <= last; version++ {
		f.putLargeConfiguration(version)
	}
	f.eventually(func() bool { return f.runsVersion(last) })
}

// Guards against a listing that never ends where single calls fail, because it begins
// again after each failure.
func TestFailedListingContinues(t *testing.T) {
	f := newFleet(t, "counter", "counter", "counter", "counter", "depot", "depot")
	f.putConfiguration("r1", f.routes("counter")...)
	for _, h := range f.hosts {
		f.putServer(h, "ready")
	}
	var calls atomic.Int64
	f.store.Refuse(func(string) bool { return calls.Add(1)%2 == 0 })
	f.start(f.hosts[0])
	f.eventually(func() bool { return f.ready(f.hosts[0]) })
	// Seven items on pages of three.
	is.New(t).Equal(f.store.PageCount(), 3)
}

// relayStore passes calls on to the store, lets respond write the responses, and returns the
// address at which it listens.
func (f *fleet) relayStore(respond func(w http.ResponseWriter, response *http.Response, body []byte)) string {
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, err := http.Get("http://" + f.store.Address() + r.URL.String())
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer func() { _ = response.Body.Close() }()
		body, _ := io.ReadAll(response.Body)
		respond(w, response, body)
	}))
	f.t.Cleanup(relay.Close)
	return strings.TrimPrefix(relay.URL, "http://")
}

// Guards against a daemon that repeats a watch for good whose response always ends early.
func TestStoreIsListedAfterCutWatches(t *testing.T) {
	f := newFleet(t, "counter")
	store := f.relayStore(func(w http.ResponseWriter, _ *http.Response, body []byte) {
		if bytes.Contains(body, []byte(`"events":[{`)) {
			w.Header().Set("Content-Length", fmt.Sprint(len(body)+1))
		}
		_, _ = w.Write(body)
	})
	h := f.hosts[0]
	h.store = store
	f.putServer(h, "ready")
	f.putConfiguration("r1", f.routes("counter")...)
	f.start(h)
	f.eventually(func() bool { return f.runsVersion(1) })
	f.putConfiguration("r2", f.routes("counter")...)
	f.eventually(func() bool { return f.runsVersion(2) })
}

// Guards against versions that are late by as long as a listing takes: eight entries of 1 MB
// of another writer take 15 s on a slow link.
func TestVersionsArriveDuringLongListings(t *testing.T) {
	f := newFleet(t, "counter", "counter", "depot")
	f.slowDownLinks()
	f.startServing()
	time.Sleep(time.Second)
	for i := range 8 {
		f.store.Put(fmt.Sprint(platformtest.ServerPrefix, "other-", i), foreignValue(t))
	}
	time.Sleep(3 * time.Second)
	f.putConfiguration("r2", f.routes("depot")...)
	f.eventually(func() bool { return f.runsVersion(2) })
}

// Guards against a listing whose pages are of two eras of the store: it would have items
// that the store never had together.
func TestListingIsOfOneEra(t *testing.T) {
	is := is.New(t)
	page := func(era mirror.Era, key string) *mirror.Page {
		return &mirror.Page{Items: []mirror.Item{{Key: key, Revision: 3}}, More: true, AsOf: mirror.Position{Era: era, Revision: 5}}
	}
	var l listing
	complete, err := l.add(page(1, "a"), 1)
	is.NoErr(err)
	is.True(!complete)
	_, err = l.add(page(2, "b"), 2)
	is.True(errors.Is(err, errNextEra))
	is.Equal(len(l.items), 1)
}

// Guards against a daemon that calls the store without pause, or gives up its copy, while
// responses are of an earlier era than the copy.
func TestResponsesOfEarlierEra(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "counter")
	var earlier atomic.Bool
	var calls atomic.Int64
	store := f.relayStore(func(w http.ResponseWriter, response *http.Response, body []byte) {
		calls.Add(1)
		if !earlier.Load() {
			w.Header().Set("Store-Era", response.Header.Get("Store-Era"))
		}
		w.WriteHeader(response.StatusCode)
		_, _ = w.Write(body)
	})
	h := f.hosts[0]
	h.store = store
	f.putServer(h, "ready")
	f.putConfiguration("r1", f.routes("counter")...)
	f.start(h)
	f.eventually(func() bool { return f.runsVersion(1) })
	earlier.Store(true)
	f.putConfiguration("r2", f.routes("counter")...)
	before := calls.Load()
	const watched = 2 * time.Second
	time.Sleep(watched)
	// The pause between failed calls is half of maxBackoff or more.
	is.True(calls.Load()-before < 5+int64(2*watched/maxBackoff))
	is.True(f.runsVersion(1))
	earlier.Store(false)
	f.eventually(func() bool { return f.runsVersion(2) })
}
