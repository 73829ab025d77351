package kernel

import (
	"slices"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/snapshot"
	"marjoramsaddle/core/topology"
)

//go:generate stringer -type=Readiness,Strategy -linecomment -output=kernel_string.go

// Readiness states whether the daemon serves calls.
type Readiness int

// The readiness states of a daemon.
const (
	Starting  Readiness = iota // starting
	Serving                    // serving
	Resyncing                  // resyncing
	Draining                   // draining
)

// Strategy selects how versions are distributed to this daemon. All but StrategyDelta
// are baselines for measurements.
type Strategy int

// The strategies.
const (
	// StrategyDelta distributes differences between versions from daemon to daemon.
	StrategyDelta Strategy = iota // delta
	// StrategyFull distributes full snapshots from daemon to daemon.
	StrategyFull // full
	// StrategyPoll makes each daemon read the platform itself.
	StrategyPoll // poll
)

// ParseStrategy returns the strategy with the given name. It returns StrategyDelta
// and false for an unknown name.
func ParseStrategy(name string) (Strategy, bool) {
	for strategy := StrategyDelta; strategy <= StrategyPoll; strategy++ {
		if strategy.String() == name {
			return strategy, true
		}
	}
	return StrategyDelta, false
}

// Options disables mechanisms, for measurements and for tests that show which
// failures a mechanism prevents.
type Options struct {
	Strategy Strategy
	// NoFloor allows serving any version without asking peers for the version floor.
	NoFloor bool
	// NoWitness puts a version in force before other hosts hold it.
	NoWitness bool
	// AcceptOlder accepts any index that the platform returns.
	AcceptOlder bool
	// AcceptPartial accepts a version as soon as one of its parts has arrived.
	AcceptPartial bool
	// NoValidation puts versions in force without validating them.
	NoValidation bool
	// NoResync continues to serve after a pause of the process without
	// resynchronising.
	NoResync bool
}

// Link holds the state of the control link to one peer.
type Link struct {
	Host     id.Host
	Domain   id.Domain
	Outbound bool
	// Held and InForce are the versions in the peer's last Hello or Heartbeat.
	Held    id.Version
	InForce id.Version
	// HasMemory is true if the peer's last Hello or Heartbeat vouched for its
	// version, so that a version floor may be derived from it.
	HasMemory bool
	// TableDigest is the hash of the peer's endpoint table, as last received.
	TableDigest uint64
	// LastReceivedAt is when the last message arrived.
	LastReceivedAt id.Instant
	// HelloReceived is true after the peer's Hello has arrived.
	HelloReceived bool
}

// SharedState holds the state that plug-ins share. Each field is written only by the
// plug-ins that its comment names.
type SharedState struct {
	Env Environment
	// Table is written by member.
	Table *endpoint.Table
	// Links is written by overlay.
	Links map[id.Host]*Link
	// Topology lists the links that this host should have according to Table. Written
	// by overlay.
	Topology topology.View
	// TableSettled is false at start, until the table equals that of a peer or no
	// peer has answered in time. Until then, every host of a starting fleet considers
	// itself a reader. Written by overlay.
	TableSettled bool
	// Held is the newest complete version in memory. Written by spread.
	Held *snapshot.Snapshot
	// InForce is the version that the data plane uses. Written by spread.
	InForce *snapshot.Snapshot
	// Refused is the newest version that was refused, for the given reason. Written
	// by spread.
	Refused       id.Version
	RefusedReason string
	// IgnoredIndex is the platform's last manifest index if it was below the highest
	// known one, and zero after a newer one was read. Written by reader.
	IgnoredIndex id.Version
	// Ready is written by spread, except for Draining, which member sets.
	Ready Readiness
}

func newSharedState(env Environment) *SharedState {
	return &SharedState{Env: env, Table: endpoint.NewTable(), Links: map[id.Host]*Link{}}
}

// HeldVersion returns the version of Held, or zero.
func (s *SharedState) HeldVersion() id.Version {
	if s.Held == nil {
		return 0
	}
	return s.Held.Version
}

// InForceVersion returns the version of InForce, or zero.
func (s *SharedState) InForceVersion() id.Version {
	if s.InForce == nil {
		return 0
	}
	return s.InForce.Version
}

// LinkHosts returns the hosts whose Hello has arrived, in order.
func (s *SharedState) LinkHosts() []id.Host {
	hosts := make([]id.Host, 0, len(s.Links))
	for host, link := range s.Links {
		if link.HelloReceived {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}
