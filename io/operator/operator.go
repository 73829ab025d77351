// Package operator serves the operators' interface of one daemon over HTTP: the
// state of the fleet, the configuration of a proxy with the origin of each value,
// the recent kernel events, drain and health. The interface is defined in goa; see
// package design.
//
// The listener is separate from the one for callers. Plain HTTP is allowed on a
// loopback address only; any other address requires mutual TLS.
//
// # Usage
//
//	listener, err := net.Listen("tcp", "127.0.0.1:7070")
//	options := operator.Options{LocalDaemon: daemon, Metrics: metrics}
//	server, err := operator.New(listener, options)
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

// LocalDaemon is the daemon that the operators' interface reports on and drains.
// Its methods are called from several goroutines.
type LocalDaemon interface {
	// Host returns the name of this daemon's host.
	Host() id.Host
	// Status returns the state of the fleet within CensusTimeout and lists the
	// hosts that did not answer.
	Status(ctx context.Context) (Status, error)
	// View compiles the view of the proxy on host from the version in force on
	// this host. It returns an Error of kind NotFound for an unknown host.
	View(host id.Host) (*snapshot.View, error)
	// Drain starts the graceful stop and returns without waiting for its end.
	// Further calls have no effect.
	Drain(ctx context.Context) error
	// Trace writes the recent kernel events as JSON lines.
	Trace(w io.Writer) error
	// Readiness returns whether this daemon serves calls.
	Readiness() kernel.Readiness
}

// Status is the state of the fleet as seen by one daemon.
type Status struct {
	// Held and InForce are versions of this daemon: the newest that it holds and
	// the one that its traffic uses.
	Held    id.Version
	InForce id.Version
	// AsOf is a lower bound for the time of all answers in the status.
	AsOf id.Instant
	// IgnoredIndex is the newest platform index that was ignored because it was
	// below the highest known one, or zero.
	IgnoredIndex id.Version
	Domains      []Domain
}

// Domain is the state of the hosts of one failure domain.
type Domain struct {
	Name id.Domain
	// InForce maps each host that answered to its version in force, zero for none.
	InForce map[id.Host]id.Version
	// Unanswered lists the hosts that did not answer before the deadline.
	Unanswered []id.Host
	// Refused maps each refused version to the reason.
	Refused map[id.Version]string
}
