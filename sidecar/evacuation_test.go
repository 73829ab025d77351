package sidecar

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/platform/platformtest"
)

// domainOf puts the hosts of a test into two failure domains by turns.
func domainOf(index int) string { return []string{"reduit", "ebene"}[index%2] }

// newFleetInTwoDomains starts four hosts, two in each failure domain.
func newFleetInTwoDomains(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t, "counter", "counter", "counter", "counter")
	f.startServing()
	for i, h := range f.hosts {
		f.store.Put(platformtest.ServerPrefix+h.backend.Name, h.backend.Entry(domainOf(i), "ready", 4))
	}
	f.eventuallyEverywhere(func(h *host) bool {
		domains := map[string]int{}
		for _, server := range h.listedServers() {
			domains[string(server.Domain)]++
		}
		return domains["reduit"] == 2 && domains["ebene"] == 2
	})
	return f
}

func (f *fleet) eventuallyEverywhere(condition func(h *host) bool) {
	f.t.Helper()
	for _, h := range f.hosts {
		f.eventually(func() bool { return h.daemon == nil || condition(h) })
	}
}

// evacuated returns how many failure domains the daemon takes for evacuated.
func (h *host) evacuated() int {
	h.daemon.storeState.mu.Lock()
	defer h.daemon.storeState.mu.Unlock()
	return len(h.daemon.storeState.evacuated)
}

// callEverywhere sends requests to every host and returns how many were served.
func (f *fleet) callEverywhere(prefix string) (served, sent int) {
	f.t.Helper()
	for _, h := range f.hosts {
		for i := range 12 {
			sent++
			if f.call(h, http.MethodGet, "/stock/x", fmt.Sprintf("%s-%s-%d", prefix, h.ip, i)).Status == http.StatusOK {
				served++
			}
		}
	}
	return served, sent
}

func requestCounts(f *fleet) []int {
	counts := make([]int, 0, len(f.hosts))
	for _, h := range f.hosts {
		counts = append(counts, len(h.backend.Requests()))
	}
	return counts
}

// Guards against requests that reach the backend servers of an evacuated failure domain,
// also from a daemon that restarts meanwhile; against clients on its hosts that are not
// served by the others; and against servers that stay unused after the evacuation.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleetInTwoDomains(t)
	f.store.Put(platformtest.EvacuationPrefix+"ebene", map[string]any{})
	f.eventuallyEverywhere(func(h *host) bool { return h.evacuated() == 1 })
	restarted := f.hosts[0]
	restarted.stop()
	is.NoErr(<-restarted.done)
	f.start(restarted)
	f.eventually(func() bool { return restarted.daemon.table.Load() != nil })
	before := requestCounts(f)
	served, sent := f.callEverywhere("during")
	is.Equal(served, sent)
	during := requestCounts(f)
	for i := range f.hosts {
		if domainOf(i) == "ebene" {
			is.Equal(during[i], before[i]) // requests in the evacuated failure domain
		}
	}
	f.store.Delete(platformtest.EvacuationPrefix + "ebene")
	f.eventuallyEverywhere(func(h *host) bool { return h.evacuated() == 0 })
	f.eventually(func() bool {
		f.callEverywhere(fmt.Sprint("after-", time.Now().UnixNano()))
		after := requestCounts(f)
		return after[1] > during[1] && after[3] > during[3]
	})
}

// Guards against requests that are run, or wait for their deadline, while all failure
// domains are evacuated.
func TestAllDomainsEvacuated(t *testing.T) {
	is := is.New(t)
	f := newFleetInTwoDomains(t)
	f.store.Put(platformtest.EvacuationPrefix+"ebene", map[string]any{})
	f.store.Put(platformtest.EvacuationPrefix+"reduit", map[string]any{})
	f.eventuallyEverywhere(func(h *host) bool { return h.evacuated() == 2 })
	before := requestCounts(f)
	for _, h := range f.hosts {
		response := f.call(h, http.MethodPost, "/orders/x", "all-"+h.ip)
		is.Equal(response.Status, http.StatusServiceUnavailable)
	}
	is.Equal(requestCounts(f), before)
}
