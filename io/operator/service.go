package operator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/refusal"
	gen "marjoramsaddle/gen/operator"
)

const (
	// CensusTimeout bounds the scatter-gather behind Status, counted from the
	// request. It belongs into kernel.StatusRequested.
	CensusTimeout = time.Second
	// statusDeadline leaves the kernel time to answer after the scatter-gather
	// has ended without all hosts; the kernel sees time pass in ticks of 50 ms.
	statusDeadline = CensusTimeout + 500*time.Millisecond
	// maxCensuses bounds the status requests at work at once, because each of
	// them costs the whole fleet a message.
	maxCensuses = 4
	// maxTraceBytes bounds the answer to a trace request.
	maxTraceBytes = 16 << 20
)

// service implements the goa service on a Source.
type service struct {
	source   LocalDaemon
	now      func() time.Time
	censuses chan struct{}
}

var _ gen.Service = (*service)(nil)

func newService(source LocalDaemon) *service {
	return &service{source: source, now: time.Now, censuses: make(chan struct{}, maxCensuses)}
}

// Status asks the fleet which versions are in force.
func (s *service) Status(ctx context.Context) (*gen.FleetStatus, error) {
	select {
	case s.censuses <- struct{}{}:
		defer func() { <-s.censuses }()
	default:
		return nil, faultOf(refusal.New(refusal.Busy, refusal.NotRun))
	}
	ctx, cancel := context.WithTimeout(ctx, statusDeadline)
	defer cancel()
	status, err := s.source.Status(ctx)
	if err != nil {
		return nil, faultOf(err)
	}
	return statusOf(s.source.Host(), s.source.Readiness(), status, id.InstantOf(s.now())), nil
}

// View shows what a proxy runs.
func (s *service) View(_ context.Context, payload *gen.ViewPayload) (*gen.ProxyView, error) {
	host := s.source.Host()
	if payload.Host != nil && *payload.Host != "" {
		host = id.Host(*payload.Host)
	}
	view, err := s.source.View(host)
	if err != nil {
		return nil, faultOf(err)
	}
	return NewProxyView(view), nil
}

// Drain starts the graceful shutdown.
func (s *service) Drain(ctx context.Context) (*gen.Drained, error) {
	if err := s.source.Drain(ctx); err != nil {
		return nil, faultOf(err)
	}
	return &gen.Drained{Readiness: s.source.Readiness().String()}, nil
}

// Trace returns the recent kernel events. They are collected before the answer
// starts, so that a fault becomes an error and not a shortened trace.
func (s *service) Trace(context.Context) (*gen.TraceResult, io.ReadCloser, error) {
	var lines boundedBuffer
	if err := s.source.Trace(&lines); err != nil {
		return nil, nil, faultOf(err)
	}
	return &gen.TraceResult{ContentType: "application/jsonl"}, io.NopCloser(&lines.buffer), nil
}

// Health tells whether this daemon serves calls.
func (s *service) Health(context.Context) (*gen.HealthReport, error) {
	readiness := s.source.Readiness()
	if readiness == kernel.Serving {
		return &gen.HealthReport{Ready: true, Readiness: readiness.String()}, nil
	}
	reason := readiness.String()
	return nil, &gen.Fault{
		Name: nameUnavailable, Problem: "this daemon serves no calls: " + reason,
		Remedy: healthRemedy(readiness), Reason: &reason,
	}
}

func healthRemedy(readiness kernel.Readiness) string {
	switch readiness {
	case kernel.Draining:
		return "send calls to another host"
	case kernel.Resyncing:
		return "wait until a peer confirms the version, at most 1 s"
	default:
		return "wait until a peer or the platform answers; see status"
	}
}

var errTraceTooLong = errors.New("the recorded events are over 16 MiB: keep fewer events in the daemon")

// boundedBuffer fails instead of growing beyond maxTraceBytes.
type boundedBuffer struct{ buffer bytes.Buffer }

// Write appends data unless the buffer would grow too long.
func (b *boundedBuffer) Write(data []byte) (int, error) {
	if b.buffer.Len()+len(data) > maxTraceBytes {
		return 0, errTraceTooLong
	}
	return b.buffer.Write(data)
}
