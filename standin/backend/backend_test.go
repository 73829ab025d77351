package backend_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"marjoramsaddle/standin/backend"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixture struct {
	*is.I
	server *backend.Server
	client *http.Client
}

func start(t *testing.T, options backend.Options) fixture {
	is := is.New(t)
	server, err := backend.Start(options)
	is.NoErr(err)
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		_ = server.Close()
	})
	return fixture{I: is, server: server, client: client}
}

type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// call sends one request; a body makes it a POST.
func (f fixture) call(ctx context.Context, path, token, body string, headers ...string) reply {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.server.Address()+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set(backend.HeaderToken, token)
	request.Header.Set(backend.HeaderCallID, "call-"+token)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := f.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, data, err}
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

func (f fixture) row(token string) backend.Row {
	for _, row := range f.server.Journal().Rows {
		if row.Token == token {
			return row
		}
	}
	return backend.Row{}
}

func (f fixture) result(token string) backend.Result { return f.row(token).Result }

// Guards against responses that a caller can't match to its request.
func TestResponsesMatchTheirRequest(t *testing.T) {
	f := start(t, backend.Options{})
	paths := []struct{ path, body string }{
		{"/stock/hammer", ""},
		{"/internal/depot/stock", ""},
		{"/orders", "order"},
		{"/reservations", "reservation"},
		{"/files/0", ""},
		{"/files/63", ""},
		{"/files/300000", ""},
	}
	sums := map[string]bool{}
	for i, p := range paths {
		for copies := range 2 {
			token := fmt.Sprintf("t%d-%d", i, copies)
			got := f.call(context.Background(), p.path, token, p.body, backend.HeaderIdempotencyKey, "key-"+token)
			f.NoErr(got.err)
			f.Equal(got.status, http.StatusOK)
			sum := backend.SHA256Hex(got.body)
			f.Equal(got.header.Get(backend.HeaderBodySHA256), sum)
			f.Equal(got.header.Get(backend.HeaderToken), token)
			f.Equal(got.header.Get(backend.HeaderCallID), "call-"+token)
			f.True(len(got.body) == 0 || !sums[sum])
			sums[sum] = true
			f.eventually(func() bool { return f.result(token) == backend.ResultFinished })
			row := f.row(token)
			f.True(row.Ran)
			f.Equal(row.IdempotencyKey, "key-"+token)
			f.Equal(row.Bytes, int64(len(got.body)))
		}
	}
	f.Equal(backend.FileSHA256(300_000, "t6-1"), f.call(context.Background(), "/files/300000", "t6-1", "").header.Get(backend.HeaderBodySHA256))
}

// Guards against a journal that records a rejected request as run, or the reverse.
func TestJournalDistinguishesRanFromRejected(t *testing.T) {
	f := start(t, backend.Options{Slots: 1, ServiceTime: 300 * time.Millisecond})
	background := context.Background()
	past := fmt.Sprint(time.Now().Add(-time.Second).UnixMicro())
	f.Equal(f.call(background, "/orders", "late", "x", backend.HeaderDeadline, past).status, http.StatusGatewayTimeout)
	done := make(chan reply, 1)
	go func() { done <- f.call(background, "/orders", "first", "x") }()
	f.eventually(func() bool { return f.row("first").Ran })
	shed := f.call(background, "/orders", "second", "x")
	f.Equal(shed.status, http.StatusServiceUnavailable)
	f.True(shed.header.Get("Retry-After") != "")
	f.Equal((<-done).status, http.StatusOK)
	f.eventually(func() bool { return f.result("first") == backend.ResultFinished })
	soon := fmt.Sprint(time.Now().Add(50 * time.Millisecond).UnixMicro())
	f.Equal(f.call(background, "/orders", "slow", "x", backend.HeaderDeadline, soon).status, http.StatusGatewayTimeout)
	short, cancel := context.WithTimeout(background, 50*time.Millisecond)
	defer cancel()
	f.True(errors.Is(f.call(short, "/stock/x", "left", "").err, context.DeadlineExceeded))
	f.eventually(func() bool { return f.result("left") == backend.ResultCancelled })
	for token, want := range map[string]struct {
		result backend.Result
		ran    bool
	}{
		"late":   {backend.ResultExpired, false},
		"first":  {backend.ResultFinished, true},
		"second": {backend.ResultShed, false},
		"slow":   {backend.ResultCancelled, true},
		"left":   {backend.ResultCancelled, true},
	} {
		row := f.row(token)
		f.Equal(row.Result, want.result)
		f.Equal(row.Ran, want.ran)
	}
}

// Guards against a partial or corrupt response that looks complete to the caller.
func TestFaultsAreVisibleToTheCaller(t *testing.T) {
	f := start(t, backend.Options{})
	limit := int64(1000)
	zero := int64(0)
	for token, faults := range map[string]backend.Faults{
		"closed": {CloseAfterBytes: &limit},
		"empty":  {CloseAfterBytes: &zero},
		"stall":  {StallMidBody: true},
	} {
		f.NoErr(f.server.SetFaults(faults))
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		got := f.call(ctx, "/files/500000", token, "")
		cancel()
		f.True(got.err != nil)
		f.True(len(got.body) < 500_000)
		f.eventually(func() bool { return f.result(token) == backend.ResultCutOff })
	}
	f.NoErr(f.server.SetFaults(backend.Faults{CorruptBody: true}))
	got := f.call(context.Background(), "/files/500000", "garbage", "")
	f.NoErr(got.err)
	f.Equal(len(got.body), 500_000)
	f.True(backend.SHA256Hex(got.body) != got.header.Get(backend.HeaderBodySHA256))
}

// Guards against a drain that aborts active requests, is not announced, or whose
// start is not recorded.
func TestDrainFinishesWork(t *testing.T) {
	f := start(t, backend.Options{ServiceTime: 200 * time.Millisecond})
	background := context.Background()
	done := make(chan reply, 1)
	go func() { done <- f.call(background, "/orders", "before", "x") }()
	f.eventually(func() bool { return f.row("before").Ran })
	response, err := f.client.Post("http://"+f.server.ControlAddress()+"/drain", "", nil)
	f.NoErr(err)
	f.NoErr(response.Body.Close())
	during := f.call(background, "/healthz", "", "")
	f.Equal(string(during.body), backend.HealthDraining)
	f.Equal(during.header.Get(backend.HeaderDraining), "true")
	f.Equal(f.call(background, "/stock/x", "after", "").status, http.StatusOK)
	f.Equal(f.row("before").Draining, false)
	f.Equal(f.row("after").Draining, true)
	f.True(f.server.Journal().DrainUnixNs > 0)
	f.NoErr(f.server.Stop(background))
	got := <-done
	f.NoErr(got.err)
	f.Equal(got.status, http.StatusOK)
}

// Guards against health and load reports that ignore the configured lag and faults.
func TestHealthAndLoadFollowLagAndFaults(t *testing.T) {
	f := start(t, backend.Options{StatusLag: 150 * time.Millisecond, ServiceTime: 400 * time.Millisecond})
	background := context.Background()
	busy := func() int {
		var load backend.Load
		f.NoErr(json.Unmarshal(f.call(background, "/loadz", "", "").body, &load))
		return load.Busy
	}
	began := time.Now()
	f.server.Drain()
	done := make(chan reply, 1)
	go func() { done <- f.call(background, "/stock/x", "busy", "") }()
	f.eventually(func() bool { return f.row("busy").Ran })
	f.Equal(string(f.call(background, "/healthz", "", "").body), backend.HealthOK)
	f.Equal(busy(), 0)
	f.eventually(func() bool { return busy() == 1 })
	f.True(time.Since(began) >= 150*time.Millisecond)
	f.Equal(string(f.call(background, "/healthz", "", "").body), backend.HealthDraining)
	seven := 7
	f.NoErr(f.server.SetFaults(backend.Faults{Health: "ok", LoadBusy: &seven}))
	f.Equal(busy(), 7)
	f.Equal(string(f.call(background, "/healthz", "", "").body), backend.HealthOK)
	f.NoErr((<-done).err)
}

// Guards against a cold start or a connection limit that rejects no requests.
func TestColdStartAndConnectionLimit(t *testing.T) {
	f := start(t, backend.Options{ColdStart: 300 * time.Millisecond, MaxConnections: 1})
	background := context.Background()
	f.Equal(f.call(background, "/stock/x", "cold", "").status, http.StatusServiceUnavailable)
	f.Equal(f.row("cold").Ran, false)
	f.Equal(string(f.call(background, "/healthz", "", "").body), backend.HealthStarting)
	f.eventually(func() bool { return f.call(background, "/stock/x", "warm", "").status == http.StatusOK })
	second := fixture{I: f.I, server: f.server, client: &http.Client{Transport: &http.Transport{}}}
	f.True(second.call(background, "/stock/x", "over", "").err != nil)
	f.Equal(second.result("over"), backend.Result(""))
}

// Guards against a journal file that differs from the journal in memory, or that
// can't be read after a kill in the middle of a line.
func TestJournalFileHoldsTheJournal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	f := start(t, backend.Options{JournalFile: path, ServiceTime: 200 * time.Millisecond})
	background := context.Background()
	done := make(chan reply, 1)
	go func() { done <- f.call(background, "/orders", "a", "x", backend.HeaderIdempotencyKey, "k") }()
	f.eventually(func() bool { return f.row("a").Ran })
	early, err := backend.ReadJournal(path)
	f.NoErr(err)
	f.Equal(len(early.Rows), 1)
	f.True(early.Rows[0].Ran)
	f.Equal(early.Rows[0].Result, backend.ResultRunning)
	f.NoErr((<-done).err)
	f.Equal(f.call(background, "/files/100", "b", "").status, http.StatusOK)
	f.NoErr(f.server.Stop(background))
	whole, err := backend.ReadJournal(path)
	f.NoErr(err)
	f.Equal(whole, f.server.Journal())
	data, err := os.ReadFile(path)
	f.NoErr(err)
	f.NoErr(os.WriteFile(path, data[:len(data)-5], 0o600))
	_, err = backend.ReadJournal(path)
	f.NoErr(err)
	f.NoErr(os.WriteFile(path, append([]byte("{}\n"), data...), 0o600))
	_, err = backend.ReadJournal(path)
	f.True(err != nil)
}
