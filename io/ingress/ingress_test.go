package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/retry"
	"marjoramsaddle/core/route"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/relay"
)

// outcome is what one offer ends with.
type outcome struct {
	status  int
	refused *refusal.Error
}

// world stands in for everything around the handler.
type world struct {
	outcomes []outcome
	calls    []relay.Call
	offered  []backend.ID
	records  []Record
	repeats  *retry.FleetBudget
	tableMu  sync.Mutex
	table    *route.Table
	// configured is closed when the table is set; nil never is.
	configured chan struct{}
	link       *link.Link
}

func (w *world) RequestID(header http.Header) string { return header.Get("Id") }

func (w *world) ClientTimeout(http.Header) (time.Duration, bool) { return time.Second, true }

func (w *world) SetCaller(header http.Header, service id.Service) {
	header.Set("Caller", string(service))
}

func (w *world) Choose(request placement.Request) (placement.Choice, bool) {
	for _, name := range []backend.ID{"a", "b", "c", "d", "e", "f"} {
		excluded := false
		for _, other := range request.Exclude {
			excluded = excluded || other == name
		}
		if !excluded {
			return placement.Choice{Server: backend.Server{ID: name}}, true
		}
	}
	return placement.Choice{}, false
}

func (w *world) Started(backend.ID, id.Instant) {}

func (w *world) Finished(backend.ID, placement.Result, id.Instant) {}

func (w *world) Do(_ context.Context, server *backend.Server, call relay.Call, _ *http1.Request) (*http1.Response, *refusal.Error) {
	w.calls = append(w.calls, call)
	w.offered = append(w.offered, server.ID)
	next := w.outcomes[min(len(w.calls), len(w.outcomes))-1]
	if next.refused != nil {
		return nil, next.refused
	}
	header := http.Header{}
	if next.status == statusCallRefused {
		relay.MarkCallRefused(header)
		next.status = http.StatusInternalServerError
	}
	return &http1.Response{Status: next.status, Header: header}, nil
}

func (w *world) Done(record *Record) { w.records = append(w.records, *record) }

func (w *world) Retry(refusal.Reason) {}

// statusCallRefused stands for a failure because a call was turned away.
const statusCallRefused = -1

func newWorld(t *testing.T, outcomes ...outcome) (*world, *Handler) {
	t.Helper()
	part := []route.Part{{Service: "counter", Weight: 1}}
	table, err := route.NewTable(route.Configuration{
		Version: 3, Services: map[id.Service]route.Service{"counter": {}},
		Limits: route.Limits{BodyBytes: 10},
		Routes: []route.Route{
			{Name: "orders", Host: "shop", Prefix: "/orders/", Attempts: 2, Timeout: 300 * time.Millisecond, Parts: part},
			{
				Name: "catalogue", Host: "shop", Prefix: "/catalogue/", Attempts: 2, Timeout: 4 * time.Second,
				Aim: time.Second, Idempotent: true, Large: true, Parts: part,
			},
			{Name: "stock", Host: "shop", Prefix: "/stock/", Attempts: 2, Timeout: 300 * time.Millisecond, Idempotent: true, Parts: part},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	w := &world{outcomes: outcomes, link: link.New(100_000), table: table, repeats: ledger(1)}
	return w, w.handler()
}

func (w *world) handler() *Handler {
	start := time.Now()
	return New(Options{
		Service: func() id.Service { return "depot" }, HeaderCodec: w, Chooser: w, Sender: w, Recorder: w,
		Table: func() *route.Table {
			w.tableMu.Lock()
			defer w.tableMu.Unlock()
			return w.table
		},
		Configured:  w.configured,
		RetryBudget: w.repeats,
		ParentOf:    func(string) ParentRequest { return nil },
		Local:       func() backend.ID { return "" },
		Link:        w.link,
		Now:         func() id.Instant { return id.Instant(time.Hour + time.Since(start)) },
	})
}

// ledger returns the part of one daemon that is alone in its fleet.
func ledger(ratio float64) *retry.FleetBudget {
	return retry.NewFleetBudget(func() retry.FleetLimits { return retry.FleetLimits{Ratio: ratio, Slack: 10, Daemons: 1} })
}

func request(method, target string, body string) *http.Request {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	r.Host = "shop"
	return r
}

// Guards against requests that run twice, promises that are not true, and
// requests that end although another backend server would have served them.
func TestOffers(t *testing.T) {
	refused := func(reason refusal.Reason, known refusal.Outcome) outcome {
		return outcome{refused: refusal.New(reason, known)}
	}
	full := refused(refusal.QueueFull, refusal.NotRun)
	shed := refused(refusal.BackendShed, refusal.NotRun)
	lost := refused(refusal.BackendBroken, refusal.Unknown)
	served := outcome{status: 200}
	failed := outcome{status: 500}
	tests := []struct {
		name     string
		path     string
		outcomes []outcome
		status   int
		offers   int
	}{
		{"served", "/orders/", []outcome{served}, 200, 1},
		{"full, then served", "/orders/", []outcome{full, full, served}, 200, 3},
		{"full everywhere", "/orders/", []outcome{full}, 503, maxOffers},
		{"shed, then served", "/orders/", []outcome{shed, served}, 200, 2},
		{"shed twice", "/orders/", []outcome{shed, shed, served}, 503, 2},
		{"order lost", "/orders/", []outcome{lost, served}, 502, 1},
		{"lookup lost once", "/stock/", []outcome{lost, served}, 200, 2},
		{"lookup lost twice", "/stock/", []outcome{lost, lost, served}, 502, 2},
		{"lookup lost, then full", "/stock/", []outcome{lost, full}, 502, maxOffers},
		{"lookup failed once", "/stock/", []outcome{failed, served}, 200, 2},
		{"lookup failed, then lost", "/stock/", []outcome{failed, lost}, 500, 2},
		{"order failed", "/orders/", []outcome{failed, served}, 500, 1},
		{"call refused", "/stock/", []outcome{{status: statusCallRefused}, served}, 500, 1},
		{"late", "/stock/", []outcome{refused(refusal.DeadlinePassed, refusal.Unknown), served}, 504, 1},
		{"late, not run", "/stock/", []outcome{refused(refusal.DeadlinePassed, refusal.NotRun), served}, 503, 1},
		{"not reached", "/orders/", []outcome{refused(refusal.ConnectFailed, refusal.NotRun), served}, 200, 2},
		{"no route", "/nowhere/", []outcome{served}, 404, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w, handler := newWorld(t, test.outcomes...)
			answer := handler.Serve(context.Background(), request(http.MethodGet, test.path, ""))
			is.Equal(answer.Status, test.status)
			is.Equal(len(w.calls), test.offers)
			is.Equal(answer.Header.Get("Retry-After") != "", test.status == http.StatusServiceUnavailable)
			is.Equal(len(w.records), 1)
			is.Equal(w.records[0].Status, test.status)
			// A request without a route has no deadline, and none is logged.
			is.True(w.records[0].Left > -time.Minute)
		})
	}
}

// Guards against repeats without end while backend servers fail everything.
func TestRepeatsKeepTheBudget(t *testing.T) {
	is := is.New(t)
	w, _ := newWorld(t, outcome{refused: refusal.New(refusal.BackendBroken, refusal.Unknown)})
	w.repeats = ledger(0.1)
	handler := w.handler()
	const requests = 200
	for range requests {
		handler.Serve(context.Background(), request(http.MethodGet, "/stock/", ""))
	}
	// A tenth, and the five that the budget saves up.
	is.True(len(w.calls) <= requests+requests/10+5)
}

// Guards against a client that has left being answered, and against bodies over
// the limit reaching a backend server.
func TestClientsThatLeaveOrSendTooMuch(t *testing.T) {
	is := is.New(t)
	_, handler := newWorld(t, outcome{refused: refusal.New(refusal.CallerGone, refusal.Unknown)})
	is.True(handler.Serve(context.Background(), request(http.MethodGet, "/stock/", "")) == nil)
	w, handler := newWorld(t, outcome{status: 200})
	is.Equal(handler.Serve(context.Background(), request(http.MethodPost, "/orders/", "more than ten")).Status, http.StatusRequestEntityTooLarge)
	is.Equal(len(w.calls), 0)
	w.table = nil
	is.Equal(handler.Serve(context.Background(), request(http.MethodPost, "/orders/", "")).Status, http.StatusServiceUnavailable)
}

// Guards against downloads that are fetched over the network and then wait for
// the link of this host: they are refused at once, with the time after which the
// link is free, and their room is given back when nobody answers.
func TestDownloadsNeedTheOwnLink(t *testing.T) {
	is := is.New(t)
	w, handler := newWorld(t, outcome{status: http.StatusOK}, outcome{refused: refusal.New(refusal.QueueFull, refusal.NotRun)})
	answer := handler.Serve(context.Background(), request(http.MethodGet, "/catalogue/", ""))
	is.Equal(answer.Status, http.StatusOK)
	// An answer of 100 KB has a second on this link.
	is.Equal(w.link.Wait(), time.Second)
	offers := len(w.calls)
	another, booked := w.link.Book(0, time.Hour)
	is.True(booked)
	refused := handler.Serve(context.Background(), request(http.MethodGet, "/catalogue/", ""))
	is.Equal(refused.Status, http.StatusServiceUnavailable)
	is.Equal(len(w.calls), offers)
	is.Equal(handler.Serve(context.Background(), request(http.MethodGet, "/orders/", "")).Status, http.StatusServiceUnavailable)
	is.True(len(w.calls) > offers)
	another.Close()
	answer.Booking.Close()
	is.Equal(handler.Serve(context.Background(), request(http.MethodGet, "/catalogue/", "")).Status, http.StatusServiceUnavailable)
	is.Equal(w.link.Wait(), time.Duration(0))
}

// Guards against a start, or a restart of half the fleet, in which clients are
// refused and come back although the configuration arrives a moment later; and
// against a wait that takes the client's whole time.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	w, _ := newWorld(t, outcome{status: http.StatusOK})
	table := w.table
	w.table, w.configured = nil, make(chan struct{})
	handler := w.handler()
	began := time.Now()
	is.Equal(handler.Serve(context.Background(), request(http.MethodGet, "/stock/", "")).Status, http.StatusServiceUnavailable)
	// The clients of these tests wait for a second.
	is.True(time.Since(began) < 500*time.Millisecond)
	time.AfterFunc(20*time.Millisecond, func() {
		w.tableMu.Lock()
		w.table = table
		w.tableMu.Unlock()
		close(w.configured)
	})
	is.Equal(handler.Serve(context.Background(), request(http.MethodGet, "/stock/", "")).Status, http.StatusOK)
}
