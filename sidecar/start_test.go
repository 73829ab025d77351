package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a fleet that lists the store all at once at its first start:
// the seeds read, and the others get the copy from them.
func TestFirstStartSparesTheStore(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "counter", "counter", "counter", "depot", "depot", "counter")
	f.firstStart = true
	f.publish("r1", f.routes("counter")...)
	for _, h := range f.hosts {
		f.list(h, "ready")
	}
	f.start(f.hosts...)
	for _, h := range f.hosts {
		f.until(func() bool { return f.ready(h) && len(h.listed()) == len(f.hosts) })
	}
	for i, h := range f.hosts[1:] {
		is.Equal(f.call(h, "GET", "/stock/1", fmt.Sprint("stock-", i)).Status, 200)
	}
	// One listing of seven items, by the seed. Watches depend on how soon news of
	// the readers spreads, which TestReadersStepInByTurns bounds.
	is.Equal(f.store.PageCount(), 3)
}

// Guards against a daemon that waits for ever for seeds that are down.
func TestFirstStartWithoutSeeds(t *testing.T) {
	f := newFleet(t, "counter", "counter")
	f.firstStart = true
	f.publish("r1", f.routes("counter")...)
	f.list(f.hosts[1], "ready")
	began := time.Now()
	f.start(f.hosts[1])
	f.until(func() bool { return f.ready(f.hosts[1]) })
	is.New(t).True(time.Since(began) < firstStartWait+time.Second)
}
