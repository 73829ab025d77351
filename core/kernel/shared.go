package kernel

import (
	"slices"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/snapshot"
	"marjoramsaddle/core/topology"
)

//go:generate stringer -type=Readiness,Strategy -linecomment -output=kernel_string.go

// Readiness says whether the daemon serves calls.
type Readiness int

// The stages of a daemon's life.
const (
	Starting  Readiness = iota // starting
	Serving                    // serving
	Resyncing                  // resyncing
	Draining                   // draining
)

// Strategy says how versions reach this daemon. All but Delta are baselines
// for measurement.
type Strategy int

// The strategies.
const (
	// StrategyDelta spreads differences between daemons.
	StrategyDelta Strategy = iota // delta
	// StrategyFull spreads whole snapshots between daemons.
	StrategyFull // full
	// StrategyPoll makes each daemon read the platform itself.
	StrategyPoll // poll
)

// ParseStrategy returns the strategy with the given name.
func ParseStrategy(name string) (Strategy, bool) {
	for strategy := StrategyDelta; strategy <= StrategyPoll; strategy++ {
		if strategy.String() == name {
			return strategy, true
		}
	}
	return StrategyDelta, false
}

// Options switch mechanisms off for measurements and for tests that show what
// a mechanism prevents.
type Options struct {
	Strategy Strategy
	// NoFloor lets a daemon serve any version without asking peers.
	NoFloor bool
	// NoWitness puts a version in force before other hosts hold it.
	NoWitness bool
	// AcceptOlder adopts whatever index the platform returns.
	AcceptOlder bool
	// AcceptPartial adopts a version as soon as one of its parts has arrived,
	// without the others.
	AcceptPartial bool
	// NoValidation puts versions in force without validating them.
	NoValidation bool
	// NoResync goes on serving after a pause of the process.
	NoResync bool
}

// Link is the state of the control link to one peer.
type Link struct {
	Host     id.Host
	Domain   id.Domain
	Outbound bool
	// Held and InForce are the peer's versions as last heard.
	Held    id.Version
	InForce id.Version
	// HasMemory is false until the peer has told that it has memory.
	HasMemory bool
	// TableDigest is the hash of the peer's endpoint table as last heard.
	TableDigest uint64
	// LastReceivedAt is when the last message arrived.
	LastReceivedAt id.Instant
	// HelloReceived is true after the peer's Hello has arrived.
	HelloReceived bool
}

// SharedState is the state that plug-ins share. The comment of each field names the
// only plug-in that writes it.
type SharedState struct {
	Env Environment
	// Table is written by member.
	Table *endpoint.Table
	// Links is written by overlay.
	Links map[id.Host]*Link
	// Topology is what Table says about the links of this host, written by
	// overlay.
	Topology topology.View
	// TableSettled is false at start, until the table equals that of a peer or
	// no peer has answered in time, written by overlay. Before that, every
	// host of a starting fleet takes itself for a reader.
	TableSettled bool
	// Held is the newest whole version in memory, written by spread.
	Held *snapshot.Snapshot
	// InForce is the version that traffic uses, written by spread.
	InForce *snapshot.Snapshot
	// Refused is the newest refused version and its reason, written by spread.
	Refused       id.Version
	RefusedReason string
	// IgnoredIndex is the platform's last index of the manifest that was below
	// the highest known one, or zero once a newer one was read. Written by
	// reader.
	IgnoredIndex id.Version
	// Ready is written by spread, Draining by member.
	Ready Readiness
}

func newShared(env Environment) *SharedState {
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

// LinkHosts returns the hosts of all greeted links in order.
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
