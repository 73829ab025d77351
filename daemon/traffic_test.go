package daemon

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/id"
	"marjoramsaddle/standin/backend"
)

// noDrain kills a daemon instead of stopping it gracefully, to show that the test
// of the graceful stop fails without a drain.
var noDrain = flag.Bool("no-drain", false, "kill a daemon instead of stopping it gracefully")

// traffic is a set of callers that alternate between orders and lookups.
type traffic struct {
	fleet   *testFleet
	stop    chan struct{}
	callers sync.WaitGroup
	mu      sync.Mutex
	// resultCounts counts the calls by result; failures lists the unexpected ones.
	resultCounts map[string]int
	failures     []string
	// orderResults maps the token of each order to its result.
	orderResults map[string]string
}

// startTraffic starts callers that each send to the hosts in rotation.
func (f *testFleet) startTraffic(callers int, hosts []id.Host) *traffic {
	tr := &traffic{fleet: f, stop: make(chan struct{}), resultCounts: map[string]int{}, orderResults: map[string]string{}}
	for caller := range callers {
		tr.callers.Go(func() {
			for number := caller; ; number++ {
				select {
				case <-tr.stop:
					return
				default:
				}
				token := fmt.Sprintf("%d-%d", caller, number)
				tr.send(hosts[number%len(hosts)], token, number%2 == 0)
			}
		})
	}
	return tr
}

func (tr *traffic) stopCallers() {
	close(tr.stop)
	tr.callers.Wait()
}

func (tr *traffic) send(through id.Host, token string, order bool) {
	method, path := http.MethodGet, "/stock/"+token
	if order {
		method, path = http.MethodPost, "/orders"
	}
	body := io.NopCloser(bytes.NewBufferString(token)) // no GetBody, so the client can't resend it
	request, err := http.NewRequest(method, "http://"+tr.fleet.callerAddresses[through]+path, body)
	if err != nil {
		panic(err)
	}
	request.ContentLength = int64(len(token))
	request.Header.Set(backend.HeaderToken, token)
	got := tr.fleet.do(request)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	result, failed := classify(got, token)
	tr.resultCounts[result]++
	if failed {
		tr.failures = append(tr.failures, fmt.Sprintf("%s through %s: %s", path, through, got))
	}
	if order {
		tr.orderResults[token] = result
	}
}

// The results of a call that the tests check.
const (
	answered     = "answered"
	notConnected = "not connected"
	wrongAnswer  = "wrong answer"
)

// classify returns the result of a call and whether it is a failure. A call must
// be answered completely, be refused as not run, or fail to connect.
func classify(got answer, token string) (string, bool) {
	var dial *net.OpError
	switch {
	case errors.As(got.err, &dial) && dial.Op == "dial":
		return notConnected, false
	case got.err != nil:
		return "aborted", true
	case got.outcome() == "not_run":
		return "not run " + got.reason(), false
	case got.status != http.StatusOK:
		return "failed", true
	case !bytes.Contains(got.body, []byte(backend.SHA256Hex([]byte(token)))):
		return wrongAnswer, true
	}
	return answered, false
}

// check compares the orders with the journals of the backend servers: an answered
// order ran once, any other did not run.
func (tr *traffic) check(is *is.I) {
	is.Helper()
	ran := map[string]int{}
	for _, server := range tr.fleet.backends {
		for _, row := range server.Journal().Rows {
			if row.Ran {
				ran[row.Token]++
			}
		}
	}
	for token, result := range tr.orderResults {
		want := 0
		if result == answered {
			want = 1
		}
		if ran[token] != want {
			tr.failures = append(tr.failures, fmt.Sprintf("order %s ran %d times: %s", token, ran[token], result))
		}
	}
	is.Equal(tr.failures, nil)
	is.True(tr.resultCounts[answered] > 100)
}

// Guards against calls that a graceful stop aborts or whose outcome it leaves
// unknown, against calls that reach the backend server after its daemon has
// stopped, and against goroutines that outlive the daemon.
func TestGracefulStopUnderLoad(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6)
	f.setServiceTime(20)
	leaving := f.counterHosts[0]
	tr := f.startTraffic(16, f.counterHosts)
	time.Sleep(500 * time.Millisecond)
	f.cancel[leaving]()
	if *noDrain {
		f.kill(leaving)
	} else {
		// Responses must announce the close before the connections are closed.
		f.eventually("answers end connections", func() bool { return f.order(leaving, "", "nails").closes })
	}
	time.Sleep(3 * time.Second) // no new calls may arrive later than this after the drain starts
	journalLength := len(f.backends[leaving].Journal().Rows)
	time.Sleep(500 * time.Millisecond)
	tr.stopCallers()
	t.Log(tr.resultCounts)
	tr.check(is)
	is.Equal(len(f.backends[leaving].Journal().Rows), journalLength)
	is.True(tr.resultCounts[notConnected] > 0) // the daemon has stopped
}

// Guards against calls that fail or change their route while the proxies switch
// to a new version.
func TestViewSwapUnderLoad(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6)
	tr := f.startTraffic(16, f.counterHosts)
	for range 8 {
		f.publisher.ChangeDocument()
		version, err := f.publisher.Publish(t.Context())
		is.NoErr(err)
		for _, d := range f.daemons {
			f.eventually("version in force", func() bool { return d.versionInForce() >= int64(version) })
		}
	}
	tr.stopCallers()
	t.Log(tr.resultCounts)
	tr.check(is)
	is.Equal(tr.resultCounts, map[string]int{answered: tr.resultCounts[answered]}) // a refusal means that a call saw no valid view
}
