package spread

import (
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/message"
)

// peer is what this host knows of a neighbour's versions.
type peer struct {
	domain id.Domain
	// eager is false when pushes on the link are known to be duplicates.
	eager bool
	// held is the highest version that the peer is known to hold.
	held id.Version
	// memory is true when the peer vouches for a version floor: it has a
	// version in force. A version that is only held does not count, because
	// restarted hosts would take a stale version from each other.
	memory  bool
	heardAt id.Instant
	// haveSent is the version last announced to the peer.
	haveSent id.Version
	// refusedSent is the refused version last announced to the peer.
	refusedSent id.Version
	// retryAt is when the peer may be asked for a version again.
	retryAt id.Instant
}

// newPeer starts with an eager link; duplicates turn it lazy.
func newPeer(domain id.Domain) *peer { return &peer{domain: domain, eager: true} }

func (p *peer) hello(hello *message.Hello) {
	p.domain = id.Domain(hello.GetFailureDomain())
	p.held = id.Version(hello.GetHeld())
	p.memory = hello.GetInForce() > 0
}

func (p *peer) heartbeat(beat *message.Heartbeat) {
	p.held = max(p.held, id.Version(beat.GetHeld()))
	p.memory = p.memory || beat.GetInForce() > 0
}

// holds records that the peer holds a version.
func (p *peer) holds(version id.Version) { p.held = max(p.held, version) }
