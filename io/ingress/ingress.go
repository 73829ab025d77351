// Package ingress handles requests from clients and from the backend server on
// this host. For each one it finds the route, chooses a backend server, sends the
// request to the daemon on that server's host, and retries on another server
// where that is safe and the retry budget allows it. Responses are forwarded
// only when complete. A refusal with status 503 guarantees that the request has
// not run.
//
// # Usage
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
	"marjoramsaddle/core/latency"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/retry"
	"marjoramsaddle/core/route"
	"marjoramsaddle/core/shutdown"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/relay"
)

const (
	// responseGrace is how long after its deadline a request still waits for a
	// response in transit, such as the backend server's own timeout response.
	responseGrace = 80 * time.Millisecond
	// defaultTimeout applies to requests for which neither the client nor the route
	// sets a timeout.
	defaultTimeout = 10 * time.Second
	// maxConfigurationWait and configurationWaitShare limit the wait for the first
	// configuration, the latter as a fraction of the client's timeout. Starting on a
	// small host takes a few hundred milliseconds; the remaining time is for the
	// request itself.
	maxConfigurationWait   = time.Second
	configurationWaitShare = 0.2
	// maxCurrentWait limits the wait for a newer configuration that may have the route
	// of a request. Most daemons that are behind catch up within tens of milliseconds,
	// and those whose peer is silent ask another one after a quarter of a second.
	maxCurrentWait = 300 * time.Millisecond
)

// HeaderCodec reads and writes the headers that the platform defines for clients
// and backend servers.
type HeaderCodec interface {
	RequestID(header http.Header) string
	ClientTimeout(header http.Header) (time.Duration, bool)
	SetCaller(header http.Header, service id.Service)
}

// Sender sends a request to the daemon on the host of a backend server.
type Sender interface {
	Do(ctx context.Context, server *backend.Server, call relay.Call, request *http1.Request) (*http1.Response, *refusal.Error)
}

// Chooser chooses the backend server of an attempt and learns from its result.
type Chooser interface {
	// Choose returns false if no backend server of the service is available.
	Choose(request placement.Request) (placement.Choice, bool)
	// Started and Finished are called at the start and the end of an attempt.
	Started(server backend.ID, now id.Instant)
	Finished(server backend.ID, result placement.Result, now id.Instant)
	// RefusedCold is called when a cold server has no capacity until the given instant.
	RefusedCold(server backend.ID, until, now id.Instant)
}

// ParentRequest is a request in progress at the local backend server, which may send
// further requests while it handles it.
type ParentRequest interface {
	// CallRefused records that a request made on its behalf was refused.
	CallRefused()
	// RecordCall counts a request made on its behalf.
	RecordCall(service id.Service)
}

// RetryBudget limits the retries on other backend servers.
type RetryBudget interface {
	// RecordFirstAttempt records a request that is not a retry. If isCall is set, the
	// local backend server sent it on behalf of another request.
	RecordFirstAttempt(service id.Service, isCall bool)
	// Take takes one retry from the budget. It returns false if none is left.
	Take(service id.Service, route string, rank int) bool
	// ChargeCalls charges the calls that a retry has caused. If calls is nil, they are
	// unknown, and the mean of the route is charged.
	ChargeCalls(route string, calls map[id.Service]int)
	// RecordCalls records the calls that a request of the route has caused.
	RecordCalls(route string, calls map[id.Service]int)
}

// Recorder counts and logs finished requests and retries.
type Recorder interface {
	// Done is called once for each request.
	Done(record *Record)
	// Retry is called after each failed attempt that may be retried.
	Retry(reason refusal.Reason)
}

// Options configures a Handler.
type Options struct {
	// Service returns the service of the local backend server.
	Service     func() id.Service
	HeaderCodec HeaderCodec
	Chooser     Chooser
	Sender      Sender
	// Table returns the configuration in force, or nil before there is one.
	Table func() *route.Table
	// Behind returns how long the daemon has known that a newer state of the store than
	// its own exists, or zero.
	Behind func() time.Duration
	// AwaitCurrent waits until Behind is zero and Table returns the configuration of
	// that state, or the context ends.
	AwaitCurrent func(ctx context.Context)
	// Configured is closed once Table returns a configuration.
	Configured  <-chan struct{}
	RetryBudget RetryBudget
	Recorder    Recorder
	// Admit reports whether a request may begin while this process is stopping, and
	// returns its deadline.
	Admit func(work shutdown.Work) (id.Instant, bool)
	// Link schedules large responses on this host's network link.
	Link *link.Link
	// Local returns the ID of the local backend server, or "" if it is not listed.
	Local func() backend.ID
	// ParentOf returns the local request on whose behalf the given one is made, or
	// nil for a client's request.
	ParentOf func(requestID string) ParentRequest
	Now      func() id.Instant
}

// Handler serves the requests of clients and of the local backend server.
type Handler struct {
	options Options
	// latencies holds how long the requests of each route take.
	latencies *latency.Table
}

// New returns a Handler with the given options.
func New(options Options) *Handler {
	return &Handler{options: options, latencies: latency.NewTable()}
}

// Record describes a finished request for logs and metrics.
type Record struct {
	RequestID string
	Route     string
	Service   id.Service
	Version   id.Version
	// Server is the backend server of the last attempt.
	Server backend.ID
	// Attempts is the number of attempts for which a backend server was chosen.
	Attempts int
	// Arrivals is the number of attempts that may have reached a backend server, at
	// most Attempts.
	Arrivals int
	Status   int
	// Refused is nil if a backend server responded.
	Refused *refusal.Error
	Elapsed time.Duration
	// Left is the time to the deadline at the end; negative if it has passed.
	Left time.Duration
	// Internal reports whether the local backend server made the request.
	Internal bool
	// Behind is how long the daemon had known, at the start of the request, that a newer
	// state of the store than its own exists.
	Behind time.Duration
	// Expected is the expected time until a response, from which Retry-After is
	// calculated.
	Expected time.Duration
}

// job is a request in progress.
type job struct {
	route    *route.ActiveRoute
	service  id.Service
	request  *http1.Request
	arrived  id.Instant
	deadline id.Instant
	// parent is the local request on whose behalf this one is made, or nil for a
	// client's request.
	parent ParentRequest
	// booking reserves time on this host's link for a large response, or is nil.
	booking *link.Booking
	record  Record
	// leaving is set if this daemon refuses the request because it is shutting down. The
	// connection is then closed, so that the client connects to another daemon.
	leaving bool
	// exclude lists the backend servers that are not tried again.
	exclude []backend.ID
	// coldRefusals counts the cold backend servers that have refused to queue the request,
	// and retryAfter is the time until the first of them has capacity.
	coldRefusals int
	retryAfter   time.Duration
	// coldEverywhere is set once only cold servers remain that would refuse it, too.
	coldEverywhere bool
}

// origin returns where the request comes from.
func (j *job) origin() shutdown.Origin {
	if j.parent != nil {
		return shutdown.Call
	}
	return shutdown.Client
}

// Serve returns the response to the request, or nil if the client has disconnected.
// It implements http1.Handler.
func (h *Handler) Serve(ctx context.Context, r *http.Request) *http1.Response {
	j := &job{arrived: h.options.Now()}
	j.record.Behind = h.options.Behind()
	j.record.RequestID = h.options.HeaderCodec.RequestID(r.Header)
	j.parent = h.options.ParentOf(j.record.RequestID)
	j.record.Internal = j.parent != nil
	completed := false
	defer func() {
		if !completed {
			// A panic must not leave the link booked.
			j.booking.Close()
		}
	}()
	response, refused := h.process(ctx, r, j)
	completed = true
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
		if response.Status < http.StatusInternalServerError {
			h.latencies.Record(j.route.Name, j.record.Elapsed)
		}
		response.Booking = j.booking
		j.record.Status = response.Status
		response.Header = relay.Forwardable(response.Header)
		relay.StripInternalHeaders(response.Header)
	case refused.Reason == refusal.CallerGone:
	default:
		if j.parent != nil {
			j.parent.CallRefused()
		}
		response = h.refusalResponse(j, refused)
	}
	h.options.Recorder.Done(&j.record)
	return response
}

// process finds the route of the request, prepares the request and sends it.
func (h *Handler) process(ctx context.Context, r *http.Request, j *job) (*http1.Response, *refusal.Error) {
	table := h.table(ctx, r)
	if table == nil {
		return nil, refusal.New(refusal.NoConfiguration, refusal.NotRun)
	}
	table, refused := h.findRoute(ctx, r, j, table)
	if refused != nil {
		return nil, refused
	}
	h.applyRoute(r, j)
	if refused := h.checkStopping(j); refused != nil {
		return nil, refused
	}
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
	if refused := h.reserveLink(j); refused != nil {
		return nil, refused
	}
	ctx, cancel := context.WithTimeout(ctx, j.deadline.Sub(h.options.Now())+responseGrace)
	defer cancel()
	return h.sendWithRetries(ctx, j)
}

// checkStopping returns a refusal if this process is stopping and cannot finish the
// request. It may set an earlier deadline.
func (h *Handler) checkStopping(j *job) *refusal.Error {
	work := shutdown.Work{Origin: j.origin(), Arrived: j.arrived, Deadline: j.deadline, Expected: h.latencies.Mean(j.route.Name)}
	if deadline, admitted := h.options.Admit(work); admitted {
		j.deadline = deadline
		return nil
	}
	j.leaving = true
	j.record.Expected = expectedRestartTime
	return refusal.New(refusal.Leaving, refusal.NotRun)
}

// table returns the configuration in force, or nil. Just after the daemon has
// started there is none; requests then wait for it, which serves them sooner than
// a refusal and a retry by the client.
func (h *Handler) table(ctx context.Context, r *http.Request) *route.Table {
	if table := h.options.Table(); table != nil {
		return table
	}
	ctx, cancel := context.WithTimeout(ctx, min(maxConfigurationWait, h.configurationWait(r)))
	defer cancel()
	select {
	case <-h.options.Configured:
	case <-ctx.Done():
	}
	return h.options.Table()
}

// findRoute finds the route of the request and returns the configuration that has it. A
// daemon that knows of a newer state of the store cannot tell that a route does not
// exist: it waits for that state, and refuses the request as not run if it takes long.
func (h *Handler) findRoute(ctx context.Context, r *http.Request, j *job, table *route.Table) (*route.Table, *refusal.Error) {
	find := func() bool {
		j.record.Version = table.Version
		j.route = table.Find(r.Host, r.URL.Path)
		return j.route != nil
	}
	if find() {
		return table, nil
	}
	if h.options.Behind() > 0 {
		waitCtx, cancel := context.WithTimeout(ctx, min(maxCurrentWait, h.configurationWait(r)))
		defer cancel()
		h.options.AwaitCurrent(waitCtx)
		table = h.options.Table()
		if find() {
			return table, nil
		}
		if h.options.Behind() > 0 {
			j.record.Expected = maxCurrentWait
			return nil, refusal.New(refusal.Resyncing, refusal.NotRun)
		}
	}
	return nil, refusal.New(refusal.NoRoute, refusal.NotRun)
}

// configurationWait returns how long a request may wait for a configuration.
func (h *Handler) configurationWait(r *http.Request) time.Duration {
	timeout, found := h.options.HeaderCodec.ClientTimeout(r.Header)
	if !found {
		timeout = defaultTimeout
	}
	return time.Duration(configurationWaitShare * float64(timeout))
}

// applyRoute sets the deadline and the service of the request from its route and
// the client's timeout.
func (h *Handler) applyRoute(r *http.Request, j *job) {
	timeLimit, found := h.options.HeaderCodec.ClientTimeout(r.Header)
	if !found {
		timeLimit = defaultTimeout
	}
	if timeout := j.route.Timeout; timeout > 0 {
		timeLimit = min(timeLimit, timeout)
	}
	j.deadline = j.arrived.Add(timeLimit)
	j.service = j.route.NextService()
	j.record.Route, j.record.Service = j.route.Name, j.service
}

// reserveLink books time on this host's link for a large response. If the response
// would wait too long for the link, the request is refused at once instead of
// after the work is done.
func (h *Handler) reserveLink(j *job) *refusal.Error {
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

// expectedRestartTime is how long a daemon is expected to be down for a restart.
const expectedRestartTime = time.Second

// RefuseLeaving refuses a request because this daemon is shutting down, and closes
// the connection.
func (h *Handler) RefuseLeaving(r *http.Request) *http1.Response {
	j := &job{arrived: h.options.Now(), leaving: true}
	j.record.RequestID = h.options.HeaderCodec.RequestID(r.Header)
	j.record.Refused = refusal.New(refusal.Leaving, refusal.NotRun)
	j.record.Expected = expectedRestartTime
	response := h.refusalResponse(j, j.record.Refused)
	h.options.Recorder.Done(&j.record)
	return response
}

// refusalResponse returns the response to a request that no backend server has
// responded to. Status 503 guarantees that the request has not run.
func (h *Handler) refusalResponse(j *job, refused *refusal.Error) *http1.Response {
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
		if refused.Reason == refusal.ServerCold {
			after = retry.AfterRefusal(j.retryAfter, rand.Uint64())
		}
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	case refused.Reason == refusal.DeadlinePassed:
		status = http.StatusGatewayTimeout
	}
	if j.leaving {
		header.Set("Connection", "close")
	}
	j.record.Status = status
	return &http1.Response{Status: status, Header: header}
}
