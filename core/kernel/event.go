package kernel

import (
	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/message"
)

// TickInterval is the time between two Tick events.
const TickInterval = 50_000_000 // nanoseconds

type (
	// Tick reports that time has passed.
	Tick struct{}

	// LinkUp reports that a control link to a peer is open.
	LinkUp struct {
		Host   id.Host
		Domain id.Domain
		// Outbound is true if this host dialled.
		Outbound bool
	}

	// LinkDown reports that a control link was closed or could not be opened. If two
	// hosts have dialled each other, Outbound tells which of the two links was
	// closed; Links still holds the host if the other link stays.
	LinkDown struct {
		Host     id.Host
		Outbound bool
	}

	// Received carries a message received from a peer.
	Received struct {
		Host  id.Host
		Frame *message.Frame
	}

	// ManifestRead carries the manifest as returned by the platform.
	ManifestRead struct {
		Index id.Version
		Data  []byte
		// Consistent is true if the platform guaranteed that the answer is not stale.
		Consistent bool
	}

	// PartRead carries the data that the platform stores under the hash of a part.
	PartRead struct {
		// Digest is the requested hash; the hash of the data may differ.
		Digest id.Digest
		Data   []byte
	}

	// HostListRead carries the platform's host list of one failure domain.
	HostListRead struct {
		Domain id.Domain
		Index  id.Version
		Data   []byte
	}

	// HostsListed carries the decoded rows of a HostListRead event.
	HostsListed struct{ Rows []endpoint.Entry }

	// ReadFailed reports that a read of the platform failed.
	ReadFailed struct {
		Read  Read
		Cause string
	}

	// BackendState reports the result of the backend server's health check.
	BackendState struct {
		Ready    bool
		Draining bool
	}

	// DrainRequested asks the daemon to stop gracefully.
	DrainRequested struct{}

	// StatusRequested asks for the version in force on every host of the fleet.
	// AnswerStatus follows.
	StatusRequested struct {
		ID       uint64
		Deadline id.Instant
	}
)

// Read identifies a kind of platform read.
type Read string

// The kinds of platform reads.
const (
	ReadKindManifest Read = "manifest"
	ReadKindPart     Read = "part"
	ReadKindHosts    Read = "hosts"
)

// EventName returns the name of the event in traces.
func (Tick) EventName() string { return "tick" }

// EventName returns the name of the event in traces.
func (LinkUp) EventName() string { return "link_up" }

// EventName returns the name of the event in traces.
func (LinkDown) EventName() string { return "link_down" }

// EventName returns the name of the event in traces.
func (Received) EventName() string { return "received" }

// EventName returns the name of the event in traces.
func (ManifestRead) EventName() string { return "manifest_read" }

// EventName returns the name of the event in traces.
func (PartRead) EventName() string { return "part_read" }

// EventName returns the name of the event in traces.
func (HostListRead) EventName() string { return "host_list_read" }

// EventName returns the name of the event in traces.
func (HostsListed) EventName() string { return "hosts_listed" }

// EventName returns the name of the event in traces.
func (ReadFailed) EventName() string { return "read_failed" }

// EventName returns the name of the event in traces.
func (BackendState) EventName() string { return "backend_state" }

// EventName returns the name of the event in traces.
func (DrainRequested) EventName() string { return "drain_requested" }

// EventName returns the name of the event in traces.
func (StatusRequested) EventName() string { return "status_requested" }
