package spread

import (
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/reader"
	"marjoramsaddle/core/snapshot"
)

const (
	// isolatedStartTimeout is how long a starting host waits for a peer before it
	// relies on the platform alone.
	isolatedStartTimeout = 3 * time.Second
	// settleDelay is how long to wait for more answers after the first. The first
	// answer may come from a seed that holds an older version than this host last
	// ran.
	settleDelay = 300 * time.Millisecond
	// maxSettleDelay bounds the wait for more answers when too few peers answer.
	maxSettleDelay = time.Second
	// crossDomainTimeout bounds the wait for a peer in another failure domain before
	// a version from the platform is adopted.
	crossDomainTimeout = time.Second
	// maxAnswerAge is the maximum age of the last message from a peer that still
	// counts as an answer: two heartbeat intervals.
	maxAnswerAge = 2 * time.Second
)

// floorState records which peers have answered since the start, and whether the
// version floor is established. Until it is, no version comes into force.
type floorState struct {
	// at is the time of the first event.
	at          id.Instant
	established bool
	// fromConsistentRead is true if a consistent read of the platform returned the
	// version held, which is therefore not stale.
	fromConsistentRead bool
	// answeredPeers is the number of linked peers that have sent Hello.
	answeredPeers int
	// answeredPeersSince is when answeredPeers last rose above zero, or zero.
	answeredPeersSince id.Instant
	// inForce is the number of these peers that have a version in force.
	inForce int
	// inForceSince is when inForce last rose above zero, or zero.
	inForceSince id.Instant
}

// pendingRead is a version from the platform that is adopted once a peer in another
// failure domain has answered, or at the deadline.
type pendingRead struct {
	snapshot           *snapshot.Snapshot
	fromConsistentRead bool
	deadline           id.Instant
}

// observePeers updates the counts of peers that have answered.
func (p *plugin) observePeers(at id.Instant) {
	if p.floorState.established {
		return
	}
	p.floorState.answeredPeers, p.floorState.inForce = 0, 0
	p.forEachNeighbour(func(_ id.Host, peer *peer) {
		p.floorState.answeredPeers++
		if peer.inForce {
			p.floorState.inForce++
		}
	})
	p.floorState.answeredPeersSince = nonZeroSince(at, p.floorState.answeredPeersSince, p.floorState.answeredPeers)
	p.floorState.inForceSince = nonZeroSince(at, p.floorState.inForceSince, p.floorState.inForce)
}

// nonZeroSince returns the time since which count has been above zero, or zero if it
// is zero now. previous is the result of the last call.
func nonZeroSince(at, previous id.Instant, count int) id.Instant {
	if count == 0 {
		return 0
	}
	if previous == 0 {
		return at
	}
	return previous
}

// settled reports whether the wait for more answers may end: settleDelay after the
// first answer if requiredWitnesses peers (or all live hosts) have answered, otherwise
// maxSettleDelay after it.
func (p *plugin) settled(at, firstAnswerAt id.Instant, answers int) bool {
	if answers >= min(requiredWitnesses, p.liveOthers()) && elapsed(at, firstAnswerAt, settleDelay) {
		return true
	}
	return elapsed(at, firstAnswerAt, maxSettleDelay)
}

// establishFloor establishes the floor if its conditions are met, and reports whether
// the version held may come into force. If peers have a version in force, the version
// held must be no older than any that a neighbour holds; otherwise the version read
// from the platform is used, but only from a consistent read.
func (p *plugin) establishFloor(at id.Instant, out *kernel.Output) bool {
	if p.floorState.established || p.env.Options.NoFloor {
		return true
	}
	if p.shared.Held == nil {
		return false
	}
	switch {
	case p.floorState.inForce > 0:
		p.floorState.established = p.settled(at, p.floorState.inForceSince, p.floorState.inForce) &&
			p.shared.HeldVersion() >= p.highestHeld()
	case p.floorState.answeredPeers > 0:
		p.floorState.established = p.floorState.fromConsistentRead && p.settled(at, p.floorState.answeredPeersSince, p.floorState.answeredPeers)
	case len(p.env.Seeds) == 0 || elapsed(at, p.floorState.at, isolatedStartTimeout):
		p.floorState.established = p.floorState.fromConsistentRead
		if p.floorState.established {
			out.Emit(kernel.Count{Name: CountFloorUnknown})
			log(out, "No peer has answered: the version is taken from the platform alone.")
		}
	}
	return p.floorState.established
}

func (p *plugin) handleVersionRead(at id.Instant, event reader.VersionRead, out *kernel.Output) {
	read := event.Snapshot
	if held := p.shared.Held; held != nil && held.Version == read.Version {
		if held.Digest != read.Digest {
			p.reportConflict(read.Version, "the platform", out)
			return
		}
		p.floorState.fromConsistentRead = p.floorState.fromConsistentRead || event.Consistent
		p.enforce(at, out)
		return
	}
	deadline := at.Add(crossDomainTimeout)
	if p.pendingRead != nil {
		deadline = min(deadline, p.pendingRead.deadline)
	}
	p.pendingRead = &pendingRead{snapshot: read, fromConsistentRead: event.Consistent, deadline: deadline}
	p.observePeers(at)
	p.adoptPendingRead(at, out)
}

// adoptPendingRead adopts the pending version from the platform, unless it is below
// the floor. Before the floor is established, it first waits for a peer in another
// failure domain, which may hold a newer version. Once the floor is established, no
// wait is needed: belowFloor rejects versions older than those this host has run.
func (p *plugin) adoptPendingRead(at id.Instant, out *kernel.Output) {
	if p.pendingRead == nil {
		return
	}
	read := p.pendingRead
	if !p.floorState.established && !p.crossDomainSatisfied(at) {
		if at.Before(read.deadline) {
			return
		}
		out.Emit(kernel.Count{Name: CountCrossDomainTimeout})
	}
	p.pendingRead = nil
	if p.belowFloor(read.snapshot.Version) {
		out.Emit(kernel.Count{Name: CountBelowFloor})
		return
	}
	p.floorState.fromConsistentRead = read.fromConsistentRead
	p.adopt(at, read.snapshot, "", out)
}

// belowFloor reports whether a version from the platform must not be adopted: it is
// not newer than the version held, or older than one that a neighbour holds.
func (p *plugin) belowFloor(version id.Version) bool {
	if p.env.Options.AcceptOlder {
		return false
	}
	if version <= p.shared.HeldVersion() {
		return true
	}
	return !p.env.Options.NoFloor && version < p.highestHeld()
}

// crossDomainSatisfied reports whether a version from the platform may be adopted
// without waiting for other failure domains: a peer in one of them has answered within
// maxAnswerAge, or no answer is required.
func (p *plugin) crossDomainSatisfied(at id.Instant) bool {
	if p.env.Options.NoFloor || p.usesPolling() || !p.hasOtherDomains() {
		return true
	}
	answered := false
	p.forEachNeighbour(func(host id.Host, peer *peer) {
		if p.inOtherDomain(host) && at.Sub(peer.lastReceivedAt) <= maxAnswerAge {
			answered = true
		}
	})
	return answered
}

// hasOtherDomains reports whether another failure domain has a seed or a host that is
// not marked dead.
func (p *plugin) hasOtherDomains() bool {
	for _, seed := range p.env.Seeds {
		if seed.Domain != p.env.Self.Domain {
			return true
		}
	}
	others := p.shared.Table.Select(func(entry endpoint.Entry) bool {
		return entry.Domain != p.env.Self.Domain && entry.State != endpoint.Dead
	})
	return len(others) > 0
}
