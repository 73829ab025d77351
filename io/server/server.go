// Package server forwards requests to the backend server on this host over
// HTTP/1.1. It queues requests until a slot is free, sends each one at most once,
// and returns only complete responses. Since no other daemon sends requests to
// this backend server, the number of slots in use is known exactly.
//
// # Usage
//
//	local := server.New(server.Options{Address: "192.0.2.1:8080", ...})
//	local.SetCurrent(listed, true)
//	response, refused := local.Send(ctx, call, request)
package server

import (
	"context"
	"errors"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"marjoramsaddle/core/admission"
	"marjoramsaddle/core/announcement"
	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/shutdown"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/relay"
)

const (
	// minQueueCheckInterval and maxQueueCheckInterval limit the interval between
	// checks for expired requests in the queue. The minimum is short compared with
	// all target latencies; the maximum finds requests that are late for another
	// reason than the next deadline.
	minQueueCheckInterval = 5 * time.Millisecond
	maxQueueCheckInterval = 50 * time.Millisecond
	// responseGrace is how long after the deadline to wait for the backend server's
	// own timeout response, which it sends at the deadline and which arrives a
	// little later.
	responseGrace = 40 * time.Millisecond
	// hangThresholdFactor is the multiple of the mean service time after which a
	// request that ends without a response counts as a failure of the backend
	// server. At both users, one request in a hundred takes three times as long as
	// the others.
	hangThresholdFactor = 3
	// initialSlots is the number of slots until the platform lists the backend
	// server. No request is sent before that.
	initialSlots = 1
)

// HeaderCodec reads and writes the headers that the platform defines for backend
// servers.
type HeaderCodec interface {
	// Prepare sets the deadline and the expected backend server of a request.
	Prepare(header http.Header, left time.Duration, server backend.ID)
	// FromBackend reports whether a response comes from a backend server.
	FromBackend(header http.Header) bool
	// Rejected reports whether a response states that the request has not run.
	Rejected(status int, header http.Header) bool
	RequestID(header http.Header) string
}

// Options configures a Server.
type Options struct {
	// Address is the address of the backend server.
	Address     string
	Pool        *http1.Pool
	HeaderCodec HeaderCodec
	Now         func() id.Instant
	// Link schedules large responses on this host's network link.
	Link *link.Link
	// Refused is called for each request that got no response here. It may be nil.
	Refused func(requestID string, call relay.Call, refused *refusal.Error)
	// Responded is called for each response of the backend server, with the instant at
	// which its request was sent, or zero if the server has rejected it. It may be nil.
	Responded func(server *backend.Server, header http.Header, sentAt id.Instant)
	// LimitLearned is called for each request whose sender knows a limit of the backend
	// server, before the request is admitted. It may be nil.
	LimitLearned func(server *backend.Server, learned announcement.LearnedLimit)
	// ConnectionLost is called when the backend server has refused, closed or reset a
	// connection, so that another process may listen at the address. It may be nil.
	ConnectionLost func()
	// Admit reports whether a request may be sent while this process is stopping, and
	// returns its deadline.
	Admit func(work shutdown.Work) (id.Instant, bool)
}

// Server forwards requests to the backend server on this host. It is safe for
// concurrent use.
type Server struct {
	options Options
	gate    *admission.Gate
	current atomic.Pointer[backend.Server]
	limit   atomic.Pointer[announcement.Limit]
	// coldStart is the rate that the backend server tolerates while it is cold.
	coldStart atomic.Pointer[coldStart]
	leaving   atomic.Bool
	// unreachable is set while no connection to the backend server can be made.
	unreachable atomic.Bool

	mu             sync.Mutex
	maxConnections int
	service        serviceTime
	inProgress     inProgress
	failures       backend.FailureRate
	// activeRequests holds the active requests that have an ID, by that ID.
	activeRequests map[string]*ActiveRequest
	// streams counts the requests whose body is sent while it arrives.
	streams int
}

// New returns a Server that refuses all requests until SetCurrent lists a backend
// server.
func New(options Options) *Server {
	return &Server{options: options, gate: admission.NewGate(initialSlots, initialSlots), activeRequests: map[string]*ActiveRequest{}}
}

// SetCurrent sets the backend server that is listed at the address, or none if
// listed is false. A new ID or start time resets the statistics.
func (s *Server) SetCurrent(current backend.Server, listed bool) {
	if !listed {
		s.current.Store(nil)
		return
	}
	previous := s.current.Swap(&current)
	if previous == nil || previous.ID != current.ID || previous.Born != current.Born {
		// Connections to the previous process are dead.
		s.options.Pool.CloseIdleTo(s.options.Address)
		s.unreachable.Store(false)
		s.mu.Lock()
		s.service, s.failures, s.inProgress = serviceTime{}, backend.FailureRate{}, inProgress{}
		s.mu.Unlock()
	}
	s.resize(current.Slots)
}

// SetMaxConnections limits the connections to the backend server. Zero means one
// for each slot.
func (s *Server) SetMaxConnections(maxConnections int) {
	s.mu.Lock()
	s.maxConnections = maxConnections
	s.mu.Unlock()
	if current := s.current.Load(); current != nil {
		s.resize(current.Slots)
	}
}

// SetLimit bounds the rate of requests by the limit that the backend server announces.
func (s *Server) SetLimit(limit announcement.Limit) {
	s.limit.Store(&limit)
	s.gate.SetLimit(s.options.Now(), limit)
}

// resize adapts the gate to the number of slots.
func (s *Server) resize(slots int) {
	s.mu.Lock()
	maxConnections := s.maxConnections
	s.mu.Unlock()
	if maxConnections <= 0 {
		maxConnections = slots
	}
	s.gate.Resize(s.options.Now(), slots, maxConnections)
}

// SetLeaving marks this daemon as shutting down in its load reports.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

// Current returns the backend server listed at the address, or nil.
func (s *Server) Current() *backend.Server { return s.current.Load() }

// Sent returns the number of requests that were admitted to the backend server.
func (s *Server) Sent() uint64 { return s.gate.Granted() }

// Load returns a load report for the backend server.
func (s *Server) Load() placement.Report {
	running, queued := s.gate.Load()
	report := placement.Report{Running: running, Queued: queued, Leaving: s.leaving.Load(), At: s.options.Now()}
	current := s.current.Load()
	if current == nil {
		report.Leaving = true
		return report
	}
	report.Server, report.Slots = current.ID, current.Slots
	report.LinkWait, report.TransferTime = s.options.Link.Wait(), s.options.Link.TransferTime()
	report.Leaving = report.Leaving || !current.AcceptsNew()
	s.mu.Lock()
	report.Service = max(s.service.mean, s.inProgress.meanAge(report.At))
	report.FailureRate = s.failures.Value(report.At)
	s.mu.Unlock()
	report.Slots = s.usableSlots(report.Slots, report.Service)
	if s.coldStart.Load().limits(report.At) {
		report.Slots = min(report.Slots, current.ColdCapacity(report.Service))
	}
	return report
}

// usableSlots returns the slots that are in use when requests of the given service time
// arrive at the limit that the backend server announces.
func (s *Server) usableSlots(slots int, service time.Duration) int {
	limit := s.limit.Load()
	if limit == nil || !limit.Announced || service == 0 {
		return slots
	}
	inUse := math.Ceil(float64(limit.Rate) * service.Seconds())
	return int(max(1, min(float64(slots), inUse)))
}

// Expire refuses queued requests whose waiting time has run out. It returns when
// the context ends.
func (s *Server) Expire(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.gate.Queued():
		}
		for s.gate.Expire(s.options.Now()) > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(min(maxQueueCheckInterval, max(minQueueCheckInterval, s.gate.NextDeadline().Sub(s.options.Now())))):
			case <-s.gate.Queued():
			}
		}
	}
}

// Send waits for a slot, sends the request to the backend server and returns the
// complete response. It passes refusals to RecordRefusal.
func (s *Server) Send(ctx context.Context, call relay.Call, request *http1.Request) (*http1.Response, *refusal.Error) {
	response, refused := s.send(ctx, call, request)
	if refused != nil {
		return nil, s.RecordRefusal(call, request, refused)
	}
	return response, nil
}

// RecordRefusal calls Options.Refused for a request that gets no response here, and
// returns the refusal.
func (s *Server) RecordRefusal(call relay.Call, request *http1.Request, refused *refusal.Error) *refusal.Error {
	if s.options.Refused != nil {
		s.options.Refused(s.options.HeaderCodec.RequestID(request.Header), call, refused)
	}
	return refused
}

// send does the work of Send, but does not pass refusals to RecordRefusal.
func (s *Server) send(ctx context.Context, call relay.Call, request *http1.Request) (*http1.Response, *refusal.Error) {
	ctx, cancel := context.WithTimeout(ctx, call.Left+responseGrace)
	defer cancel()
	now := s.options.Now()
	deadline := now.Add(call.Left)
	if refused := s.checkServer(call.Server); refused != nil {
		return nil, refused
	}
	if current := s.current.Load(); call.Limit.Announced && current != nil && s.options.LimitLearned != nil {
		s.options.LimitLearned(current, announcement.LearnedLimit{Limit: call.Limit, At: now.Add(-call.LimitAge)})
	}
	if request.Stream != nil {
		if !s.beginStream() {
			return nil, refusal.New(refusal.QueueFull, refusal.NotRun)
		}
		defer s.endStream()
	}
	ticket, refused := s.gate.AcquireWork(ctx, now, admission.Work{
		Rank: queueRank(call), Deadline: deadline, QueueDeadline: now.Add(s.maxQueueWait(call)),
	})
	if refused != nil {
		return nil, s.withoutConnection(refused)
	}
	defer func() { ticket.Release(s.options.Now()) }()
	// The backend server may have been replaced while the request was queued.
	if refused := s.checkServer(call.Server); refused != nil {
		return nil, refused
	}
	started := s.options.Now()
	if !started.Before(deadline) {
		return nil, refusal.New(refusal.DeadlinePassed, refusal.NotRun)
	}
	deadline, admitted := s.options.Admit(shutdown.Work{Origin: call.Origin, Arrived: call.Arrived, Deadline: deadline, Expected: call.Expected})
	if !admitted {
		return nil, refusal.New(refusal.Leaving, refusal.NotRun)
	}
	s.options.HeaderCodec.Prepare(request.Header, deadline.Sub(started), call.Server)
	active := s.begin(s.options.HeaderCodec.RequestID(request.Header), started)
	defer s.end(active)
	response, err := s.options.Pool.Do(ctx, s.options.Address, request)
	s.recordConnection(ctx, err)
	if err != nil {
		refused := refusalFor(ctx, err)
		s.recordResult(started, refused.Reason != refusal.DeadlinePassed && refused.Reason != refusal.CallerGone, false)
		return nil, refused
	}
	// Only daemons may set them: the next one would take a refusal of the backend server
	// for proof that the request has not run.
	relay.StripInternalHeaders(response.Header)
	refused = s.classify(response)
	s.recordResponse(active.server, response, refused, started)
	if refused != nil {
		s.recordResult(started, true, false)
		return nil, refused
	}
	relay.SetCalls(response.Header, active.callCounts())
	callRefused := active.callRefused.Load()
	switch {
	case response.Status < http.StatusInternalServerError:
		s.recordResult(started, false, true)
	case callRefused:
		relay.MarkCallRefused(response.Header)
	default:
		s.recordResult(started, response.Status != http.StatusGatewayTimeout, false)
	}
	return response, nil
}

// queueRank returns the rank of the request in the queue.
func queueRank(call relay.Call) admission.Rank {
	if call.OfRequest {
		return admission.CallRankOf(call.Rank)
	}
	return admission.RankOf(call.Rank)
}

// recordResponse passes a response to Options.Responded, unless it may come from
// something else than the backend server.
func (s *Server) recordResponse(server *backend.Server, response *http1.Response, refused *refusal.Error, sentAt id.Instant) {
	if s.options.Responded == nil || server == nil {
		return
	}
	switch {
	case refused == nil:
	case refused.Reason == refusal.BackendShed:
		// A rejection need not repeat what the server announces in other responses.
		sentAt = 0
	default:
		return
	}
	s.options.Responded(server, response.Header, sentAt)
}

// recordResult updates the statistics with the result of a request. A request that
// was abandoned, at its deadline or by its client, counts as a failure of the
// backend server if it ran for more than hangThresholdFactor times the mean.
func (s *Server) recordResult(started id.Instant, failed, served bool) {
	now := s.options.Now()
	elapsed := now.Sub(started)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case served:
		s.service.record(elapsed)
		s.failures.Record(false, now)
	case failed, s.service.mean > 0 && elapsed > hangThresholdFactor*s.service.mean:
		s.failures.Record(true, now)
	}
}

// checkServer returns a refusal unless the wanted backend server is listed and
// accepts new requests.
func (s *Server) checkServer(wanted backend.ID) *refusal.Error {
	current := s.current.Load()
	switch {
	case current == nil || current.ID != wanted:
		return refusal.New(refusal.NoEndpoint, refusal.NotRun)
	case current.State == backend.Draining:
		return refusal.New(refusal.Leaving, refusal.NotRun)
	case current.Evacuated:
		return refusal.New(refusal.Evacuated, refusal.NotRun)
	}
	return nil
}

var (
	errRejected       = errors.New("the backend server rejected the request without running it")
	errNotFromBackend = errors.New("the response lacks the signature header of a backend server")
	errOtherServer    = errors.New("another backend server uses the address")
)

// classify returns the refusal for a response that must not reach the client, or
// nil.
func (s *Server) classify(response *http1.Response) *refusal.Error {
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		return refusal.Wrap(refusal.WrongIdentity, refusal.NotRun, errOtherServer)
	case s.options.HeaderCodec.Rejected(response.Status, response.Header):
		return refusal.Wrap(refusal.BackendShed, refusal.NotRun, errRejected)
	case !s.options.HeaderCodec.FromBackend(response.Header):
		return refusal.Wrap(refusal.BackendBroken, refusal.Unknown, errNotFromBackend)
	}
	return nil
}

// refusalFor returns the refusal of a request for which the pool returned err.
func refusalFor(ctx context.Context, err error) *refusal.Error {
	outcome, reason := refusal.Unknown, refusal.BackendBroken
	var sendErr *http1.SendError
	if errors.As(err, &sendErr) && !sendErr.Sent {
		outcome, reason = refusal.NotRun, refusal.ConnectFailed
	}
	switch {
	case ctx.Err() != nil:
		reason = relay.ContextReason(ctx)
	case errors.Is(err, http1.ErrBodyEnded):
		// The fault is neither the server's nor the link's.
		reason = refusal.CallerGone
	}
	return refusal.Wrap(reason, outcome, err)
}

// maxQueueWait returns how long the request may wait for a slot.
func (s *Server) maxQueueWait(call relay.Call) time.Duration {
	if call.NoWait || s.unreachable.Load() && s.coldStart.Load().limits(s.options.Now()) {
		return 0
	}
	s.mu.Lock()
	service := s.service.mean
	s.mu.Unlock()
	wait := admission.Wait{Aim: call.Aim, Left: call.Left, Service: service}
	return wait.Longest()
}

const (
	// meanWeight is the weight of one sample in the mean service time.
	meanWeight = 1.0 / 32
	// maxSampleFactor limits a sample to a multiple of the mean, so that the mean
	// recovers soon after the backend server was slow. While it is slow, the ages of
	// its active requests show it.
	maxSampleFactor = 3
	// minActiveRequests is the number of active requests from which their mean age
	// is used. A single one may be among the slowest hundredth.
	minActiveRequests = 3
)

// serviceTime is the moving average of the time that the backend server takes for
// a request. It is zero before the first sample.
type serviceTime struct{ mean time.Duration }

// record adds the time that a served request took to the average.
func (t *serviceTime) record(elapsed time.Duration) {
	if t.mean == 0 {
		t.mean = elapsed
		return
	}
	elapsed = min(elapsed, maxSampleFactor*t.mean)
	t.mean += time.Duration(meanWeight * float64(elapsed-t.mean))
}

// inProgress tracks the ages of the active requests. They show that the backend
// server has become slow before any of its requests has ended.
type inProgress struct {
	count int
	// startOffsets is the sum of the start times, each relative to firstStart.
	firstStart     id.Instant
	startOffsetSum time.Duration
}

func (p *inProgress) begin(started id.Instant) {
	if p.count == 0 {
		p.firstStart, p.startOffsetSum = started, 0
	}
	p.count++
	p.startOffsetSum += started.Sub(p.firstStart)
}

func (p *inProgress) end(started id.Instant) {
	if p.count == 0 {
		// The request was sent to the previous process at this address.
		return
	}
	p.count--
	p.startOffsetSum -= started.Sub(p.firstStart)
}

// meanAge returns the mean age of the active requests, or zero if there are fewer
// than minActiveRequests. With steady service times it stays below the mean service
// time, because active requests are halfway done on average.
func (p *inProgress) meanAge(now id.Instant) time.Duration {
	if p.count < minActiveRequests {
		return 0
	}
	return now.Sub(p.firstStart) - p.startOffsetSum/time.Duration(p.count)
}
