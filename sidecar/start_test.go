package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against the whole fleet listing the store at its first start: only the seed
// reads, and the others fetch the copy from it.
func TestFirstStartListsStoreOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "counter", "counter", "counter", "depot", "depot", "counter")
	f.firstStart = true
	f.putConfiguration("r1", f.routes("counter")...)
	for _, h := range f.hosts {
		f.putServer(h, "ready")
	}
	f.start(f.hosts...)
	for _, h := range f.hosts {
		f.eventually(func() bool { return f.ready(h) && len(h.listedServers()) == len(f.hosts) })
	}
	for i, h := range f.hosts[1:] {
		is.Equal(f.call(h, "GET", "/stock/1", fmt.Sprint("stock-", i)).Status, 200)
	}
	// One listing of seven items, by the seed. The number of watches depends on how
	// soon the readers become known, which the tests of core/mirror cover.
	is.Equal(f.store.PageCount(), 3)
}

// Guards against a daemon that waits forever for seeds that are down.
func TestFirstStartWithoutSeeds(t *testing.T) {
	f := newFleet(t, "counter", "counter")
	f.firstStart = true
	f.putConfiguration("r1", f.routes("counter")...)
	f.putServer(f.hosts[1], "ready")
	began := time.Now()
	f.start(f.hosts[1])
	f.eventually(func() bool { return f.ready(f.hosts[1]) })
	is.New(t).True(time.Since(began) < firstStartWait+time.Second)
}
