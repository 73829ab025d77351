package kernel

import (
	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/manifest"
	"marjoramsaddle/core/message"
	"marjoramsaddle/core/snapshot"
)

type (
	// Send sends a message over the link to a peer.
	Send struct {
		Host  id.Host
		Frame *message.Frame
	}

	// Dial opens a control link. LinkUp or LinkDown follows. Host is empty for a seed
	// whose host name is unknown.
	Dial struct {
		Host    id.Host
		Address string
	}

	// Hangup closes the link to a peer. Outbound selects which link if both hosts
	// have dialled each other.
	Hangup struct {
		Host     id.Host
		Outbound bool
	}

	// ReadManifest reads the manifest. If After is positive, the read blocks on the
	// platform until the index exceeds After. ManifestRead or ReadFailed follows.
	ReadManifest struct {
		After      id.Version
		Consistent bool
	}

	// ReadPart reads one part of a configuration. PartRead or ReadFailed follows.
	ReadPart struct{ Part manifest.Part }

	// ReadHosts reads the host list of a failure domain and blocks as ReadManifest
	// does. HostListRead or ReadFailed follows.
	ReadHosts struct {
		Domain id.Domain
		After  id.Version
	}

	// StopReading cancels all blocked reads of the platform.
	StopReading struct{}

	// Publish makes a configuration view the active one for the data plane.
	Publish struct {
		View     *snapshot.View
		Snapshot *snapshot.Snapshot
	}

	// PublishEndpoints replaces the endpoints that the data plane uses.
	PublishEndpoints struct{ Entries []endpoint.Entry }

	// SetReady changes the readiness of the daemon to serve calls.
	SetReady struct{ Ready Readiness }

	// AnswerStatus answers the StatusRequested event with the same ID.
	AnswerStatus struct {
		ID     uint64
		Census []*message.DomainCensus
	}

	// Count increments a counter of the kernel.
	Count struct {
		Name  string
		Label string
	}

	// Log writes a log line. Part names the component that it comes from.
	Log struct {
		Part string
		Text string
	}
)

// ActionName returns the name of the action in traces.
func (Send) ActionName() string { return "send" }

// ActionName returns the name of the action in traces.
func (Dial) ActionName() string { return "dial" }

// ActionName returns the name of the action in traces.
func (Hangup) ActionName() string { return "hangup" }

// ActionName returns the name of the action in traces.
func (ReadManifest) ActionName() string { return "read_manifest" }

// ActionName returns the name of the action in traces.
func (ReadPart) ActionName() string { return "read_part" }

// ActionName returns the name of the action in traces.
func (ReadHosts) ActionName() string { return "read_hosts" }

// ActionName returns the name of the action in traces.
func (StopReading) ActionName() string { return "stop_reading" }

// ActionName returns the name of the action in traces.
func (Publish) ActionName() string { return "publish" }

// ActionName returns the name of the action in traces.
func (PublishEndpoints) ActionName() string { return "publish_endpoints" }

// ActionName returns the name of the action in traces.
func (SetReady) ActionName() string { return "set_ready" }

// ActionName returns the name of the action in traces.
func (AnswerStatus) ActionName() string { return "answer_status" }

// ActionName returns the name of the action in traces.
func (Count) ActionName() string { return "count" }

// ActionName returns the name of the action in traces.
func (Log) ActionName() string { return "log" }
