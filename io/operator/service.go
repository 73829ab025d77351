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
	// CensusTimeout bounds the census behind Status, measured from the request. It
	// must match the deadline in kernel.StatusRequested.
	CensusTimeout = time.Second
	// statusTimeout leaves the kernel time to answer after a census has ended
	// without all hosts; the kernel's clock advances in ticks of 50 ms.
	statusTimeout = CensusTimeout + 500*time.Millisecond
	// maxConcurrentCensuses bounds the status requests in progress, because each
	// sends a message to every host of the fleet.
	maxConcurrentCensuses = 4
	// maxTraceBytes bounds the response to a trace request.
	maxTraceBytes = 16 << 20
)

// service implements the service of the goa design with a LocalDaemon.
type service struct {
	daemon   LocalDaemon
	now      func() time.Time
	censuses chan struct{}
}

var _ gen.Service = (*service)(nil)

func newService(daemon LocalDaemon) *service {
	return &service{daemon: daemon, now: time.Now, censuses: make(chan struct{}, maxConcurrentCensuses)}
}

// Status returns the versions in force in the fleet. It is refused as busy while
// maxConcurrentCensuses requests are in progress.
func (s *service) Status(ctx context.Context) (*gen.FleetStatus, error) {
	select {
	case s.censuses <- struct{}{}:
		defer func() { <-s.censuses }()
	default:
		return nil, newFault(refusal.New(refusal.Busy, refusal.NotRun))
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := s.daemon.Status(ctx)
	if err != nil {
		return nil, newFault(err)
	}
	return newFleetStatus(s.daemon.Host(), s.daemon.Readiness(), status, id.InstantOf(s.now())), nil
}

// View returns the view of a proxy, by default that of this host.
func (s *service) View(_ context.Context, payload *gen.ViewPayload) (*gen.ProxyView, error) {
	host := s.daemon.Host()
	if payload.Host != nil && *payload.Host != "" {
		host = id.Host(*payload.Host)
	}
	view, err := s.daemon.View(host)
	if err != nil {
		return nil, newFault(err)
	}
	return NewProxyView(view), nil
}

// Drain starts the graceful stop.
func (s *service) Drain(ctx context.Context) (*gen.Drained, error) {
	if err := s.daemon.Drain(ctx); err != nil {
		return nil, newFault(err)
	}
	return &gen.Drained{Readiness: s.daemon.Readiness().String()}, nil
}

// Trace returns the recent kernel events. They are buffered before the response
// starts, so that a failure gives an error response and not a truncated trace.
func (s *service) Trace(context.Context) (*gen.TraceResult, io.ReadCloser, error) {
	var lines boundedBuffer
	if err := s.daemon.Trace(&lines); err != nil {
		return nil, nil, newFault(err)
	}
	return &gen.TraceResult{ContentType: "application/jsonl"}, io.NopCloser(&lines.buffer), nil
}

// Health returns an error unless this daemon serves calls.
func (s *service) Health(context.Context) (*gen.HealthReport, error) {
	readiness := s.daemon.Readiness()
	if readiness == kernel.Serving {
		return &gen.HealthReport{Ready: true, Readiness: readiness.String()}, nil
	}
	reason := readiness.String()
	return nil, &gen.Fault{
		Name: nameUnavailable, Problem: "this daemon serves no calls: " + reason,
		Remedy: readinessRemedy(readiness), Reason: &reason,
	}
}

func readinessRemedy(readiness kernel.Readiness) string {
	switch readiness {
	case kernel.Draining:
		return "send calls to another host"
	case kernel.Resyncing:
		return "wait until a peer confirms the version, at most 1 s"
	default:
		return "wait until a peer or the platform answers; see status"
	}
}

var errTraceTooLarge = errors.New("the recorded events are over 16 MiB: keep fewer events in the daemon")

// boundedBuffer fails instead of growing beyond maxTraceBytes.
type boundedBuffer struct{ buffer bytes.Buffer }

// Write appends data unless the buffer would exceed maxTraceBytes.
func (b *boundedBuffer) Write(data []byte) (int, error) {
	if b.buffer.Len()+len(data) > maxTraceBytes {
		return 0, errTraceTooLarge
	}
	return b.buffer.Write(data)
}
