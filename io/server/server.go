// Package server speaks to the backend server beside this daemon over HTTP/1.1.
// It admits requests, sends each one once, and returns whole answers only. No
// other daemon reaches this backend server, so the slots in use are known here.
//
// Usage:
//
//	local := server.New(server.Options{Address: "192.0.2.1:8080", ...})
//	local.SetCurrent(listed, true)
//	answer, refused := local.Send(ctx, call, request)
package server

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"marjoramsaddle/core/admission"
	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/relay"
)

const (
	// shortestCheck and longestCheck bound the time between two checks of queued
	// requests for their deadlines. The first is short against all response-time
	// goals; the second finds those that have become late otherwise.
	shortestCheck = 5 * time.Millisecond
	longestCheck  = 50 * time.Millisecond
	// answerGrace is how long after the deadline the backend server's own answer
	// is still awaited. It answers at the deadline, a little later on the wire.
	answerGrace = 40 * time.Millisecond
	// hangFactor is how many times as long as the mean a request may take before
	// its end without an answer counts against the backend server. One request in
	// a hundred takes three times as long as the others on both users' sheets.
	hangFactor = 3
	// assumedSlots is used before the platform lists the backend server; no
	// request is sent until then.
	assumedSlots = 1
)

// HeaderCodec reads and writes the headers that the backend server speaks.
type HeaderCodec interface {
	Prepare(header http.Header, left time.Duration, server backend.ID)
	FromBackend(header http.Header) bool
	Rejected(status int, header http.Header) bool
	RequestID(header http.Header) string
}

// Options of a Server.
type Options struct {
	Address     string
	Pool        *http1.Pool
	HeaderCodec HeaderCodec
	Now         func() id.Instant
	// Link is the account of the long answers on their way from this host.
	Link *link.Link
	// Refused is told of each request that got no answer here, if set.
	Refused func(requestID string, call relay.Call, refused *refusal.Error)
}

// Server passes requests to the backend server beside this daemon.
type Server struct {
	options Options
	gate    *admission.Gate
	current atomic.Pointer[backend.Server]
	leaving atomic.Bool

	mu          sync.Mutex
	connections int
	service     serviceTime
	working     working
	failures    backend.FailureRate
	runs        map[string]*ActiveRequest
}

// New returns a server that refuses everything until SetCurrent.
func New(options Options) *Server {
	return &Server{options: options, gate: admission.NewGate(assumedSlots, assumedSlots), runs: map[string]*ActiveRequest{}}
}

// SetCurrent says which backend server is listed at the address, if any.
func (s *Server) SetCurrent(current backend.Server, listed bool) {
	if !listed {
		s.current.Store(nil)
		return
	}
	former := s.current.Swap(&current)
	if former == nil || former.ID != current.ID || former.Born != current.Born {
		// Connections to the former process lead nowhere.
		s.options.Pool.CloseIdleTo(s.options.Address)
		s.mu.Lock()
		s.service, s.failures, s.working = serviceTime{}, backend.FailureRate{}, working{}
		s.mu.Unlock()
	}
	s.resize(current.Slots)
}

// SetMaxConnections bounds the connections to the backend server.
func (s *Server) SetMaxConnections(connections int) {
	s.mu.Lock()
	s.connections = connections
	s.mu.Unlock()
	if current := s.current.Load(); current != nil {
		s.resize(current.Slots)
	}
}

func (s *Server) resize(slots int) {
	s.mu.Lock()
	connections := s.connections
	s.mu.Unlock()
	if connections <= 0 {
		connections = slots
	}
	s.gate.Resize(s.options.Now(), slots, connections)
}

// SetLeaving tells other daemons that this one stops.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

// Current returns the backend server at the address.
func (s *Server) Current() *backend.Server { return s.current.Load() }

// Load returns the load of the backend server.
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
	report.Leaving = report.Leaving || current.State == backend.Draining
	s.mu.Lock()
	report.Service = max(s.service.mean, s.working.meanAge(report.At))
	report.FailureRate = s.failures.Value(report.At)
	s.mu.Unlock()
	return report
}

// Expire ends the requests whose time in the queue has passed, until the
// context ends.
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
			case <-time.After(min(longestCheck, max(shortestCheck, s.gate.NextDeadline().Sub(s.options.Now())))):
			case <-s.gate.Queued():
			}
		}
	}
}

// Send admits the request, sends it to the backend server and returns the whole
// answer.
func (s *Server) Send(ctx context.Context, call relay.Call, request *http1.Request) (*http1.Response, *refusal.Error) {
	answer, refused := s.send(ctx, call, request)
	if refused != nil {
		return nil, s.RecordRefusal(call, request, refused)
	}
	return answer, nil
}

// RecordRefusal notes that the request gets no answer here, and returns the refusal.
func (s *Server) RecordRefusal(call relay.Call, request *http1.Request, refused *refusal.Error) *refusal.Error {
	if s.options.Refused != nil {
		s.options.Refused(s.options.HeaderCodec.RequestID(request.Header), call, refused)
	}
	return refused
}

func (s *Server) send(ctx context.Context, call relay.Call, request *http1.Request) (*http1.Response, *refusal.Error) {
	ctx, cancel := context.WithTimeout(ctx, call.Left+answerGrace)
	defer cancel()
	now := s.options.Now()
	deadline := now.Add(call.Left)
	if refused := s.check(call.Server); refused != nil {
		return nil, refused
	}
	rank := admission.RankOf(call.Rank)
	ticket, refused := s.gate.AcquireRank(ctx, now, rank, deadline, now.Add(s.longestWait(call)))
	if refused != nil {
		return nil, refused
	}
	defer func() { ticket.Release(s.options.Now()) }()
	// The backend server may have been replaced while the request was queued.
	if refused := s.check(call.Server); refused != nil {
		return nil, refused
	}
	started := s.options.Now()
	if !started.Before(deadline) {
		return nil, refusal.New(refusal.DeadlinePassed, refusal.NotRun)
	}
	s.options.HeaderCodec.Prepare(request.Header, deadline.Sub(started), call.Server)
	run := s.begin(s.options.HeaderCodec.RequestID(request.Header), started)
	defer s.end(run)
	answer, err := s.options.Pool.Do(ctx, s.options.Address, request)
	if err != nil {
		refused := failure(ctx, err)
		s.learn(started, refused.Reason != refusal.DeadlinePassed && refused.Reason != refusal.CallerGone, false)
		return nil, refused
	}
	if refused := s.classify(answer); refused != nil {
		s.learn(started, true, false)
		return nil, refused
	}
	relay.SetCalls(answer.Header, run.made())
	callRefused := run.callRefused.Load()
	switch {
	case answer.Status < http.StatusInternalServerError:
		s.learn(started, false, true)
	case callRefused:
		relay.MarkCallRefused(answer.Header)
	default:
		s.learn(started, answer.Status != http.StatusGatewayTimeout, false)
	}
	return answer, nil
}

// learn takes in how a request ended. One that was given up, by its deadline or
// by its client, is a failure of the backend server when it had several times
// as long as others take.
func (s *Server) learn(started id.Instant, failed, served bool) {
	now := s.options.Now()
	took := now.Sub(started)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case served:
		s.service.sample(took)
		s.failures.Record(false, now)
	case failed, s.service.mean > 0 && took > hangFactor*s.service.mean:
		s.failures.Record(true, now)
	}
}

func (s *Server) check(wanted backend.ID) *refusal.Error {
	current := s.current.Load()
	switch {
	case current == nil || current.ID != wanted:
		return refusal.New(refusal.NoEndpoint, refusal.NotRun)
	case current.State == backend.Draining:
		return refusal.New(refusal.Leaving, refusal.NotRun)
	}
	return nil
}

var (
	errRejected   = errors.New("the backend server has not run the request")
	errNoStamp    = errors.New("the answer does not bear the mark of the backend server")
	errOtherOwner = errors.New("another backend server has the address")
)

// classify returns the refusal for an answer that must not reach the client.
func (s *Server) classify(answer *http1.Response) *refusal.Error {
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		return refusal.Wrap(refusal.WrongIdentity, refusal.NotRun, errOtherOwner)
	case s.options.HeaderCodec.Rejected(answer.Status, answer.Header):
		return refusal.Wrap(refusal.BackendShed, refusal.NotRun, errRejected)
	case !s.options.HeaderCodec.FromBackend(answer.Header):
		return refusal.Wrap(refusal.BackendBroken, refusal.Unknown, errNoStamp)
	}
	return nil
}

func failure(ctx context.Context, err error) *refusal.Error {
	outcome, reason := refusal.Unknown, refusal.BackendBroken
	var failed *http1.SendError
	if errors.As(err, &failed) && !failed.Sent {
		outcome, reason = refusal.NotRun, refusal.ConnectFailed
	}
	if ctx.Err() != nil {
		reason = relay.ContextReason(ctx)
	}
	return refusal.Wrap(reason, outcome, err)
}

// longestWait returns how long the request may wait for a slot.
func (s *Server) longestWait(call relay.Call) time.Duration {
	if call.NoWait {
		return 0
	}
	s.mu.Lock()
	service := s.service.mean
	s.mu.Unlock()
	wait := admission.Wait{Aim: call.Aim, Left: call.Left, Service: service}
	return wait.Longest()
}

const (
	// serviceWeight is the weight of one sample in the mean service time.
	serviceWeight = 1.0 / 32
	// longestSample bounds one sample in means, so that the mean is soon back after
	// a backend server was slow. While it is slow, the ages of running requests
	// tell.
	longestSample = 3
	// fewestRuns is the least number of running requests whose ages tell anything;
	// one of them alone may be among the slow hundredth.
	fewestRuns = 3
)

// serviceTime is the mean time that the backend server takes for a request.
type serviceTime struct{ mean time.Duration }

func (t *serviceTime) sample(took time.Duration) {
	if t.mean == 0 {
		t.mean = took
		return
	}
	took = min(took, longestSample*t.mean)
	t.mean += time.Duration(serviceWeight * float64(took-t.mean))
}

// working is the requests that the backend server works on. Their ages show that
// it has turned slow before any of them has ended.
type working struct {
	count int
	// starts is the sum of the times of their starts since the first one.
	base   id.Instant
	starts time.Duration
}

func (w *working) begin(started id.Instant) {
	if w.count == 0 {
		w.base, w.starts = started, 0
	}
	w.count++
	w.starts += started.Sub(w.base)
}

func (w *working) end(started id.Instant) {
	if w.count == 0 {
		// It began at the former process at this address.
		return
	}
	w.count--
	w.starts -= started.Sub(w.base)
}

// meanAge returns the mean age of the requests, or zero when they are too few.
// While service times stay the same it lies below their mean, since requests are
// on average halfway.
func (w *working) meanAge(now id.Instant) time.Duration {
	if w.count < fewestRuns {
		return 0
	}
	return now.Sub(w.base) - w.starts/time.Duration(w.count)
}
