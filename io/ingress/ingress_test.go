package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
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
	"marjoramsaddle/core/shutdown"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/relay"
)

// outcome is the result of one attempt: a status or a refusal.
type outcome struct {
	status  int
	refused *refusal.Error
}

// environment implements the dependencies of a Handler. Its attempts end with the
// outcomes in turn, and the last one repeats.
type environment struct {
	outcomes         []outcome
	calls            []relay.Call
	attemptedServers []backend.ID
	records          []Record
	budget           *retry.FleetBudget
	tableMu          sync.Mutex
	table            *route.Table
	// configured is closed when the table is set. If nil, it is never closed.
	configured chan struct{}
	link       *link.Link
	// behind is returned by Options.Behind, and awaitCurrent is Options.AwaitCurrent
	// unless it is nil.
	behind       time.Duration
	awaitCurrent func(ctx context.Context)
	// admit is Options.Admit unless it is nil.
	admit func(work shutdown.Work) (id.Instant, bool)
	// rateLimited is set in all choices.
	rateLimited bool
	// parent is the request of the local backend server that makes all requests, or nil.
	parent ParentRequest
}

func (e *environment) RequestID(header http.Header) string { return header.Get("Id") }

func (e *environment) ClientTimeout(http.Header) (time.Duration, bool) { return time.Second, true }

func (e *environment) SetCaller(header http.Header, service id.Service) {
	header.Set("Caller", string(service))
}

func (e *environment) Choose(request placement.Request) (placement.Choice, bool) {
	for _, name := range []backend.ID{"a", "b", "c", "d", "e", "f"} {
		excluded := false
		for _, other := range request.Exclude {
			excluded = excluded || other == name
		}
		if !excluded {
			return placement.Choice{Server: backend.Server{ID: name}, RateLimited: e.rateLimited}, true
		}
	}
	return placement.Choice{}, false
}

func (e *environment) Started(backend.ID, id.Instant) {}

func (e *environment) RefusedCold(backend.ID, id.Instant, id.Instant) {}

func (e *environment) Finished(backend.ID, placement.Result, id.Instant) {}

func (e *environment) Do(_ context.Context, server *backend.Server, call relay.Call, _ *http1.Request) (*http1.Response, *refusal.Error) {
	e.calls = append(e.calls, call)
	e.attemptedServers = append(e.attemptedServers, server.ID)
	next := e.outcomes[min(len(e.calls), len(e.outcomes))-1]
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

func (e *environment) Done(record *Record) { e.records = append(e.records, *record) }

func (e *environment) Retry(refusal.Reason) {}

// parentRequest is a ParentRequest that counts the calls refused on its behalf.
type parentRequest struct{ refused int }

func (p *parentRequest) CallRefused() { p.refused++ }

func (p *parentRequest) RecordCall(id.Service) {}

// statusCallRefused stands for a 500 response because a call was refused.
const statusCallRefused = -1

func newEnvironment(t *testing.T, outcomes ...outcome) (*environment, *Handler) {
	t.Helper()
	parts := []route.Part{{Service: "counter", Weight: 1}}
	table, err := route.NewTable(route.Configuration{
		Version: 3, Services: map[id.Service]route.Service{"counter": {}},
		Limits: route.Limits{BodyBytes: 10},
		Routes: []route.Route{
			{Name: "orders", Host: "shop", Prefix: "/orders/", Attempts: 2, Timeout: 300 * time.Millisecond, Parts: parts},
			{
				Name: "catalogue", Host: "shop", Prefix: "/catalogue/", Attempts: 2, Timeout: 4 * time.Second,
				Aim: time.Second, Idempotent: true, Large: true, Parts: parts,
			},
			{Name: "stock", Host: "shop", Prefix: "/stock/", Attempts: 2, Timeout: 300 * time.Millisecond, Idempotent: true, Parts: parts},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	e := &environment{outcomes: outcomes, link: link.New(100_000), table: table, budget: newBudget(1)}
	return e, e.handler()
}

func (e *environment) handler() *Handler {
	start := time.Now()
	return New(Options{
		Service: func() id.Service { return "depot" }, HeaderCodec: e, Chooser: e, Sender: e, Recorder: e,
		Table: func() *route.Table {
			e.tableMu.Lock()
			defer e.tableMu.Unlock()
			return e.table
		},
		Configured: e.configured,
		Behind: func() time.Duration {
			e.tableMu.Lock()
			defer e.tableMu.Unlock()
			return e.behind
		},
		AwaitCurrent: func(ctx context.Context) {
			if e.awaitCurrent != nil {
				e.awaitCurrent(ctx)
			}
		},
		RetryBudget: e.budget,
		Admit: func(work shutdown.Work) (id.Instant, bool) {
			if e.admit == nil {
				return work.Deadline, true
			}
			return e.admit(work)
		},
		ParentOf: func(string) ParentRequest { return e.parent },
		Local:    func() backend.ID { return "" },
		Link:     e.link,
		Now:      func() id.Instant { return id.Instant(time.Hour + time.Since(start)) },
	})
}

// newBudget returns the retry budget of the only daemon in a fleet.
func newBudget(ratio float64) *retry.FleetBudget {
	return retry.NewFleetBudget(func() retry.FleetLimits { return retry.FleetLimits{Ratio: ratio, Slack: 10, Daemons: 1} })
}

func newRequest(method, target string, body string) *http.Request {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	r.Host = "shop"
	return r
}

// Guards against requests that run twice, statuses that wrongly state that a
// request has not run, and failures that another backend server would have avoided.
func TestAttempts(t *testing.T) {
	refused := func(reason refusal.Reason, known refusal.Outcome) outcome {
		return outcome{refused: refusal.New(reason, known)}
	}
	full := refused(refusal.QueueFull, refusal.NotRun)
	cold := refused(refusal.ServerCold, refusal.NotRun)
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
		{"full everywhere", "/orders/", []outcome{full}, 503, maxAttempts},
		{"cold everywhere", "/orders/", []outcome{cold}, 503, maxAttempts},
		{"cold, then served", "/orders/", []outcome{cold, cold, cold, served}, 200, 4},
		{"shed, then served", "/orders/", []outcome{shed, served}, 200, 2},
		{"shed twice", "/orders/", []outcome{shed, shed, served}, 503, 2},
		{"order lost", "/orders/", []outcome{lost, served}, 502, 1},
		{"lookup lost once", "/stock/", []outcome{lost, served}, 200, 2},
		{"lookup lost twice", "/stock/", []outcome{lost, lost, served}, 502, 2},
		{"lookup lost, then full", "/stock/", []outcome{lost, full}, 502, maxAttempts},
		{"lookup failed once", "/stock/", []outcome{failed, served}, 200, 2},
		{"lookup failed, then lost", "/stock/", []outcome{failed, lost}, 500, 2},
		{"order failed", "/orders/", []outcome{failed, served}, 500, 1},
		{"order with a promise of the server", "/orders/", []outcome{{status: 503}, served}, 502, 1},
		{"lookup with a promise of the server", "/stock/", []outcome{{status: 429}, served}, 429, 1},
		{"call refused", "/stock/", []outcome{{status: statusCallRefused}, served}, 500, 1},
		{"late", "/stock/", []outcome{refused(refusal.DeadlinePassed, refusal.Unknown), served}, 504, 1},
		{"late, not run", "/stock/", []outcome{refused(refusal.DeadlinePassed, refusal.NotRun), served}, 503, 1},
		{"not reached", "/orders/", []outcome{refused(refusal.ConnectFailed, refusal.NotRun), served}, 200, 2},
		{"no route", "/nowhere/", []outcome{served}, 404, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e, handler := newEnvironment(t, test.outcomes...)
			response := handler.Serve(context.Background(), newRequest(http.MethodGet, test.path, ""))
			is.Equal(response.Status, test.status)
			is.Equal(len(e.calls), test.offers)
			is.Equal(response.Header.Get("Retry-After") != "", test.status == http.StatusServiceUnavailable)
			is.Equal(len(e.records), 1)
			is.Equal(e.records[0].Status, test.status)
			// A request without a route has no deadline, so Left stays zero.
			is.True(e.records[0].Left > -time.Minute)
		})
	}
}

// Guards against many times the messages when all servers are cold, against requests that
// a cold server refuses because they may not wait, and against a time to retry at which
// no server has capacity.
func TestColdServersAreWaitedFor(t *testing.T) {
	is := is.New(t)
	cold := func(after time.Duration) outcome {
		return outcome{refused: &refusal.Error{Reason: refusal.ServerCold, Outcome: refusal.NotRun, RetryAfter: after}}
	}
	e, handler := newEnvironment(t, cold(900*time.Millisecond), cold(800*time.Millisecond))
	e.rateLimited = true
	response := handler.Serve(context.Background(), newRequest(http.MethodGet, "/orders/", ""))
	is.Equal(len(e.calls), maxColdRefusals)
	for _, call := range e.calls {
		is.True(!call.NoWait)
		is.True(!call.OfRequest)
	}
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds >= 0.8 && seconds <= 1.6)
}

// Guards against unlimited retries while all backend servers fail.
func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	e, _ := newEnvironment(t, outcome{refused: refusal.New(refusal.BackendBroken, refusal.Unknown)})
	e.budget = newBudget(0.1)
	handler := e.handler()
	const requests = 200
	for range requests {
		handler.Serve(context.Background(), newRequest(http.MethodGet, "/stock/", ""))
	}
	// A tenth of the requests, and the five retries that the budget accumulates.
	is.True(len(e.calls) <= requests+requests/10+5)
}

// Guards against a response to a client that has disconnected, and against bodies
// over the limit that reach a backend server.
func TestClientDisconnectAndOversizedBody(t *testing.T) {
	is := is.New(t)
	_, handler := newEnvironment(t, outcome{refused: refusal.New(refusal.CallerGone, refusal.Unknown)})
	is.True(handler.Serve(context.Background(), newRequest(http.MethodGet, "/stock/", "")) == nil)
	e, handler := newEnvironment(t, outcome{status: 200})
	is.Equal(handler.Serve(context.Background(), newRequest(http.MethodPost, "/orders/", "more than ten")).Status, http.StatusRequestEntityTooLarge)
	is.Equal(len(e.calls), 0)
	e.table = nil
	is.Equal(handler.Serve(context.Background(), newRequest(http.MethodPost, "/orders/", "")).Status, http.StatusServiceUnavailable)
}

// Guards against large responses that are fetched over the network and then wait
// for this host's link. Their requests are refused at once with a Retry-After, and
// their booking is released when no backend server responds.
func TestLargeResponsesReserveTheLocalLink(t *testing.T) {
	is := is.New(t)
	e, handler := newEnvironment(t, outcome{status: http.StatusOK}, outcome{refused: refusal.New(refusal.QueueFull, refusal.NotRun)})
	response := handler.Serve(context.Background(), newRequest(http.MethodGet, "/catalogue/", ""))
	is.Equal(response.Status, http.StatusOK)
	// A response of 100 KB takes a second on this link.
	is.Equal(e.link.Wait(), time.Second)
	attempts := len(e.calls)
	another, booked := e.link.Book(0, time.Hour)
	is.True(booked)
	refused := handler.Serve(context.Background(), newRequest(http.MethodGet, "/catalogue/", ""))
	is.Equal(refused.Status, http.StatusServiceUnavailable)
	is.Equal(len(e.calls), attempts)
	is.Equal(handler.Serve(context.Background(), newRequest(http.MethodGet, "/orders/", "")).Status, http.StatusServiceUnavailable)
	is.True(len(e.calls) > attempts)
	another.Close()
	response.Booking.Close()
	is.Equal(handler.Serve(context.Background(), newRequest(http.MethodGet, "/catalogue/", "")).Status, http.StatusServiceUnavailable)
	is.Equal(e.link.Wait(), time.Duration(0))
}

// Guards against refusing requests just after a start, or a restart of half the
// fleet, when the configuration arrives a moment later; and against a wait that
// uses up the client's timeout.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	e, _ := newEnvironment(t, outcome{status: http.StatusOK})
	table := e.table
	e.table, e.configured = nil, make(chan struct{})
	handler := e.handler()
	start := time.Now()
	is.Equal(handler.Serve(context.Background(), newRequest(http.MethodGet, "/stock/", "")).Status, http.StatusServiceUnavailable)
	// The client timeout is one second in these tests.
	is.True(time.Since(start) < 500*time.Millisecond)
	time.AfterFunc(20*time.Millisecond, func() {
		e.tableMu.Lock()
		e.table = table
		e.tableMu.Unlock()
		close(e.configured)
	})
	is.Equal(handler.Serve(context.Background(), newRequest(http.MethodGet, "/stock/", "")).Status, http.StatusOK)
}

// Guards against a 404 for a route that a newer version adds, by a daemon that knows of
// a newer state of the store. It waits for that state, and if it does not come, says
// that the request has not run. A daemon that is current answers 404 at once.
func TestUnknownRouteWhileBehind(t *testing.T) {
	is := is.New(t)
	e, handler := newEnvironment(t, outcome{status: http.StatusOK})
	e.awaitCurrent = func(ctx context.Context) { <-ctx.Done() }
	is.Equal(handler.Serve(context.Background(), newRequest(http.MethodGet, "/added/", "")).Status, http.StatusNotFound)
	e.behind = time.Millisecond
	start := time.Now()
	response := handler.Serve(context.Background(), newRequest(http.MethodGet, "/added/", ""))
	is.Equal(response.Status, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
	is.Equal(e.records[1].Refused.Reason, refusal.Resyncing)
	is.True(time.Since(start) < time.Second)
	is.Equal(len(e.calls), 0)

	newer := route.Route{Name: "added", Host: "shop", Prefix: "/added/", Attempts: 1, Parts: []route.Part{{Service: "counter", Weight: 1}}}
	table, err := route.NewTable(route.Configuration{
		Version: 4, Services: map[id.Service]route.Service{"counter": {}}, Routes: []route.Route{newer},
	})
	is.NoErr(err)
	e.awaitCurrent = func(context.Context) {
		e.tableMu.Lock()
		defer e.tableMu.Unlock()
		e.table, e.behind = table, 0
	}
	is.Equal(handler.Serve(context.Background(), newRequest(http.MethodGet, "/added/", "")).Status, http.StatusOK)
	is.Equal(e.records[2].Version, id.Version(4))
	is.Equal(handler.Serve(context.Background(), newRequest(http.MethodGet, "/never/", "")).Status, http.StatusNotFound)
}

// Guards against orders that a stopping daemon accepts shortly before its end and cannot
// finish: it refuses them as not run and closes the connection, so that they are sent to
// another daemon. Requests that can end in time are still served.
func TestStoppingDaemonRefusesWhatItCannotFinish(t *testing.T) {
	is := is.New(t)
	e, handler := newEnvironment(t, outcome{status: http.StatusOK})
	e.admit = func(work shutdown.Work) (id.Instant, bool) {
		return work.Deadline, work.Deadline.Sub(work.Arrived) <= 310*time.Millisecond
	}
	// Their routes' timeouts are 0.3 and 4 s; the client waits for a second.
	is.Equal(handler.Serve(context.Background(), newRequest(http.MethodPost, "/orders/", "")).Status, http.StatusOK)
	refused := handler.Serve(context.Background(), newRequest(http.MethodGet, "/catalogue/", ""))
	is.Equal(refused.Status, http.StatusServiceUnavailable)
	is.Equal(refused.Header.Get("Connection"), "close")
	is.True(refused.Header.Get("Retry-After") != "")
	is.Equal(e.records[1].Refused.Reason, refusal.Leaving)
	is.Equal(len(e.calls), 1)
}

// Guards against calls that a stopping daemon takes like those of a running one, and
// against attempts that it begins although it has been stopped since the first.
func TestStoppingDaemonChecksCallsAndAttempts(t *testing.T) {
	is := is.New(t)
	e, handler := newEnvironment(t, outcome{refused: refusal.New(refusal.ConnectFailed, refusal.NotRun)})
	parent := &parentRequest{}
	e.parent = parent
	var checked []shutdown.Work
	e.admit = func(work shutdown.Work) (id.Instant, bool) {
		checked = append(checked, work)
		return work.Deadline.Add(-100 * time.Millisecond), len(checked) < 3
	}
	response := handler.Serve(context.Background(), newRequest(http.MethodPost, "/orders/", ""))
	is.Equal(response.Status, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("Connection"), "close")
	is.Equal(e.records[0].Refused.Reason, refusal.Leaving)
	is.Equal(len(e.calls), 1)
	is.Equal(parent.refused, 1)
	// On arrival and before each of two attempts.
	is.Equal(len(checked), 3)
	// A deadline that was set earlier holds for what follows.
	is.Equal(e.calls[0].Left.Round(100*time.Millisecond), 100*time.Millisecond)
	is.Equal(checked[2].Deadline, checked[0].Deadline.Add(-200*time.Millisecond))
	is.Equal(checked[2].Arrived, checked[0].Arrived)
	is.Equal(checked[0].Origin, shutdown.Call)
	is.Equal(checked[0].Deadline.Sub(checked[0].Arrived), 300*time.Millisecond)
}
