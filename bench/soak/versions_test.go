package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/platform/platformtest"
)

// startFleet starts daemons as processes and returns their world.
func startFleet(t *testing.T, seed uint64, hosts int) *world {
	t.Helper()
	w, err := newWorld(&Options{Program: buildDaemon(t), Folder: t.TempDir(), Seed: seed, Hosts: hosts, IdleRoutes: versionIdleRoutes})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.close)
	if err := w.start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return w
}

// lateHosts publishes a version and returns the hosts, other than those excused, that
// do not handle requests by it after applyDeadline.
func (w *world) lateHosts(round int, excused map[*host]bool) []string {
	w.publish()
	version := addedRoute(len(w.versions.published))
	time.Sleep(applyDeadline)
	var mu sync.Mutex
	var late []string
	var probes sync.WaitGroup
	for _, h := range w.hosts {
		if excused[h] {
			continue
		}
		probes.Go(func() {
			reply, err := platformtest.Call(context.Background(), w.address(h.localIP, portCaller), http.MethodGet, version.prefix()+"x", fmt.Sprintf("%s.%d", h.name, round), requestTimeout, "")
			if err != nil || reply.Status == http.StatusNotFound {
				mu.Lock()
				defer mu.Unlock()
				late = append(late, fmt.Sprintf("round %d: %s: status %d, error %v", round, h.name, reply.Status, err))
			}
		})
	}
	probes.Wait()
	return late
}

// Guards against versions that come late because both daemons that read the store are
// lost at the same time: the others, which are not disturbed, must begin to read early
// enough for the version to take effect in time.
func TestLostReadersDoNotDelayVersions(t *testing.T) {
	for i, test := range []struct {
		name  string
		apply func(*faultInjector, *host) func()
	}{
		{"cut from the store", cutStore},
		{"killed", kill},
		{"paused", pause},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := startFleet(t, uint64(180+i), versionHosts)
			c := &faultInjector{w: w, began: time.Now()}
			for round := range 3 {
				// Afterwards two daemons read the store, and all have the version.
				time.Sleep(2 * settleTime)
				is.Equal(len(w.readers()), maxReadersHarmed)
				// The readers have just called the store, so they count as readers for
				// as long as possible.
				w.publish()
				time.Sleep(40 * time.Millisecond)
				excused := map[*host]bool{}
				var ends []func()
				for _, h := range w.readers() {
					excused[h] = true
					ends = append(ends, test.apply(c, h))
				}
				is.True(len(excused) > 0)
				late := w.lateHosts(round, excused)
				for _, end := range ends {
					end()
				}
				if len(late) > 0 {
					t.Errorf("hosts that are not disturbed do not have the version after %v:\n%s", applyDeadline, strings.Join(late, "\n"))
				}
			}
		})
	}
}
