package platform_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"marjoramsaddle/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type reply struct {
	status int
	index  string
	body   string
}

// fixture holds a simulated platform and an HTTP client.
type fixture struct {
	*is.I
	server *platform.Server
	client *http.Client
}

func start(t *testing.T, options platform.Options) fixture {
	is := is.New(t)
	server, err := platform.Start(options)
	is.NoErr(err)
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		is.NoErr(server.Close())
	})
	return fixture{I: is, server: server, client: client}
}

func (f fixture) try(method, path string, body []byte) (reply, error) {
	request, err := http.NewRequest(method, "http://"+f.server.Address()+"/v1/kv/"+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header.Get("X-Consul-Index"), strings.TrimSpace(string(data))}, err
}

func (f fixture) do(method, path, body string) reply {
	f.Helper()
	got, err := f.try(method, path, []byte(body))
	f.NoErr(err)
	return got
}

// Guards against responses that a Consul client would misinterpret.
func TestRespondsLikeConsul(t *testing.T) {
	f := start(t, platform.Options{})
	large := strings.Repeat("x", platform.MaxValueBytes)
	steps := []struct {
		method, path, body string
		want               reply
	}{
		{"GET", "a/b", "", reply{404, "1", ""}},
		{"PUT", "a/b?cas=5", "one", reply{200, "", "false"}},
		{"PUT", "a/b?cas=0", "one", reply{200, "", "true"}},
		{"PUT", "a/b?cas=0", "two", reply{200, "", "false"}},
		{"GET", "a/b", "", reply{200, "2", `[{"LockIndex":0,"Key":"a/b","Flags":0,"Value":"b25l","CreateIndex":2,"ModifyIndex":2}]`}},
		{"PUT", "a/b?cas=2&flags=7", "two", reply{200, "", "true"}},
		{"GET", "a/b?consistent", "", reply{200, "3", `[{"LockIndex":0,"Key":"a/b","Flags":7,"Value":"dHdv","CreateIndex":2,"ModifyIndex":3}]`}},
		{"GET", "a/b?raw&stale", "", reply{200, "3", "two"}},
		{"GET", "a/b?stale&consistent", "", reply{400, "", "consistent and stale exclude each other; give one"}},
		{"PUT", "big", large, reply{200, "", "true"}},
		{"PUT", "big", large + "x", reply{413, "", "value exceeds 1 MiB; split it"}},
		{"GET", "a/b?index=2&wait=10s&raw", "", reply{200, "3", "two"}},
		{"GET", "a/b?index=3&wait=20ms&raw", "", reply{200, "3", "two"}},
		{"DELETE", "a/b", "", reply{405, "", "Method Not Allowed"}},
	}
	for i, step := range steps {
		got := f.do(step.method, step.path, step.body)
		if got != step.want {
			t.Errorf("step %d: %s %s: got %+v, want %+v", i, step.method, step.path, got, step.want)
		}
	}
}

// Guards against lost updates when operators publish concurrently.
func TestCompareAndSetLosesNoUpdate(t *testing.T) {
	f := start(t, platform.Options{MaxCallsPerS: 100_000})
	const writers, writes = 8, 25
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for range writes {
				increment(t, f)
			}
		})
	}
	group.Wait()
	f.Equal(f.do("GET", "n?raw", "").body, fmt.Sprint(writers*writes))
}

func increment(t *testing.T, f fixture) {
	for {
		read, err := f.try("GET", "n?raw", nil)
		if err != nil {
			t.Error(err)
			return
		}
		n, index := 0, "0"
		if read.status == http.StatusOK {
			_, _ = fmt.Sscan(read.body, &n)
			index = read.index
		}
		done, err := f.try("PUT", "n?cas="+index, []byte(fmt.Sprint(n+1)))
		if err != nil || done.body == "true" {
			return
		}
	}
}

// Guards against watches that miss a change, return for other keys, or count as
// more than one call.
func TestWatchWakesOnceForItsKey(t *testing.T) {
	f := start(t, platform.Options{})
	first := f.server.Put("k", []byte("1"))
	woken := make(chan reply, 1)
	go func() {
		got, _ := f.try("GET", fmt.Sprintf("k?raw&index=%d&wait=30s", first), nil)
		woken <- got
	}()
	f.eventually(func() bool { return f.server.Counters().WaitingWatches == 1 })
	f.server.Put("other", []byte("x"))
	select {
	case <-woken:
		t.Fatal("woken by another key")
	case <-time.After(50 * time.Millisecond):
	}
	second := f.server.Put("k", []byte("2"))
	f.Equal(<-woken, reply{200, fmt.Sprint(second), "2"})
	f.eventually(func() bool { return f.server.Counters().WaitingWatches == 0 })
	f.Equal(f.server.Counters().CallsByKind, map[string]int{platform.KindWatch: 1})
}

func (f fixture) eventually(condition func() bool) {
	f.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	f.Fail()
}

// Guards against a simulated platform that serves more calls than its limit.
func TestRefusesCallsOverTheLimit(t *testing.T) {
	f := start(t, platform.Options{MaxCallsPerS: 10})
	f.server.Put("k", []byte("1"))
	refused := 0
	const calls = 60
	for range calls {
		if f.do("GET", "k", "").status == http.StatusTooManyRequests {
			refused++
		}
	}
	counters := f.server.Counters()
	f.Equal(counters.Refused, refused)
	f.Equal(counters.TotalCalls, calls)
	sum := 0
	for _, second := range counters.History {
		f.Equal(second.Refused, max(second.Calls-10, 0))
		f.True(second.Calls <= counters.PeakCallsPerS)
		sum += second.Calls
	}
	f.Equal(sum, calls)
	f.True(refused > 0)
}

func (f fixture) fault(body string) int {
	f.Helper()
	response, err := f.client.Post("http://"+f.server.ControlAddress()+"/faults", "application/json", strings.NewReader(body))
	f.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	f.NoErr(err)
	return response.StatusCode
}

// Guards against faults that have no effect or persist after they are cleared.
func TestFaults(t *testing.T) {
	f := start(t, platform.Options{})
	f.server.Put("k", []byte("old"))
	for _, bad := range []string{`{"outage":"x"}`, `{"latency_ms":-1}`, `{"unknown":1}`} {
		f.Equal(f.fault(bad), 400)
	}
	f.Equal(f.fault(`{"frozen":true}`), 200)
	f.server.Put("k", []byte("new"))
	f.Equal(f.do("GET", "k?raw", "").body, "old")
	f.Equal(f.do("GET", "k?raw&consistent", "").body, "new")
	f.fault(`{"staleness_ms":60000,"stale_consistent":true}`)
	f.Equal(f.do("GET", "k?raw&consistent", "").status, 404)
	f.fault(`{"over_limit":true}`)
	f.Equal(f.do("GET", "k?raw", "").status, 429)
	f.fault(`{"latency_ms":50}`)
	began := time.Now()
	f.Equal(f.do("GET", "k?raw", "").body, "new")
	f.True(time.Since(began) >= 50*time.Millisecond)
	f.fault(`{}`)
	f.Equal(f.do("GET", "k?raw", "").body, "new")
}

// Guards against an outage that leaves waiting watches open.
func TestOutageEndsWatches(t *testing.T) {
	f := start(t, platform.Options{})
	index := f.server.Put("k", []byte("1"))
	for outage, want := range map[string]int{platform.OutageError: 500, platform.OutageRefuse: 0} {
		ended := make(chan int, 1)
		go func() {
			got, _ := f.try("GET", fmt.Sprintf("k?index=%d&wait=30s", index), nil)
			ended <- got.status
		}()
		f.eventually(func() bool { return f.server.Counters().WaitingWatches == 1 })
		f.Equal(f.fault(`{"outage":"`+outage+`"}`), 200)
		f.Equal(<-ended, want)
		got, err := f.try("GET", "k", nil)
		f.Equal(got.status, want)
		f.Equal(err != nil, want == 0)
		f.Equal(f.fault(`{}`), 200)
		f.Equal(f.do("GET", "k?raw", "").body, "1")
		f.eventually(func() bool { return f.server.Counters().WaitingWatches == 0 })
	}
}

// Guards against host lists that show changes before their lag has passed, and
// against watches that don't return when a change becomes visible.
func TestHostListLags(t *testing.T) {
	const lag = 100 * time.Millisecond
	f := start(t, platform.Options{HostListLag: lag})
	key := platform.HostsPrefix + "ebene"
	wrote := time.Now()
	f.Equal(f.do("PUT", key, "list").body, "true")
	f.Equal(f.do("GET", key, "").status, 404)
	f.Equal(f.do("GET", key+"?raw&index=1&wait=10s", "").body, "list")
	waited := time.Since(wrote)
	f.True(waited >= lag)
	f.True(waited < 5*time.Second)
}

// Guards against counters that a client can't decode.
func TestCountersOverHTTP(t *testing.T) {
	f := start(t, platform.Options{})
	f.do("GET", "k", "")
	response, err := f.client.Get("http://" + f.server.ControlAddress() + "/counters")
	f.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	var counters platform.Counters
	f.NoErr(json.NewDecoder(response.Body).Decode(&counters))
	f.Equal(counters.TotalCalls, 1)
	f.Equal(counters.PeakCallsPerS, 1)
}

// Guards against a restore that keeps later indexes, and against watches that don't
// return when the index goes back.
func TestRestoreReusesIndexes(t *testing.T) {
	f := start(t, platform.Options{})
	first := f.server.Put("k", []byte("1"))
	second := f.server.Put("k", []byte("2"))
	woken := make(chan reply, 1)
	go func() {
		got, _ := f.try("GET", fmt.Sprintf("k?raw&index=%d&wait=30s", second), nil)
		woken <- got
	}()
	f.eventually(func() bool { return f.server.Counters().WaitingWatches == 1 })
	url := fmt.Sprintf("http://%s/restore?index=%d", f.server.ControlAddress(), first)
	response, err := f.client.Post(url, "", nil)
	f.NoErr(err)
	f.NoErr(response.Body.Close())
	f.Equal(response.StatusCode, http.StatusNoContent)
	f.Equal(<-woken, reply{200, fmt.Sprint(first), "1"})
	f.Equal(f.server.Put("k", []byte("other")), second)
	f.True(f.server.Restore(second+1) != nil)
}
