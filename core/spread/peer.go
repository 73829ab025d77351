package spread

import (
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/message"
)

// peer is the state kept for one neighbour.
type peer struct {
	domain id.Domain
	// eager is true if new versions are pushed on this link. It becomes false when a
	// push on the link is a duplicate, and true when either end requests a version.
	eager bool
	// held is the highest version that the peer is known to hold.
	held id.Version
	// inForce is true when the peer has a version in force. Only such peers determine
	// the version floor: restarted hosts that merely hold a version could pass a
	// stale one to each other.
	inForce        bool
	lastReceivedAt id.Instant
	// announcedVersion is the last version announced to the peer.
	announcedVersion id.Version
	// announcedRefusal is the last refused version announced to the peer.
	announcedRefusal id.Version
	// retryAt is the earliest time for the next request to the peer.
	retryAt id.Instant
}

// newPeer returns the state of a peer with an eager link.
func newPeer(domain id.Domain) *peer { return &peer{domain: domain, eager: true} }

func (p *peer) hello(hello *message.Hello) {
	p.domain = id.Domain(hello.GetFailureDomain())
	p.held = id.Version(hello.GetHeld())
	p.inForce = hello.GetInForce() > 0
}

func (p *peer) heartbeat(beat *message.Heartbeat) {
	p.held = max(p.held, id.Version(beat.GetHeld()))
	p.inForce = p.inForce || beat.GetInForce() > 0
}

// recordHeld records that the peer holds a version.
func (p *peer) recordHeld(version id.Version) { p.held = max(p.held, version) }
