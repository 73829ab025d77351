// Package backend forwards calls to the backend server of this host. It admits
// calls, sends them to the backend server and relays its responses. No other daemon
// connects to this backend server, so the numbers of slots and connections in use
// are exact.
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
	"marjoramsaddle/io/http1"
)

// dialTimeout is the time in which a connection to the backend server, which is on
// the same host, must be established.
const dialTimeout = time.Second

// Options configures a Server.
type Options struct {
	// Address is the address of the backend server.
	Address string
	Service id.Service
	Gate    *admission.Gate
	// Connections is the maximum number of connections to the backend server.
	Connections int
	// OnDraining is called when a response says that the backend server is draining.
	OnDraining func()
	// OnUnreachable is called when a connection to the backend server fails.
	OnUnreachable func()
	// Now returns the current time.
	Now func() id.Instant
}

// Server admits calls and sends them to the backend server.
type Server struct {
	options   Options
	transport *http1.Transport
	dialled   atomic.Int64
	leaving   atomic.Bool
}

// New returns a Server. It opens connections only when calls arrive.
func New(options Options) *Server {
	s := &Server{options: options}
	dialer := &net.Dialer{Timeout: dialTimeout}
	s.transport = http1.NewTransport(&http.Transport{
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
	})
	return s
}

// OpenedConnections returns the number of connections opened so far.
func (s *Server) OpenedConnections() int64 { return s.dialled.Load() }

// SetLeaving sets whether new calls are refused because this host is leaving. Calls
// in progress finish.
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
// response. Closing the response's body frees the slot.
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
	release := func() {
		cancel()
		ticket.Release(s.options.Now())
	}
	// The process may have been paused while the call was queued.
	if call.Deadline.Before(s.options.Now()) {
		release()
		return nil, refusal.New(refusal.DeadlinePassed, refusal.NotRun)
	}
	response, refused := s.send(ctx, r, call)
	if refused != nil {
		release()
		return nil, refused
	}
	response.Body = &slotBody{ReadCloser: response.Body, release: release}
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
		// Without a connection nothing was sent, so the call did not run. If a
		// reused connection is broken before anything is written to it, net/http
		// itself opens a new one.
		return nil, hop.RefusalFromError(ctx, err, connected.Load(), refusal.BackendBroken)
	}
	if isLoadShed(response) {
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
		return nil, refusal.Wrap(refusal.BackendBroken, refusal.Unknown, errCallIDMismatch)
	}
	hop.StripInternalHeaders(response.Header)
	response.Header.Set(hop.HeaderCallID, call.ID)
	response.Header.Set(hop.HeaderOutcome, refusal.Ran.String())
	return response, nil
}

// isLoadShed reports whether the backend server has refused the request for lack of
// capacity. Its response doesn't prove that the request did not run, so the outcome
// is unknown: lookups are retried elsewhere, orders are not.
func isLoadShed(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != ""
}

// errCallIDMismatch means that a response carries the id of another call than its
// request.
var errCallIDMismatch = errors.New("backend: call id of the response differs from that of the request")

// request builds the request for the backend server. If the call is not
// idempotent, it hides the type of the body: net/http itself retries a request with
// an Idempotency-Key header if the body is absent or can be read again, but a
// request that may have run must not be retried.
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
		out.Body = opaqueBody{out.Body}
	}
	return out
}
