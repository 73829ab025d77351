package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/http1"
)

const (
	// healthCheckWait is how long a health check may wait for a slot, and
	// healthCheckTimeout how long for its response, which takes a few milliseconds.
	healthCheckWait    = 2 * time.Second
	healthCheckTimeout = time.Second
)

// coldStart is the rate of requests that the backend server tolerates while it is cold.
type coldStart struct {
	rate  id.RequestRate
	until id.Instant
}

// limits reports whether the rate is limited at the given instant.
func (c *coldStart) limits(now id.Instant) bool { return c != nil && c.rate > 0 && now.Before(c.until) }

// SetColdStart bounds the rate of requests until the backend server stops being cold. A
// rate of zero sets no bound.
func (s *Server) SetColdStart(rate id.RequestRate, until id.Instant) {
	s.coldStart.Store(&coldStart{rate: rate, until: until})
	s.gate.SetColdStart(s.options.Now(), rate, until)
}

// CheckHealth sends a health check, which takes a slot like any request, and returns the
// response.
func (s *Server) CheckHealth(ctx context.Context, path string, header http.Header) (*http1.Response, error) {
	now := s.options.Now()
	ticket, refused := s.gate.AcquireHealthCheck(ctx, now, now.Add(healthCheckWait))
	if refused != nil {
		return nil, refused
	}
	defer func() { ticket.Release(s.options.Now()) }()
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	// An idle connection may belong to an earlier process.
	request := &http1.Request{Method: http.MethodGet, Target: path, Host: s.options.Address, Header: header, NewConn: true}
	response, err := s.options.Pool.Do(ctx, s.options.Address, request)
	s.recordReachable(err)
	return response, err
}

// recordReachable records whether a connection could be made.
func (s *Server) recordReachable(err error) {
	var sendErr *http1.SendError
	switch {
	case err == nil:
		s.unreachable.Store(false)
	case errors.As(err, &sendErr):
		s.unreachable.Store(!sendErr.Sent)
	}
}

// recordConnection evaluates the result of a request for whether the process behind the
// address may have changed.
func (s *Server) recordConnection(ctx context.Context, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	s.recordReachable(err)
	var sendErr *http1.SendError
	if errors.As(err, &sendErr) && (!sendErr.Sent || isReset(err)) && s.options.ConnectionLost != nil {
		s.options.ConnectionLost()
	}
}

// isReset reports whether the peer has closed or reset the connection.
func isReset(err error) bool {
	for _, reset := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, reset) {
			return true
		}
	}
	return false
}

// withoutConnection returns the refusal of a request that a cold backend server can't
// admit in time. While no connection can be made, it is refused for that reason, and
// nothing tells when there is capacity.
func (s *Server) withoutConnection(refused *refusal.Error) *refusal.Error {
	if refused.Reason != refusal.ServerCold || !s.unreachable.Load() {
		return refused
	}
	return refusal.New(refusal.ConnectFailed, refusal.NotRun)
}
