package sidecar

import (
	"fmt"
	"net/http"
	"testing"

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
