package kernel

import (
	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/message"
)

// TickInterval is the time between two Tick events.
const TickInterval = 50_000_000 // nanoseconds

type (
	// Tick tells that time has passed.
	Tick struct{}

	// LinkUp tells that a control link to a peer is open.
	LinkUp struct {
		Host   id.Host
		Domain id.Domain
		// Outbound is true when this host dialled.
		Outbound bool
	}

	// LinkDown tells that a control link has ended or could not be opened.
	// While two hosts have dialled each other, Outbound tells which of the two
	// links ended; Shared.Links still holds the host when the other one stays.
	LinkDown struct {
		Host     id.Host
		Outbound bool
	}

	// Received carries a message from a peer.
	Received struct {
		Host  id.Host
		Frame *message.Frame
	}

	// ManifestRead carries the manifest as the platform returned it.
	ManifestRead struct {
		Index id.Version
		Data  []byte
		// Consistent is true when the platform vouched that the answer is not
		// stale.
		Consistent bool
	}

	// PartRead carries what the platform has under the hash of a part.
	PartRead struct {
		// Digest is the hash that was asked for; the data may have another.
		Digest id.Digest
		Data   []byte
	}

	// HostListRead carries the platform's host list of one failure domain.
	HostListRead struct {
		Domain id.Domain
		Index  id.Version
		Data   []byte
	}

	// HostsListed carries the decoded rows of a HostListRead.
	HostsListed struct{ Rows []endpoint.Entry }

	// ReadFailed tells that a read of the platform failed.
	ReadFailed struct {
		Read  Read
		Cause string
	}

	// BackendState tells what the daemon learned of its backend server.
	BackendState struct {
		Ready    bool
		Draining bool
	}

	// DrainRequested tells that the daemon is to stop gracefully.
	DrainRequested struct{}

	// StatusRequested asks for a census of the fleet.
	StatusRequested struct {
		ID       uint64
		Deadline id.Instant
	}
)

// Read tells the kinds of platform reads apart.
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
