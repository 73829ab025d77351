// Package overlay is the kernel plug-in that manages the control links of a daemon.
// It dials the seeds at start and then the neighbours given by the topology, sends a
// Hello on each new link and heartbeats on all of them, and closes links on which
// nothing is received.
//
// # Usage
//
// Import the package to register the plug-in:
//
//	import _ "marjoramsaddle/core/overlay"
package overlay

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	"marjoramsaddle/core/topology"

	"github.com/cespare/xxhash/v2"
)

const (
	heartbeatInterval = time.Second
	maxSilence        = 3 * time.Second
	// pauseThreshold is the gap between two ticks from which the process is assumed
	// to have been paused. It is below maxSilence, so that a host does not take its
	// own pause for silence of its neighbours.
	pauseThreshold = 2 * time.Second
	maxLinks       = 16
	// unwantedLinkGrace is how long a link stays open after the topology has dropped
	// it. It exceeds a round of suspicion and refutation, so that a false suspicion
	// does not rebuild links.
	unwantedLinkGrace = 5 * time.Second
	// settleTimeout is how long a starting host waits for its table to equal that of
	// a peer, whether or not any peer answers.
	settleTimeout = 3 * time.Second
	// topologyInterval is the shortest time between two computations of the topology,
	// which bounds their cost while many hosts come and go.
	topologyInterval = 250 * time.Millisecond
)

type plugin struct {
	env    kernel.Environment
	shared *kernel.SharedState
	random *rand.Rand
	dials  map[dialTarget]*dialState
	timers map[id.Host]*timer
	// nextProbeAt holds when each unreachable failure domain is dialled next.
	nextProbeAt map[id.Domain]id.Instant
	// topologyRevision is the table revision that the topology was computed from.
	topologyRevision   uint64
	topologyComputedAt id.Instant
	lastTickAt         id.Instant
	startedAt          id.Instant
}

// timer holds the times that determine when a link sends a heartbeat and is closed.
type timer struct {
	openedAt id.Instant
	// heartbeat is when the next heartbeat is due.
	heartbeat id.Instant
	// unwantedSince is when the topology dropped the link, or zero.
	unwantedSince id.Instant
}

func newPlugin(env kernel.Environment, shared *kernel.SharedState) kernel.Plugin {
	seed := xxhash.Sum64String("overlay/" + string(env.Self.Host))
	return &plugin{
		env:         env,
		shared:      shared,
		random:      rand.New(rand.NewPCG(env.RandomSeed, seed)),
		dials:       map[dialTarget]*dialState{},
		timers:      map[id.Host]*timer{},
		nextProbeAt: map[id.Domain]id.Instant{},
	}
}

// Handle processes one kernel event.
func (p *plugin) Handle(at id.Instant, event kernel.Event, out *kernel.Output) {
	switch event := event.(type) {
	case kernel.Tick:
		p.tick(at, out)
	case kernel.LinkUp:
		p.linkUp(at, event, out)
	case kernel.LinkDown:
		p.linkDown(at, event)
	case kernel.Received:
		p.received(at, event)
	}
}

func (p *plugin) tick(at id.Instant, out *kernel.Output) {
	p.detectPause(at, out)
	p.updateTopology(at)
	p.updateTableSettled(at)
	p.closeSilentLinks(at, out)
	p.closeUnwantedLinks(at, out)
	p.sendHeartbeats(at, out)
	p.dialAll(at, out)
}

// detectPause restarts the timers after a pause of the process. Nothing was received
// during the pause, so silence says nothing about the neighbours.
func (p *plugin) detectPause(at id.Instant, out *kernel.Output) {
	last := p.lastTickAt
	p.lastTickAt = at
	if last == 0 || at.Sub(last) <= pauseThreshold {
		return
	}
	for _, link := range p.shared.Links {
		link.LastReceivedAt = at
	}
	for _, state := range p.dials {
		state.restartTimeout(at)
	}
	out.Emit(kernel.Count{Name: "process_pause"})
}

// updateTopology recomputes the topology when the table has changed, at most once per
// topologyInterval.
func (p *plugin) updateTopology(at id.Instant) {
	revision := p.shared.Table.Revision()
	due := p.topologyComputedAt == 0 || at.Sub(p.topologyComputedAt) >= topologyInterval
	if revision == p.topologyRevision || !due {
		return
	}
	p.topologyRevision, p.topologyComputedAt = revision, at
	p.shared.Topology = topology.Compute(p.shared.Table, p.env.Self.Host)
}

// updateTableSettled sets TableSettled once the table equals that of a peer or
// settleTimeout has passed.
func (p *plugin) updateTableSettled(at id.Instant) {
	if p.startedAt == 0 {
		p.startedAt = at
	}
	if p.shared.TableSettled {
		return
	}
	settled := at.Sub(p.startedAt) >= settleTimeout
	for _, link := range p.shared.Links {
		settled = settled || (link.HelloReceived && link.TableDigest == p.shared.Table.Digest())
	}
	p.shared.TableSettled = settled
}

func (p *plugin) linkHosts() []id.Host { return slices.Sorted(maps.Keys(p.shared.Links)) }

func (p *plugin) closeSilentLinks(at id.Instant, out *kernel.Output) {
	for _, host := range p.linkHosts() {
		if at.Sub(p.shared.Links[host].LastReceivedAt) > maxSilence {
			p.closeLink(host, out)
		}
	}
}

// closeLink closes a link and notifies the other plug-ins within the same step.
func (p *plugin) closeLink(host id.Host, out *kernel.Output) {
	outbound := p.shared.Links[host].Outbound
	p.removeLink(host)
	out.Emit(kernel.Hangup{Host: host, Outbound: outbound})
	out.Raise(kernel.LinkDown{Host: host, Outbound: outbound})
}

func (p *plugin) removeLink(host id.Host) {
	delete(p.shared.Links, host)
	delete(p.timers, host)
}

// closeUnwantedLinks closes the links that this host dialled and that are no longer
// in the topology. The peer closes those that it dialled.
func (p *plugin) closeUnwantedLinks(at id.Instant, out *kernel.Output) {
	for _, host := range p.linkHosts() {
		link, timer := p.shared.Links[host], p.timers[host]
		switch {
		case p.shared.Topology.HasPeer(host):
			timer.unwantedSince = 0
		case timer.unwantedSince == 0:
			timer.unwantedSince = at
		case link.Outbound && p.canClose(at, link, timer):
			p.closeLink(host, out)
		}
	}
}

// canClose reports whether an unwanted link is no longer needed: another link is in
// the topology, and either the tables are equal or twice the grace period has passed.
func (p *plugin) canClose(at id.Instant, link *kernel.Link, timer *timer) bool {
	if at.Sub(timer.unwantedSince) < unwantedLinkGrace || p.wantedLinks() == 0 {
		return false
	}
	tablesEqual := link.TableDigest == p.shared.Table.Digest()
	return tablesEqual || at.Sub(timer.unwantedSince) > 2*unwantedLinkGrace
}

func (p *plugin) wantedLinks() int {
	count := 0
	for host, link := range p.shared.Links {
		if link.HelloReceived && p.shared.Topology.HasPeer(host) {
			count++
		}
	}
	return count
}

func (p *plugin) sendHeartbeats(at id.Instant, out *kernel.Output) {
	for _, host := range p.linkHosts() {
		timer := p.timers[host]
		if at.Before(timer.heartbeat) {
			continue
		}
		timer.heartbeat = at.Add(heartbeatInterval)
		out.Emit(kernel.Send{Host: host, Frame: p.heartbeat()})
	}
}

func (p *plugin) heartbeat() *message.Frame {
	return &message.Frame{Body: &message.Frame_Heartbeat{Heartbeat: &message.Heartbeat{
		Held:        uint64(p.shared.HeldVersion()),
		InForce:     uint64(p.shared.InForceVersion()),
		TableDigest: p.shared.Table.Digest(),
		Refused:     uint64(p.shared.Refused),
		HasMemory:   p.determinesFloor(),
	}}}
}

func (p *plugin) hello() *message.Frame {
	return &message.Frame{Body: &message.Frame_Hello{Hello: &message.Hello{
		Host:          string(p.env.Self.Host),
		FailureDomain: string(p.env.Self.Domain),
		Incarnation:   uint64(p.env.Self.Incarnation),
		Held:          uint64(p.shared.HeldVersion()),
		InForce:       uint64(p.shared.InForceVersion()),
		TableDigest:   p.shared.Table.Digest(),
		HasMemory:     p.determinesFloor(),
	}}}
}

// determinesFloor reports whether peers may derive the version floor from this host.
// A version that is held but not in force does not count: two restarted hosts would
// accept a stale version from each other.
func (p *plugin) determinesFloor() bool { return p.shared.InForce != nil }
