package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/lane"
)

// local stands in for the backend server of a host.
type local struct {
	call    Call
	request *http1.Request
	answer  *http1.Response
	refused *refusal.Error
	// noted is the refusal that was last noted.
	noted *refusal.Error
}

func (l *local) Send(_ context.Context, call Call, request *http1.Request) (*http1.Response, *refusal.Error) {
	l.call, l.request = call, request
	return l.answer, l.refused
}

func (l *local) RecordRefusal(call Call, request *http1.Request, refused *refusal.Error) *refusal.Error {
	l.call, l.request, l.noted = call, request, refused
	return refused
}

func (l *local) Load() placement.Report {
	return placement.Report{Server: "i-1", Running: 3, Queued: 1, Slots: 18, Service: 150 * time.Millisecond, FailureRate: 0.5, LinkWait: time.Second, TransferTime: time.Millisecond}
}

func send(t *testing.T, l *local, call Call, header http.Header) (*http1.Response, *refusal.Error, []placement.Report) {
	t.Helper()
	behind := httptest.NewServer(NewHandler(l, lane.New(link.New(0), 0)))
	defer behind.Close()
	pool := http1.NewPool(http1.PoolOptions{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBodyBytes: 1 << 20})
	defer pool.CloseIdle()
	address := strings.TrimPrefix(behind.URL, "http://")
	host, port, _ := strings.Cut(address, ":")
	var reports []placement.Report
	client := NewClient(pool, port, func(report placement.Report) { reports = append(reports, report) })
	answer, refused := client.Do(context.Background(), &backend.Server{ID: "i-1", Address: host + ":1"}, call,
		&http1.Request{Method: http.MethodPost, Target: "/a?b", Host: "shop", Header: header, Body: []byte("crate")})
	return answer, refused, reports
}

// Guards against a request, an answer or a load that changes between daemons.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	l := &local{answer: &http1.Response{Status: 201, Header: http.Header{"X-Stamp": {"s"}, "Connection": {"close"}}, Body: []byte("done")}}
	call := Call{Server: "i-1", Left: 700 * time.Millisecond, Rank: 1, Aim: 300 * time.Millisecond, NoWait: true}
	answer, refused, reports := send(t, l, call, http.Header{"X-Id": {"1"}, "Marjoramsaddle-Rank": {"0"}})
	is.True(refused == nil)
	is.Equal(answer.Status, 201)
	is.Equal(string(answer.Body), "done")
	is.Equal(answer.Header.Get("X-Stamp"), "s")
	is.Equal(l.call, call)
	is.Equal(string(l.request.Body), "crate")
	is.Equal(l.request.Target, "/a?b")
	is.Equal(l.request.Header.Get("X-Id"), "1")
	is.Equal(l.request.Header.Get(headerRank), "")
	is.Equal(reports, []placement.Report{l.Load()})
}

// Guards against a refusal that promises more or less at the next daemon.
func TestRefusalKeepsItsOutcome(t *testing.T) {
	for _, want := range []*refusal.Error{
		refusal.New(refusal.QueueFull, refusal.NotRun), refusal.New(refusal.BackendBroken, refusal.Unknown),
	} {
		t.Run(want.Reason.String(), func(t *testing.T) {
			is := is.New(t)
			_, refused, reports := send(t, &local{refused: want}, Call{Server: "i-1", Left: time.Second}, http.Header{})
			is.Equal(refused.Reason, want.Reason)
			is.Equal(refused.Outcome, want.Outcome)
			is.Equal(len(reports), 1)
		})
	}
}

// Guards against a request without the daemons' headers being run, and against
// an answer of anything but a daemon being passed on.
func TestForeignPeers(t *testing.T) {
	is := is.New(t)
	l := &local{}
	handler := NewHandler(l, lane.New(link.New(0), 0))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	is.Equal(recorder.Code, http.StatusServiceUnavailable)
	is.True(l.request == nil)
	foreign := httptest.NewServer(http.NotFoundHandler())
	defer foreign.Close()
	pool := http1.NewPool(http1.PoolOptions{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBodyBytes: 1 << 20})
	defer pool.CloseIdle()
	host, port, _ := strings.Cut(strings.TrimPrefix(foreign.URL, "http://"), ":")
	_, refused := NewClient(pool, port, nil).Do(context.Background(), &backend.Server{ID: "i-1", Address: host + ":1"},
		Call{Server: "i-1"}, &http1.Request{Method: http.MethodGet, Target: "/", Host: "shop", Header: http.Header{}})
	is.Equal(refused.Reason, refusal.HopBroken)
	is.Equal(refused.Outcome, refusal.Unknown)
}

// Guards against headers of one connection or of the daemons leaking on.
func TestForwardable(t *testing.T) {
	is := is.New(t)
	header := http.Header{
		"Connection": {"X-Hop, keep-alive"}, "Keep-Alive": {"timeout=5"}, "X-Hop": {"1"}, "X-End": {"2"},
		"Transfer-Encoding": {"chunked"}, "Marjoramsaddle-Server": {"i-9"},
	}
	copied := Forwardable(header)
	StripInternalHeaders(copied)
	is.Equal(copied, http.Header{"X-End": {"2"}})
}

// Guards against the rush of downloads at hosts with slow links: those that
// would wait too long for the link are refused before they run, short requests
// are not, and a download that does not wait needs the link to be free.
func TestDownloadsAreRefusedForTheLink(t *testing.T) {
	is := is.New(t)
	account := link.New(100_000)
	booking, _ := account.Book(0, time.Hour)
	booking.SetSize(40_000)
	l := &local{answer: &http1.Response{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, 2*lane.LargeBody)}}
	behind := httptest.NewServer(NewHandler(l, lane.New(account, 0)))
	defer behind.Close()
	pool := http1.NewPool(http1.PoolOptions{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBodyBytes: 1 << 20})
	defer pool.CloseIdle()
	host, port, _ := strings.Cut(strings.TrimPrefix(behind.URL, "http://"), ":")
	var latest placement.Report
	client := NewClient(pool, port, func(report placement.Report) { latest = report })
	do := func(call Call) *refusal.Error {
		call.Server, call.Left = "i-1", 4*time.Second
		_, refused := client.Do(context.Background(), &backend.Server{ID: "i-1", Address: host + ":1"}, call,
			&http1.Request{Method: http.MethodGet, Target: "/", Host: "shop", Header: http.Header{}})
		return refused
	}
	// 400 ms of sending, 150 ms of them behind the work.
	is.Equal(do(Call{Large: true, NoWait: true, Aim: 2 * time.Second}).Reason, refusal.LinkBusy)
	is.Equal(do(Call{Large: true, Aim: 500 * time.Millisecond}).Reason, refusal.LinkBusy)
	is.Equal(l.noted.Reason, refusal.LinkBusy)
	is.True(do(Call{NoWait: true, Aim: 500 * time.Millisecond}) == nil)
	is.True(do(Call{Large: true, Aim: 4 * time.Second}) == nil)
	is.Equal(latest.Running, 3)
	booking.Close()
	is.True(do(Call{Large: true, NoWait: true, Aim: 500 * time.Millisecond}) == nil)
}
