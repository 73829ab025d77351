package sidecar

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/platform"
	"marjoramsaddle/platform/platformtest"
)

// Guards against runs that are started on one host while the service that they call on
// another one refuses their calls; against calls that are refused for that reason; and
// against refusals that last after the called service has room again.
func TestCalledServiceWithoutRoom(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "counter", "depot")
	caller, called := f.hosts[0], f.hosts[1]
	f.startServing()
	f.putConfiguration("r2", append(f.routes("counter"), platformtest.Route("crates", "/crates/", "safe", "depot", 2*time.Second, 1))...)
	f.eventually(func() bool {
		return f.call(caller, http.MethodGet, "/crates/x", "ready").Status == http.StatusOK
	})
	var noRoom atomic.Bool
	called.backend.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		if noRoom.Load() {
			platformtest.Shed(w, r)
			return
		}
		called.backend.Respond(w)
	})
	caller.backend.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		id := platform.Headers{}.RequestID(r.Header) + ".1"
		response, err := platformtest.Call(r.Context(), f.address(caller.ip, 0), http.MethodGet, "/crates/x", id, clientTimeout, "")
		if err != nil || response.Status != http.StatusOK {
			caller.backend.RespondFailed(w)
			return
		}
		caller.backend.Respond(w)
	})
	statuses := func(prefix string, count int) map[int]int {
		counts := map[int]int{}
		for i := range count {
			response := f.call(called, http.MethodPost, "/orders/x", fmt.Sprintf("%s-%d", prefix, i))
			counts[response.Status]++
			is.Equal(response.RetryAfter != "", response.Status == http.StatusServiceUnavailable)
			time.Sleep(5 * time.Millisecond)
		}
		return counts
	}
	is.Equal(statuses("before", 20), map[int]int{http.StatusOK: 20})
	noRoom.Store(true)
	const requests = 100
	during := statuses("during", requests)
	t.Logf("without room: %v", during)
	is.Equal(during[http.StatusInternalServerError]+during[http.StatusServiceUnavailable], requests)
	is.True(during[http.StatusServiceUnavailable] > requests/3)
	recorder := httptest.NewRecorder()
	called.daemon.metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.True(strings.Contains(recorder.Body.String(), `marjoramsaddle_route_admitted_per_1000{route="orders"}`))
	is.True(strings.Contains(recorder.Body.String(), `marjoramsaddle_refusals_total{reason="calls_refused"}`))
	noRoom.Store(false)
	f.eventually(func() bool {
		return statuses(fmt.Sprint("after-", time.Now().UnixNano()), 20)[http.StatusOK] == 20
	})
}
