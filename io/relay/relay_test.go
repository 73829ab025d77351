package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/announcement"
	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/shutdown"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/lane"
)

// fakeBackend is a LocalBackend that records what it receives.
type fakeBackend struct {
	call     Call
	request  *http1.Request
	response *http1.Response
	refused  *refusal.Error
	// recorded is the last refusal passed to RecordRefusal.
	recorded *refusal.Error
}

func (b *fakeBackend) Send(_ context.Context, call Call, request *http1.Request) (*http1.Response, *refusal.Error) {
	b.call, b.request = call, request
	return b.response, b.refused
}

func (b *fakeBackend) RecordRefusal(call Call, request *http1.Request, refused *refusal.Error) *refusal.Error {
	b.call, b.request, b.recorded = call, request, refused
	return refused
}

func (b *fakeBackend) Load() placement.Report {
	return placement.Report{Server: "i-1", Running: 3, Queued: 1, Slots: 18, Service: 150 * time.Millisecond, FailureRate: 0.5, LinkWait: time.Second, TransferTime: time.Millisecond}
}

// handlerTime is the time at the daemon of newHandler, whose clock does not advance.
const handlerTime = id.Instant(time.Hour)

// newHandler returns the handler of a daemon that is not stopping.
func newHandler(local LocalBackend, lane *lane.Pacer) *Handler {
	return NewHandler(HandlerOptions{
		Local: local, Lane: lane, Now: func() id.Instant { return handlerTime },
		Admit: func(work shutdown.Work) (id.Instant, bool) { return work.Deadline, true },
	})
}

func send(t *testing.T, local *fakeBackend, call Call, header http.Header) (*http1.Response, *refusal.Error, []placement.Report) {
	t.Helper()
	daemon := httptest.NewServer(newHandler(local, lane.New(link.New(0), 0)))
	defer daemon.Close()
	pool := http1.NewPool(http1.PoolOptions{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBodyBytes: 1 << 20})
	defer pool.CloseIdle()
	address := strings.TrimPrefix(daemon.URL, "http://")
	host, port, _ := strings.Cut(address, ":")
	var reports []placement.Report
	client := NewClient(pool, port, func(report placement.Report) { reports = append(reports, report) }, func(int) {})
	response, refused := client.Do(context.Background(), &backend.Server{ID: "i-1", Address: host + ":1"}, call,
		&http1.Request{Method: http.MethodPost, Target: "/a?b", Host: "shop", Header: header, Body: []byte("crate")})
	return response, refused, reports
}

// Guards against a request, response or load report that is altered between
// daemons.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	local := &fakeBackend{response: &http1.Response{Status: 201, Header: http.Header{"X-Stamp": {"s"}, "Connection": {"close"}}, Body: []byte("done")}}
	call := Call{
		Server: "i-1", Left: 700 * time.Millisecond, Rank: 1, Aim: 300 * time.Millisecond, NoWait: true, OfRequest: true, Expected: 250 * time.Millisecond,
		Limit: announcement.Limit{Announced: true, Rate: 27.6}, LimitAge: 1500 * time.Millisecond,
	}
	response, refused, reports := send(t, local, call, http.Header{"X-Id": {"1"}, "Marjoramsaddle-Rank": {"0"}, "Marjoramsaddle-Of-Request": {"1"}})
	is.True(refused == nil)
	is.Equal(response.Status, 201)
	is.Equal(string(response.Body), "done")
	is.Equal(response.Header.Get("X-Stamp"), "s")
	is.Equal(local.call.Origin, shutdown.Peer)
	is.Equal(local.call.Arrived, handlerTime)
	// These two are not sent.
	call.Origin, call.Arrived = local.call.Origin, local.call.Arrived
	is.Equal(local.call, call)
	is.Equal(string(local.request.Body), "crate")
	is.Equal(local.request.Target, "/a?b")
	is.Equal(local.request.Header.Get("X-Id"), "1")
	is.Equal(local.request.Header.Get(headerRank), "")
	is.Equal(local.request.Header.Get(headerOfRequest), "")
	is.Equal(reports, []placement.Report{local.Load()})
}

// Guards against a refusal whose reason or outcome changes on its way back.
func TestRefusalKeepsItsOutcome(t *testing.T) {
	for _, want := range []*refusal.Error{
		refusal.New(refusal.QueueFull, refusal.NotRun), refusal.New(refusal.BackendBroken, refusal.Unknown),
		{Reason: refusal.ServerCold, Outcome: refusal.NotRun, RetryAfter: 90 * time.Millisecond},
	} {
		t.Run(want.Reason.String(), func(t *testing.T) {
			is := is.New(t)
			_, refused, reports := send(t, &fakeBackend{refused: want}, Call{Server: "i-1", Left: time.Second}, http.Header{})
			is.Equal(refused.Reason, want.Reason)
			is.Equal(refused.Outcome, want.Outcome)
			is.Equal(refused.RetryAfter, want.RetryAfter)
			is.Equal(len(reports), 1)
		})
	}
}

// Guards against running a request without internal headers, and against
// forwarding a response that does not come from a daemon.
func TestForeignPeers(t *testing.T) {
	is := is.New(t)
	local := &fakeBackend{}
	handler := newHandler(local, lane.New(link.New(0), 0))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	is.Equal(recorder.Code, http.StatusServiceUnavailable)
	is.True(local.request == nil)
	foreign := httptest.NewServer(http.NotFoundHandler())
	defer foreign.Close()
	pool := http1.NewPool(http1.PoolOptions{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBodyBytes: 1 << 20})
	defer pool.CloseIdle()
	host, port, _ := strings.Cut(strings.TrimPrefix(foreign.URL, "http://"), ":")
	_, refused := NewClient(pool, port, nil, func(int) {}).Do(context.Background(), &backend.Server{ID: "i-1", Address: host + ":1"},
		Call{Server: "i-1"}, &http1.Request{Method: http.MethodGet, Target: "/", Host: "shop", Header: http.Header{}})
	is.Equal(refused.Reason, refusal.HopBroken)
	is.Equal(refused.Outcome, refusal.Unknown)
}

// Guards against a deadline that is later by the time in which the body of a request has
// arrived.
func TestSlowBodyDoesNotExtendTheDeadline(t *testing.T) {
	is := is.New(t)
	local := &fakeBackend{response: &http1.Response{Status: http.StatusOK, Header: http.Header{}}}
	now := handlerTime
	handler := NewHandler(HandlerOptions{
		Local: local, Lane: lane.New(link.New(0), 0), Now: func() id.Instant { return now },
		Admit: func(work shutdown.Work) (id.Instant, bool) { return work.Deadline.Add(-100 * time.Millisecond), true },
	})
	body := readerFunc(func(p []byte) (int, error) {
		now = now.Add(400 * time.Millisecond)
		return copy(p, "order"), io.EOF
	})
	request := httptest.NewRequest(http.MethodPost, "/", body)
	Call{Server: "i-1", Left: 700 * time.Millisecond}.write(request.Header)
	handler.ServeHTTP(httptest.NewRecorder(), request)
	is.Equal(local.call.Left, 200*time.Millisecond)
}

// readerFunc is an io.Reader.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against forwarding hop-by-hop or internal headers.
func TestForwardable(t *testing.T) {
	is := is.New(t)
	header := http.Header{
		"Connection": {"X-Hop, keep-alive"}, "Keep-Alive": {"timeout=5"}, "X-Hop": {"1"}, "X-End": {"2"},
		"Transfer-Encoding": {"chunked"}, "Marjoramsaddle-Server": {"i-9"},
	}
	forwarded := Forwardable(header)
	StripInternalHeaders(forwarded)
	is.Equal(forwarded, http.Header{"X-End": {"2"}})
}

// Guards against too many large responses on a slow link: requests that would wait
// too long for the link are refused before they run, requests for small responses
// are not, and a NoWait request is refused unless the link is free.
func TestLargeResponsesAreRefusedForABusyLink(t *testing.T) {
	is := is.New(t)
	hostLink := link.New(100_000)
	booking, _ := hostLink.Book(0, time.Hour)
	booking.SetSize(40_000)
	local := &fakeBackend{response: &http1.Response{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, 2*lane.LargeBody)}}
	daemon := httptest.NewServer(newHandler(local, lane.New(hostLink, 0)))
	defer daemon.Close()
	pool := http1.NewPool(http1.PoolOptions{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBodyBytes: 1 << 20})
	defer pool.CloseIdle()
	host, port, _ := strings.Cut(strings.TrimPrefix(daemon.URL, "http://"), ":")
	var latest placement.Report
	client := NewClient(pool, port, func(report placement.Report) { latest = report }, func(int) {})
	do := func(call Call) *refusal.Error {
		call.Server, call.Left = "i-1", 4*time.Second
		_, refused := client.Do(context.Background(), &backend.Server{ID: "i-1", Address: host + ":1"}, call,
			&http1.Request{Method: http.MethodGet, Target: "/", Host: "shop", Header: http.Header{}})
		return refused
	}
	// The link is busy for 400 ms, of which 150 ms pass while the request is served.
	is.Equal(do(Call{Large: true, NoWait: true, Aim: 2 * time.Second}).Reason, refusal.LinkBusy)
	is.Equal(do(Call{Large: true, Aim: 500 * time.Millisecond}).Reason, refusal.LinkBusy)
	is.Equal(local.recorded.Reason, refusal.LinkBusy)
	is.True(do(Call{NoWait: true, Aim: 500 * time.Millisecond}) == nil)
	is.True(do(Call{Large: true, Aim: 4 * time.Second}) == nil)
	is.Equal(latest.Running, 3)
	booking.Close()
	is.True(do(Call{Large: true, NoWait: true, Aim: 500 * time.Millisecond}) == nil)
}
