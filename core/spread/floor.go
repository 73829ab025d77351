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
	// lonelyTime is how long a start waits for a peer before the platform
	// decides alone.
	lonelyTime = 3 * time.Second
	// settleTime lets the answers of further neighbours arrive after the first:
	// a seed may be behind the two witnesses of the version that this host ran.
	settleTime = 300 * time.Millisecond
	// settleLimit ends the wait for further answers.
	settleLimit = time.Second
	// askTime bounds the wait for another failure domain before a version from
	// the platform is released.
	askTime = time.Second
	// freshTime is the age up to which a peer's word counts as an answer. It
	// is two heartbeats.
	freshTime = 2 * time.Second
)

// start is the state of the rules for the version floor.
type start struct {
	at          id.Instant
	established bool
	// consistent is true when the platform vouched for the version held.
	consistent   bool
	greeted      int
	greetedSince id.Instant
	memory       int
	memorySince  id.Instant
}

// reading is a version from the platform that waits for an answer from another
// failure domain.
type reading struct {
	snapshot   *snapshot.Snapshot
	consistent bool
	deadline   id.Instant
}

// observePeers counts the peers that have answered.
func (p *plugin) observePeers(at id.Instant) {
	if p.start.established {
		return
	}
	p.start.greeted, p.start.memory = 0, 0
	p.neighbours(func(_ id.Host, peer *peer) {
		p.start.greeted++
		if peer.memory {
			p.start.memory++
		}
	})
	p.start.greetedSince = since(at, p.start.greetedSince, p.start.greeted)
	p.start.memorySince = since(at, p.start.memorySince, p.start.memory)
}

// since keeps the instant from which a count has been above zero.
func since(at, known id.Instant, count int) id.Instant {
	if count == 0 {
		return 0
	}
	if known == 0 {
		return at
	}
	return known
}

// settled reports whether enough neighbours have answered.
func (p *plugin) settled(at, first id.Instant, answers int) bool {
	if answers >= min(witnesses, p.liveOthers()) && elapsed(at, first, settleTime) {
		return true
	}
	return elapsed(at, first, settleLimit)
}

// floorEstablished reports whether the version held may come into force. Peers
// with memory decide; without them the platform does.
func (p *plugin) floorEstablished(at id.Instant, out *kernel.Output) bool {
	if p.start.established || p.env.Options.NoFloor {
		return true
	}
	if p.shared.Held == nil {
		return false
	}
	switch {
	case p.start.memory > 0:
		p.start.established = p.settled(at, p.start.memorySince, p.start.memory) &&
			p.shared.HeldVersion() >= p.highest()
	case p.start.greeted > 0:
		p.start.established = p.start.consistent && p.settled(at, p.start.greetedSince, p.start.greeted)
	case len(p.env.Seeds) == 0 || elapsed(at, p.start.at, lonelyTime):
		p.start.established = p.start.consistent
		if p.start.established {
			out.Emit(kernel.Count{Name: CountFloorUnknown})
			log(out, "No peer has answered: the platform alone decides on the version.")
		}
	}
	return p.start.established
}

func (p *plugin) versionRead(at id.Instant, event reader.VersionRead, out *kernel.Output) {
	read := event.Snapshot
	if held := p.shared.Held; held != nil && held.Version == read.Version {
		if held.Digest != read.Digest {
			p.conflict(read.Version, "the platform", out)
			return
		}
		p.start.consistent = p.start.consistent || event.Consistent
		p.enforce(at, out)
		return
	}
	deadline := at.Add(askTime)
	if p.reading != nil {
		deadline = min(deadline, p.reading.deadline)
	}
	p.reading = &reading{snapshot: read, consistent: event.Consistent, deadline: deadline}
	p.observePeers(at)
	p.release(at, out)
}

// release adopts a version from the platform. Before the floor is established,
// another failure domain is asked first whether it knows a newer one. Later,
// belowKnown is enough: the version is newer than all that this host has run.
func (p *plugin) release(at id.Instant, out *kernel.Output) {
	if p.reading == nil {
		return
	}
	read := p.reading
	if !p.start.established && !p.otherDomainAnswered(at) {
		if at.Before(read.deadline) {
			return
		}
		out.Emit(kernel.Count{Name: CountCrossDomainTimeout})
	}
	p.reading = nil
	if p.belowKnown(read.snapshot.Version) {
		out.Emit(kernel.Count{Name: CountBelowFloor})
		return
	}
	p.start.consistent = read.consistent
	p.adopt(at, read.snapshot, "", out)
}

func (p *plugin) belowKnown(version id.Version) bool {
	if p.env.Options.AcceptOlder {
		return false
	}
	if version <= p.shared.HeldVersion() {
		return true
	}
	return !p.env.Options.NoFloor && version < p.highest()
}

func (p *plugin) otherDomainAnswered(at id.Instant) bool {
	if p.env.Options.NoFloor || p.poll() || !p.otherDomains() {
		return true
	}
	answered := false
	p.neighbours(func(host id.Host, peer *peer) {
		if p.remote(host) && at.Sub(peer.heardAt) <= freshTime {
			answered = true
		}
	})
	return answered
}

// otherDomains reports whether a host of another failure domain is known.
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
