// Package operator serves the operators' interface of one daemon over HTTP:
// the state of the fleet, what a proxy runs and why, the recent kernel events,
// drain and health. The interface is designed in goa; see the package design.
//
// The listener is separate from the one for callers. It accepts plain HTTP on
// a loopback address only; any other address needs mutual TLS.
//
// Usage:
//
//	listener, err := net.Listen("tcp", "127.0.0.1:7070")
//	server, err := operator.New(listener, operator.Options{Source: daemon, Metrics: metrics})
//	go server.Serve()
//	defer server.Shutdown(ctx)
package operator

import (
	"context"
	"io"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/snapshot"
)

// LocalDaemon is what the operators' interface asks of the daemon. Its methods are
// called from many goroutines at once.
type LocalDaemon interface {
	// Host returns the name of this daemon's host.
	Host() id.Host
	// Status asks the fleet. It answers CensusDeadline after the call at the
	// latest and then lists the hosts that did not answer.
	Status(ctx context.Context) (Status, error)
	// View compiles what the proxy on host runs under the version in force
	// here. It returns an Error of kind NotFound for a host it does not know.
	View(host id.Host) (*snapshot.View, error)
	// Drain starts the graceful shutdown and returns without waiting for its
	// end. A repeated call has no further effect.
	Drain(ctx context.Context) error
	// Trace writes the recent kernel events as JSON lines.
	Trace(w io.Writer) error
	// Readiness tells whether this daemon serves calls.
	Readiness() kernel.Readiness
}

// Status is what a daemon knows of the fleet and of itself.
type Status struct {
	Held    id.Version
	InForce id.Version
	// AsOf is when the oldest answer in the status was given.
	AsOf id.Instant
	// IgnoredIndex is the newest platform index that was ignored for being
	// below the highest known one, or zero.
	IgnoredIndex id.Version
	Domains      []Domain
}

// Domain is what is known of one failure domain.
type Domain struct {
	Name id.Domain
	// InForce maps each host that answered to its version in force; zero means
	// none.
	InForce map[id.Host]id.Version
	// Unanswered lists the hosts that did not answer before the deadline.
	Unanswered []id.Host
	// Refused maps a refused version to the reason.
	Refused map[id.Version]string
}
