// Package ingress accepts the requests of the clients and of the backend server
// on this host and brings each one its whole answer: it finds the route,
// chooses a backend server, sends the request to the daemon beside it, and
// tries another where that is safe and useful.
//
// Usage:
//
//	handler := ingress.New(ingress.Options{...})
//	server := http1.NewServer(http1.ServerOptions{Handler: handler.Serve, ...})
package ingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"marjoramsaddle/core/admission"
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

const (
	// answerGrace is how long after its deadline a request waits for an answer
	// that is on its way, such as the backend server's own.
	answerGrace = 80 * time.Millisecond
	// defaultPatience bounds a request for which neither client nor route says
	// how long it may take.
	defaultPatience = 10 * time.Second
	// startWait and startShare bound the wait for the first configuration, the
	// second as a share of the client's patience. A start on a small host takes
	// some hundred milliseconds; the rest of the time is for the request itself.
	startWait  = time.Second
	startShare = 0.2
)

// HeaderCodec reads and writes the headers that clients and backend servers speak.
type HeaderCodec interface {
	RequestID(header http.Header) string
	ClientTimeout(header http.Header) (time.Duration, bool)
	SetCaller(header http.Header, service id.Service)
}

// Sender hands a request to the daemon beside a backend server.
type Sender interface {
	Do(ctx context.Context, server *backend.Server, call relay.Call, request *http1.Request) (*http1.Response, *refusal.Error)
}

// Chooser picks the backend server of an attempt and learns from its result.
type Chooser interface {
	Choose(request placement.Request) (placement.Choice, bool)
	Started(server backend.ID, now id.Instant)
	Finished(server backend.ID, result placement.Result, now id.Instant)
}

// ParentRequest is a request that the backend server of this host works on.
type ParentRequest interface {
	CallRefused()
	RecordCall(service id.Service)
}

// RetryBudget bounds the requests that are sent to a further backend server.
type RetryBudget interface {
	RecordFirstAttempt(service id.Service, call bool)
	Take(service id.Service, route string, rank int) bool
	ChargeCalls(route string, calls map[id.Service]int)
	RecordCalls(route string, calls map[id.Service]int)
}

// Recorder counts and logs requests.
type Recorder interface {
	Done(record *Record)
	Retry(reason refusal.Reason)
}

// Options of a Handler.
type Options struct {
	// Service returns the service of the backend server on this host.
	Service     func() id.Service
	HeaderCodec HeaderCodec
	Chooser     Chooser
	Sender      Sender
	// Table returns the configuration in force, or nil.
	Table func() *route.Table
	// Configured is closed once there is one.
	Configured  <-chan struct{}
	RetryBudget RetryBudget
	Recorder    Recorder
	// Link is the account of the long answers of this host.
	Link *link.Link
	// Local returns the backend server of this host, if it is listed.
	Local func() backend.ID
	// ParentOf returns the run on this host that makes the request, or nil.
	ParentOf func(requestID string) ParentRequest
	Now      func() id.Instant
}

// Handler accepts requests.
type Handler struct{ options Options }

// New returns a handler.
func New(options Options) *Handler { return &Handler{options: options} }

// Record is what is known of a request at its end.
type Record struct {
	RequestID string
	Route     string
	Service   id.Service
	Version   id.Version
	// Server is the backend server of the last attempt.
	Server   backend.ID
	Attempts int
	// Arrivals counts the attempts that reached a backend server.
	Arrivals int
	Status   int
	Refused  *refusal.Error
	Elapsed  time.Duration
	Left     time.Duration
	Internal bool
	Expected time.Duration
}

// job is one request on its way.
type job struct {
	route    *route.ActiveRoute
	service  id.Service
	request  *http1.Request
	arrived  id.Instant
	deadline id.Instant
	// run makes this request; nil for a request of a client.
	run ParentRequest
	// booking is the part of this host's link that a long answer needs.
	booking *link.Booking
	record  Record
	exclude []backend.ID
}

// Serve returns the answer to one request, or nil for a client that has left.
func (h *Handler) Serve(ctx context.Context, r *http.Request) *http1.Response {
	j := &job{arrived: h.options.Now()}
	j.record.RequestID = h.options.HeaderCodec.RequestID(r.Header)
	j.run = h.options.ParentOf(j.record.RequestID)
	j.record.Internal = j.run != nil
	whole := false
	defer func() {
		if !whole {
			// A panic leaves here; the link's account must not keep the booking.
			j.booking.Close()
		}
	}()
	answer, refused := h.serve(ctx, r, j)
	whole = true
	j.record.Refused = refused
	j.record.Elapsed = h.options.Now().Sub(j.arrived)
	if j.route != nil {
		j.record.Left = j.deadline.Sub(h.options.Now())
	}
	if refused != nil {
		j.booking.Close()
	}
	switch {
	case refused == nil:
		answer.Booking = j.booking
		j.record.Status = answer.Status
		answer.Header = relay.Forwardable(answer.Header)
		relay.StripInternalHeaders(answer.Header)
	case refused.Reason == refusal.CallerGone:
	default:
		if j.run != nil {
			j.run.CallRefused()
		}
		answer = h.refuse(j, refused)
	}
	h.options.Recorder.Done(&j.record)
	return answer
}

func (h *Handler) serve(ctx context.Context, r *http.Request, j *job) (*http1.Response, *refusal.Error) {
	table := h.table(ctx, r)
	if table == nil {
		return nil, refusal.New(refusal.NoConfiguration, refusal.NotRun)
	}
	j.record.Version = table.Version
	j.route = table.Find(r.Host, r.URL.Path)
	if j.route == nil {
		return nil, refusal.New(refusal.NoRoute, refusal.NotRun)
	}
	h.plan(r, j)
	if limit := table.Limits.BodyBytes; limit > 0 && r.ContentLength > limit {
		return nil, refusal.New(refusal.BodyTooLarge, refusal.NotRun)
	}
	request, refused := relay.NewRequest(r)
	if refused != nil {
		if ctx.Err() != nil {
			return nil, refusal.New(refusal.CallerGone, refusal.NotRun)
		}
		return nil, refused
	}
	h.options.HeaderCodec.SetCaller(request.Header, h.options.Service())
	j.request = request
	if refused := h.book(j); refused != nil {
		return nil, refused
	}
	ctx, cancel := context.WithTimeout(ctx, j.deadline.Sub(h.options.Now())+answerGrace)
	defer cancel()
	return h.attempts(ctx, j)
}

// table returns the configuration in force. A daemon that has just started has
// none for a moment, in which requests wait: they are served sooner than if they
// were sent away to come back.
func (h *Handler) table(ctx context.Context, r *http.Request) *route.Table {
	if table := h.options.Table(); table != nil {
		return table
	}
	patience, known := h.options.HeaderCodec.ClientTimeout(r.Header)
	if !known {
		patience = defaultPatience
	}
	ctx, cancel := context.WithTimeout(ctx, min(startWait, time.Duration(startShare*float64(patience))))
	defer cancel()
	select {
	case <-h.options.Configured:
	case <-ctx.Done():
	}
	return h.options.Table()
}

// plan sets what the route and the client say about the request.
func (h *Handler) plan(r *http.Request, j *job) {
	patience, known := h.options.HeaderCodec.ClientTimeout(r.Header)
	if !known {
		patience = defaultPatience
	}
	if timeout := j.route.Timeout; timeout > 0 {
		patience = min(patience, timeout)
	}
	j.deadline = j.arrived.Add(patience)
	j.service = j.route.NextService()
	j.record.Route, j.record.Service = j.route.Name, j.service
}

// book makes room on this host's link for a long answer. A client is refused at
// once when its answer would have to wait here after the whole way.
func (h *Handler) book(j *job) *refusal.Error {
	if !j.route.Large {
		return nil
	}
	transfer := h.options.Link.TransferTime()
	wait := admission.Wait{Aim: j.route.Aim, Left: j.deadline.Sub(j.arrived), Service: transfer}
	booking, booked := h.options.Link.Book(transfer, wait.Longest())
	if !booked {
		j.record.Expected = h.options.Link.Wait()
		return refusal.New(refusal.LinkBusy, refusal.NotRun)
	}
	j.booking = booking
	return nil
}

// restartTime is how long a daemon takes to be back after its end.
const restartTime = time.Second

// RefuseLeaving refuses a request because this daemon is about to end.
func (h *Handler) RefuseLeaving(r *http.Request) *http1.Response {
	j := &job{arrived: h.options.Now()}
	j.record.RequestID = h.options.HeaderCodec.RequestID(r.Header)
	j.record.Refused = refusal.New(refusal.Leaving, refusal.NotRun)
	j.record.Expected = restartTime
	answer := h.refuse(j, j.record.Refused)
	answer.Header.Set("Connection", "close")
	h.options.Recorder.Done(&j.record)
	return answer
}

// refuse answers a request that has no answer of a backend server. The status
// 503 promises that the request has not run.
func (h *Handler) refuse(j *job, refused *refusal.Error) *http1.Response {
	header := http.Header{}
	status := http.StatusBadGateway
	switch {
	case refused.Reason == refusal.NoRoute:
		status = http.StatusNotFound
	case refused.Reason == refusal.BodyTooLarge:
		status = http.StatusRequestEntityTooLarge
	case refused.Reason == refusal.BadRequest:
		status = http.StatusBadRequest
	case refused.Outcome == refusal.NotRun:
		status = http.StatusServiceUnavailable
		after := retry.After(j.record.Expected, rand.Uint64())
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	case refused.Reason == refusal.DeadlinePassed:
		status = http.StatusGatewayTimeout
	}
	j.record.Status = status
	return &http1.Response{Status: status, Header: header}
}
