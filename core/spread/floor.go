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
	// settleDelay leaves time for further neighbours to answer after the first one: a
	// seed may lag behind the two witnesses of the version that this host ran last.
	settleDelay = 300 * time.Millisecond
	// maxSettleDelay bounds the wait for further answers.
	maxSettleDelay = time.Second
	// crossDomainTimeout bounds the wait for a peer in another failure domain before
	// a version from the platform is adopted.
	crossDomainTimeout = time.Second
	// maxAnswerAge is the maximum age of the last message from a peer that still
	// counts as an answer: two heartbeat intervals.
	maxAnswerAge = 2 * time.Second
)

// floor is the progress of a starting host towards its version floor. Until the floor
// is established, no version comes into force.
type floor struct {
	// at is the time of the first event.
	at          id.Instant
	established bool
	// consistent is true when the platform confirmed with a consistent read that the
	// version held is not stale.
	consistent bool
	// answered counts the peers that sent Hello, inForce those of them that have a
	// version in force. The Since fields hold when each count last rose above zero.
	answered      int
	answeredSince id.Instant
	inForce       int
	inForceSince  id.Instant
}

// pendingRead is a version from the platform that is held back until a peer in
// another failure domain answers.
type pendingRead struct {
	snapshot   *snapshot.Snapshot
	consistent bool
	deadline   id.Instant
}

// observePeers updates the counts of peers that have answered.
func (p *plugin) observePeers(at id.Instant) {
	if p.floor.established {
		return
	}
	p.floor.answered, p.floor.inForce = 0, 0
	p.forEachNeighbour(func(_ id.Host, peer *peer) {
		p.floor.answered++
		if peer.inForce {
			p.floor.inForce++
		}
	})
	p.floor.answeredSince = nonZeroSince(at, p.floor.answeredSince, p.floor.answered)
	p.floor.inForceSince = nonZeroSince(at, p.floor.inForceSince, p.floor.inForce)
}

// nonZeroSince returns the time since which a count has been above zero, or zero.
func nonZeroSince(at, previous id.Instant, count int) id.Instant {
	if count == 0 {
		return 0
	}
	if previous == 0 {
		return at
	}
	return previous
}

// settled reports whether the wait for further answers may end, given the time of the
// first answer and the number of answers.
func (p *plugin) settled(at, first id.Instant, answers int) bool {
	if answers >= min(requiredWitnesses, p.liveOthers()) && elapsed(at, first, settleDelay) {
		return true
	}
	return elapsed(at, first, maxSettleDelay)
}

// floorEstablished reports whether the version held may come into force, and
// establishes the floor when its conditions are met. Peers with a version in force
// determine the floor; without any, the platform's version counts if a consistent
// read returned it.
func (p *plugin) floorEstablished(at id.Instant, out *kernel.Output) bool {
	if p.floor.established || p.env.Options.NoFloor {
		return true
	}
	if p.shared.Held == nil {
		return false
	}
	switch {
	case p.floor.inForce > 0:
		p.floor.established = p.settled(at, p.floor.inForceSince, p.floor.inForce) &&
			p.shared.HeldVersion() >= p.highestHeld()
	case p.floor.answered > 0:
		p.floor.established = p.floor.consistent && p.settled(at, p.floor.answeredSince, p.floor.answered)
	case len(p.env.Seeds) == 0 || elapsed(at, p.floor.at, isolatedStartTimeout):
		p.floor.established = p.floor.consistent
		if p.floor.established {
			out.Emit(kernel.Count{Name: CountFloorUnknown})
			log(out, "No peer has answered: the version is taken from the platform alone.")
		}
	}
	return p.floor.established
}

func (p *plugin) handleVersionRead(at id.Instant, event reader.VersionRead, out *kernel.Output) {
	read := event.Snapshot
	if held := p.shared.Held; held != nil && held.Version == read.Version {
		if held.Digest != read.Digest {
			p.reportConflict(read.Version, "the platform", out)
			return
		}
		p.floor.consistent = p.floor.consistent || event.Consistent
		p.enforce(at, out)
		return
	}
	deadline := at.Add(crossDomainTimeout)
	if p.pendingRead != nil {
		deadline = min(deadline, p.pendingRead.deadline)
	}
	p.pendingRead = &pendingRead{snapshot: read, consistent: event.Consistent, deadline: deadline}
	p.observePeers(at)
	p.release(at, out)
}

// release adopts the pending version from the platform. Before the floor is
// established, it first waits for a peer in another failure domain, which may hold a
// newer version. Afterwards belowFloor suffices, because the pending version is newer
// than every version that this host has run.
func (p *plugin) release(at id.Instant, out *kernel.Output) {
	if p.pendingRead == nil {
		return
	}
	read := p.pendingRead
	if !p.floor.established && !p.otherDomainAnswered(at) {
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
	p.floor.consistent = read.consistent
	p.adopt(at, read.snapshot, "", out)
}

func (p *plugin) belowFloor(version id.Version) bool {
	if p.env.Options.AcceptOlder {
		return false
	}
	if version <= p.shared.HeldVersion() {
		return true
	}
	return !p.env.Options.NoFloor && version < p.highestHeld()
}

func (p *plugin) otherDomainAnswered(at id.Instant) bool {
	if p.env.Options.NoFloor || p.polling() || !p.otherDomains() {
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

// otherDomains reports whether a host in another failure domain is known.
func (p *plugin) otherDomains() bool {
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
