package caller_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/retry"
	"marjoramsaddle/core/snapshot"
	"marjoramsaddle/io/caller"
	"marjoramsaddle/io/hop"
)

// fakeMesh fakes the chooser, the sender and the metrics behind a caller listener.
type fakeMesh struct {
	attempts atomic.Int64
	answer   func(request *http.Request) (*http.Response, *refusal.Error)
	ready    kernel.Readiness
	limited  bool
}

func (m *fakeMesh) Choose(id.Service, id.Instant, []id.Host) (endpoint.Entry, *refusal.Error) {
	return endpoint.Entry{Host: "b"}, nil
}

func (m *fakeMesh) Started(id.Host) {}

func (m *fakeMesh) Finished(id.Host, id.Instant, time.Duration, *refusal.Error) {}

func (m *fakeMesh) Do(_ id.Host, request *http.Request, _ hop.Call) (*http.Response, *refusal.Error) {
	m.attempts.Add(1)
	return m.answer(request)
}

func (m *fakeMesh) Call(refusal.Outcome, time.Duration) {}

func (m *fakeMesh) Refusal(refusal.Reason) {}

func (m *fakeMesh) Retry(refusal.Reason) {}

const bodyLimit = 100_000

func view() *snapshot.View {
	policy := snapshot.Policy{
		Service: document.Service{Name: "counter", Slots: 2, Connections: 2}, BodyBytes: bodyLimit, QueueMS: 100,
		Attempts: 2, BudgetPercent: 10,
	}
	return &snapshot.View{
		Routes: []snapshot.Route{
			{Route: document.Route{Name: "orders", PathPrefix: "/orders", Methods: []string{"POST"}, Service: "counter", TimeoutMS: 2000, Class: document.ClassOrder}},
			{Route: document.Route{Name: "stock", PathPrefix: "/stock", Methods: []string{"GET"}, Service: "counter", TimeoutMS: 2000, Class: document.ClassLookup, Idempotent: true}},
		},
		Policies: map[id.Service]snapshot.Policy{"counter": policy},
	}
}

// serve starts a caller listener with the header limits of the daemon's listener.
func serve(t *testing.T, m *fakeMesh) string {
	t.Helper()
	budget := retry.NewBudget(10)
	handler := caller.New(caller.Options{
		Self: "a", Chooser: m, Sender: m, Metrics: m,
		Budget:    func(id.Service, int) *retry.Budget { return budget },
		AllowCall: func(id.Service, int, id.Instant) bool { return !m.limited },
		View:      view,
		Ready:     func() kernel.Readiness { return m.ready },
		Now:       func() id.Instant { return id.InstantOf(time.Now()) },
	})
	server := httptest.NewUnstartedServer(handler)
	server.Config.MaxHeaderBytes = hop.MaxHeaderBytes
	server.Config.ReadHeaderTimeout = 5 * time.Second
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func ranResponse(body io.Reader, length int64) (*http.Response, *refusal.Error) {
	return &http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 2, Header: http.Header{hop.HeaderOutcome: {"ran"}},
		Body: io.NopCloser(body), ContentLength: length,
	}, nil
}

// Guards against refusals without outcome and reason or with a status other than
// the documented one, and against retries of a call that may have run.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name     string
		method   string
		path     string
		header   http.Header
		refused  *refusal.Error
		ready    kernel.Readiness
		limited  bool
		status   int
		reason   refusal.Reason
		outcome  refusal.Outcome
		attempts int64
	}{
		{"no route", "GET", "/none", nil, nil, kernel.Serving, false, 404, refusal.NoRoute, refusal.NotRun, 0},
		{"starting", "GET", "/stock/1", nil, nil, kernel.Starting, false, 503, refusal.NoConfiguration, refusal.NotRun, 0},
		{"resyncing", "GET", "/stock/1", nil, nil, kernel.Resyncing, false, 503, refusal.Resyncing, refusal.NotRun, 0},
		{"rate", "GET", "/stock/1", nil, nil, kernel.Serving, true, 429, refusal.RateLimited, refusal.NotRun, 0},
		{"late", "GET", "/stock/1", http.Header{hop.HeaderDeadline: {"1"}}, nil, kernel.Serving, false, 504, refusal.DeadlinePassed, refusal.NotRun, 0},
		{"bad deadline", "GET", "/stock/1", http.Header{hop.HeaderDeadline: {"soon"}}, nil, kernel.Serving, false, 400, refusal.BadRequest, refusal.NotRun, 0},
		{"deep", "GET", "/stock/1", http.Header{hop.HeaderDepth: {"29"}}, nil, kernel.Serving, false, 508, refusal.DepthExceeded, refusal.NotRun, 0},
		{"full", "GET", "/stock/1", nil, refusal.New(refusal.QueueFull, refusal.NotRun), kernel.Serving, false, 503, refusal.QueueFull, refusal.NotRun, 2},
		{"full order", "POST", "/orders", nil, refusal.New(refusal.QueueFull, refusal.NotRun), kernel.Serving, false, 503, refusal.QueueFull, refusal.NotRun, 2},
		{"broken order", "POST", "/orders", nil, refusal.New(refusal.BackendBroken, refusal.Unknown), kernel.Serving, false, 502, refusal.BackendBroken, refusal.Unknown, 1},
		{"broken lookup", "GET", "/stock/1", nil, refusal.New(refusal.BackendBroken, refusal.Unknown), kernel.Serving, false, 502, refusal.BackendBroken, refusal.Unknown, 2},
		{"marked lookup", "GET", "/stock/1", http.Header{hop.HeaderRetry: {"1"}}, refusal.New(refusal.QueueFull, refusal.NotRun), kernel.Serving, false, 503, refusal.QueueFull, refusal.NotRun, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := &fakeMesh{ready: c.ready, limited: c.limited, answer: func(*http.Request) (*http.Response, *refusal.Error) { return nil, c.refused }}
			request, err := http.NewRequest(c.method, "http://"+serve(t, m)+c.path, http.NoBody)
			is.NoErr(err)
			request.Header = c.header.Clone()
			response, err := http.DefaultClient.Do(request)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.Header.Get(hop.HeaderReason), c.reason.String())
			is.Equal(response.Header.Get(hop.HeaderOutcome), c.outcome.String())
			is.Equal(response.StatusCode, c.status)
			is.Equal(m.attempts.Load(), c.attempts)
		})
	}
}

// Guards against input that uses unbounded memory, holds a slot while the caller
// is slow, or stops the listener.
func TestHostileInput(t *testing.T) {
	head := "POST /orders HTTP/1.1\r\nHost: mesh\r\n"
	cases := []struct {
		name, input string
		status      string // empty if no status is expected
		attempts    int64
	}{
		{"long header", head + "X: " + strings.Repeat("x", 2*hop.MaxHeaderBytes) + "\r\n\r\n", "431", 0},
		{"long body", head + "Content-Length: 1000000\r\n\r\n", "413", 0},
		{"garbage", strings.Repeat("\x16\x03\x01\x00\xA5", 100) + "\r\n\r\n", "400", 0},
		{"slow body", head + "Content-Length: 10\r\n\r\nabc", "", 0},
		{"two lengths", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := &fakeMesh{ready: kernel.Serving, answer: func(*http.Request) (*http.Response, *refusal.Error) { return ranResponse(strings.NewReader("ok"), 2) }}
			address := serve(t, m)
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, c.input)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond)))
			line, _ := bufio.NewReader(conn).ReadString('\n')
			is.True(strings.Contains(line, c.status))
			is.Equal(m.attempts.Load(), c.attempts)
			response, err := http.Get("http://" + address + "/stock/1")
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.StatusCode, http.StatusOK)
		})
	}
}

// Guards against chunked encoding as a way around the body limit: an oversized
// body must not reach the backend server complete.
func TestChunkedBodyOverTheLimit(t *testing.T) {
	is := is.New(t)
	m := &fakeMesh{ready: kernel.Serving, answer: func(request *http.Request) (*http.Response, *refusal.Error) {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return nil, refusal.Wrap(refusal.BackendBroken, refusal.Unknown, err)
		}
		return ranResponse(strings.NewReader("ok"), 2)
	}}
	body := io.MultiReader(strings.NewReader(strings.Repeat("x", bodyLimit+1)))
	response, err := http.Post("http://"+serve(t, m)+"/orders", "text/plain", body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.True(response.StatusCode != http.StatusOK)
	is.Equal(m.attempts.Load(), int64(1))
}

// Guards against a truncated response that looks complete to the caller.
func TestTruncatedResponseIsVisible(t *testing.T) {
	for _, length := range []int64{-1, 1000} {
		is := is.New(t)
		m := &fakeMesh{ready: kernel.Serving, answer: func(*http.Request) (*http.Response, *refusal.Error) {
			return ranResponse(io.MultiReader(strings.NewReader("half"), brokenReader{}), length)
		}}
		response, err := http.Get("http://" + serve(t, m) + "/stock/1")
		if err != nil {
			continue
		}
		_, err = io.ReadAll(response.Body)
		is.NoErr(response.Body.Close())
		is.True(err != nil)
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("connection lost") }

// Guards against callers that reuse connections to a daemon that is about to
// stop: their next request would fail on a closed connection.
func TestDrainingClosesConnections(t *testing.T) {
	is := is.New(t)
	m := &fakeMesh{ready: kernel.Draining, answer: func(*http.Request) (*http.Response, *refusal.Error) {
		return ranResponse(strings.NewReader("ok"), 2)
	}}
	response, err := http.Get("http://" + serve(t, m) + "/stock/1")
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(string(body), "ok")
	is.True(response.Close)
}
