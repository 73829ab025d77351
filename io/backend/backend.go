// Package backend speaks to the one backend server of this host. It admits
// calls, sends them on, and brings the whole answer back. No other daemon
// connects to this backend server, so the slots and connections in use are
// known here exactly.
//
// Usage:
//
//	server := backend.New(backend.Options{Address: "192.0.2.1:8080", ...})
//	hop.Serve(address, keys, server)
package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"marjoramsaddle/core/admission"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/retry"
	"marjoramsaddle/io/hop"
)

// dialTimeout bounds a connection to the backend server, which is on the same
// host.
const dialTimeout = time.Second

// Options of a Server.
type Options struct {
	// Address of the backend server.
	Address string
	Service id.Service
	Gate    *admission.Gate
	// Connections bounds the connections to the backend server.
	Connections int
	// OnDraining is called when an answer says that the backend server drains.
	OnDraining func()
	// OnUnreachable is called when the backend server accepts no connection.
	OnUnreachable func()
	// Now returns the current time.
	Now func() id.Instant
}

// Server admits calls and sends them to the backend server.
type Server struct {
	options   Options
	transport *http.Transport
	dialled   atomic.Int64
	leaving   atomic.Bool
}

// New returns a server. It opens connections only when calls arrive.
func New(options Options) *Server {
	s := &Server{options: options}
	dialer := &net.Dialer{Timeout: dialTimeout}
	s.transport = &http.Transport{
		DisableCompression:     true,
		MaxConnsPerHost:        options.Connections,
		MaxIdleConnsPerHost:    options.Connections,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: hop.MaxHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			s.dialled.Add(1)
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil && ctx.Err() == nil && options.OnUnreachable != nil {
				options.OnUnreachable()
			}
			return conn, err
		},
	}
	return s
}

// OpenedConnections returns the number of connections opened so far.
func (s *Server) OpenedConnections() int64 { return s.dialled.Load() }

// SetLeaving refuses new calls while this host leaves. Calls in progress finish.
func (s *Server) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// ServeHTTP handles a call from another daemon.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, err := hop.ReadCall(r.Header)
	if err != nil {
		hop.Refuse(w, refusal.Wrap(refusal.BadRequest, refusal.NotRun, err))
		return
	}
	response, refused := s.Do(r.Context(), r, call) //nolint:bodyclose // hop.Relay closes it.
	if refused != nil {
		hop.Refuse(w, refused)
		return
	}
	hop.Relay(w, response)
}

// Do admits the call, sends the request to the backend server and returns its
// answer. Closing the answer's body frees the slot.
func (s *Server) Do(ctx context.Context, r *http.Request, call hop.Call) (*http.Response, *refusal.Error) {
	if refused := s.check(call); refused != nil {
		return nil, refused
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Time())
	now := s.options.Now()
	queueDeadline := now.Add(time.Duration(call.QueueMS) * time.Millisecond)
	ticket, refused := s.options.Gate.Acquire(ctx, now, call.Class, call.Deadline, queueDeadline)
	if refused != nil {
		cancel()
		return nil, refused
	}
	leave := func() {
		cancel()
		ticket.Release(s.options.Now())
	}
	// The process may have been paused in the queue.
	if call.Deadline.Before(s.options.Now()) {
		leave()
		return nil, refusal.New(refusal.DeadlinePassed, refusal.NotRun)
	}
	response, refused := s.send(ctx, r, call)
	if refused != nil {
		leave()
		return nil, refused
	}
	response.Body = &slotBody{ReadCloser: response.Body, leave: leave}
	return response, nil
}

func (s *Server) check(call hop.Call) *refusal.Error {
	switch {
	case s.leaving.Load():
		return refusal.New(refusal.Leaving, refusal.NotRun)
	case call.Service != s.options.Service:
		return refusal.New(refusal.NoEndpoint, refusal.NotRun)
	case call.Deadline.Before(s.options.Now()):
		return refusal.New(refusal.DeadlinePassed, refusal.NotRun)
	default:
		return retry.CheckDepth(call.Depth)
	}
}

func (s *Server) send(ctx context.Context, r *http.Request, call hop.Call) (*http.Response, *refusal.Error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request := s.request(httptrace.WithClientTrace(ctx, trace), r, call)
	response, err := s.transport.RoundTrip(request)
	if err != nil {
		// net/http opens a new connection by itself when it has written nothing
		// to a broken one, so without a connection the call did not run.
		return nil, hop.RefusalFromError(ctx, err, connected.Load(), refusal.BackendBroken)
	}
	if shed(response) {
		_ = response.Body.Close()
		return nil, refusal.New(refusal.BackendShed, refusal.Unknown)
	}
	if hop.CloseDelimited(response) {
		_ = response.Body.Close()
		return nil, refusal.Wrap(refusal.BackendBroken, refusal.Unknown, hop.ErrCloseDelimited)
	}
	if response.Header.Get(hop.HeaderDraining) == "true" && s.options.OnDraining != nil {
		s.options.OnDraining()
	}
	echoed := response.Header.Get(hop.HeaderCallID)
	if echoed != "" && echoed != call.ID {
		_ = response.Body.Close()
		return nil, refusal.Wrap(refusal.BackendBroken, refusal.Unknown, errOtherCall)
	}
	hop.StripInternalHeaders(response.Header)
	response.Header.Set(hop.HeaderCallID, call.ID)
	response.Header.Set(hop.HeaderOutcome, refusal.Ran.String())
	return response, nil
}

// shed reports whether the backend server has refused the request for want of
// capacity. Its word proves nothing, so the outcome is unknown: lookups are
// repeated elsewhere, orders are not.
func shed(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != ""
}

// errOtherCall reports an answer that names another call than its request.
var errOtherCall = errors.New("backend: the answer belongs to another call")

// request builds the request for the backend server. The body hides its type
// from net/http, because net/http repeats a request with an Idempotency-Key
// header by itself when the body is absent or can be read again; a request
// that may have run must not be repeated.
func (s *Server) request(ctx context.Context, r *http.Request, call hop.Call) *http.Request {
	out := r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = s.options.Address
	out.Header = http.Header{}
	hop.CopyEndToEndHeaders(out.Header, r.Header)
	hop.StripInternalHeaders(out.Header)
	out.Header.Set(hop.HeaderCallID, call.ID)
	out.Header.Set(hop.HeaderDeadline, hop.FormatDeadline(call.Deadline))
	out.Header.Set(hop.HeaderDepth, fmt.Sprint(call.Depth))
	if call.Retry {
		out.Header.Set(hop.HeaderRetry, "1")
	}
	out.GetBody = nil
	if r.Body == nil {
		out.Body = http.NoBody
	}
	if !call.Idempotent {
		out.Body = onceBody{out.Body}
	}
	return out
}
