// Package overlay is the kernel plug-in that keeps the control links of a
// daemon. It dials the seeds at start and then the neighbours that the
// topology names, greets each new link, sends heartbeats, and hangs up links
// on which nothing is heard.
//
// Usage: import the package for its registration.
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
	silenceLimit      = 3 * time.Second
	// pauseLimit is the gap between two ticks that counts as a pause of the
	// process. It lies below silenceLimit, so that a paused host does not
	// blame its neighbours for its own pause.
	pauseLimit = 2 * time.Second
	maxLinks   = 16
	// keepUnwanted is how long a link outlives its place in the topology. It
	// exceeds a round of suspicion and refutation, so that a false suspicion
	// does not rebuild links.
	keepUnwanted = 5 * time.Second
	// settleLimit is how long a starting host waits for a table equal to its
	// own, as long as it waits for any peer to answer.
	settleLimit = 3 * time.Second
	// topologyInterval bounds the cost of the topology during heavy churn.
	topologyInterval = 250 * time.Millisecond
)

type plugin struct {
	env    kernel.Environment
	shared *kernel.SharedState
	random *rand.Rand
	dials  map[target]*dial
	timers map[id.Host]*timer
	// probes holds when each unreachable failure domain is dialled next.
	probes map[id.Domain]id.Instant
	// planned is the table revision that Topology was made from, at plannedAt.
	planned   uint64
	plannedAt id.Instant
	tickedAt  id.Instant
	startedAt id.Instant
}

// timer holds the instants of one link.
type timer struct {
	opened    id.Instant
	heartbeat id.Instant
	// unwanted is when the topology dropped the link, or zero.
	unwanted id.Instant
}

func newPlugin(env kernel.Environment, shared *kernel.SharedState) kernel.Plugin {
	seed := xxhash.Sum64String("overlay/" + string(env.Self.Host))
	return &plugin{
		env:    env,
		shared: shared,
		random: rand.New(rand.NewPCG(env.RandomSeed, seed)),
		dials:  map[target]*dial{},
		timers: map[id.Host]*timer{},
		probes: map[id.Domain]id.Instant{},
	}
}

// Handle applies one event.
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
	p.resume(at, out)
	p.plan(at)
	p.settle(at)
	p.dropSilent(at, out)
	p.dropUnwanted(at, out)
	p.sendHeartbeats(at, out)
	p.dialAll(at, out)
}

// resume restarts the timers after a pause of the process: nothing could be
// heard meanwhile, so silence says nothing about the neighbours.
func (p *plugin) resume(at id.Instant, out *kernel.Output) {
	last := p.tickedAt
	p.tickedAt = at
	if last == 0 || at.Sub(last) <= pauseLimit {
		return
	}
	for _, link := range p.shared.Links {
		link.LastReceivedAt = at
	}
	for _, each := range p.dials {
		each.restart(at)
	}
	out.Emit(kernel.Count{Name: "process_pause"})
}

// plan brings the topology up to date with the table.
func (p *plugin) plan(at id.Instant) {
	revision := p.shared.Table.Revision()
	due := p.plannedAt == 0 || at.Sub(p.plannedAt) >= topologyInterval
	if revision == p.planned || !due {
		return
	}
	p.planned, p.plannedAt = revision, at
	p.shared.Topology = topology.Compute(p.shared.Table, p.env.Self.Host)
}

// settle notes that the table can be relied on.
func (p *plugin) settle(at id.Instant) {
	if p.startedAt == 0 {
		p.startedAt = at
	}
	if p.shared.TableSettled {
		return
	}
	settled := at.Sub(p.startedAt) >= settleLimit
	for _, link := range p.shared.Links {
		settled = settled || (link.HelloReceived && link.TableDigest == p.shared.Table.Digest())
	}
	p.shared.TableSettled = settled
}

func (p *plugin) linkHosts() []id.Host { return slices.Sorted(maps.Keys(p.shared.Links)) }

func (p *plugin) dropSilent(at id.Instant, out *kernel.Output) {
	for _, host := range p.linkHosts() {
		if at.Sub(p.shared.Links[host].LastReceivedAt) > silenceLimit {
			p.hangUp(host, out)
		}
	}
}

// hangUp closes a link and tells the other plug-ins within the same step.
func (p *plugin) hangUp(host id.Host, out *kernel.Output) {
	outbound := p.shared.Links[host].Outbound
	p.forget(host)
	out.Emit(kernel.Hangup{Host: host, Outbound: outbound})
	out.Raise(kernel.LinkDown{Host: host, Outbound: outbound})
}

func (p *plugin) forget(host id.Host) {
	delete(p.shared.Links, host)
	delete(p.timers, host)
}

// dropUnwanted closes the links that this host dialled and the topology does
// not want. The peer closes the ones that it dialled.
func (p *plugin) dropUnwanted(at id.Instant, out *kernel.Output) {
	for _, host := range p.linkHosts() {
		link, timer := p.shared.Links[host], p.timers[host]
		switch {
		case p.shared.Topology.HasPeer(host):
			timer.unwanted = 0
		case timer.unwanted == 0:
			timer.unwanted = at
		case link.Outbound && p.replaced(at, link, timer):
			p.hangUp(host, out)
		}
	}
}

// replaced reports whether an unwanted link has done its work: the tables are
// equal, or other links have taken over.
func (p *plugin) replaced(at id.Instant, link *kernel.Link, timer *timer) bool {
	if at.Sub(timer.unwanted) < keepUnwanted || p.wantedLinks() == 0 {
		return false
	}
	synchronised := link.TableDigest == p.shared.Table.Digest()
	return synchronised || at.Sub(timer.unwanted) > 2*keepUnwanted
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
		HasMemory:   p.hasMemory(),
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
		HasMemory:     p.hasMemory(),
	}}}
}

// hasMemory reports whether this host vouches for a version floor. A version
// that is held but not in force does not count: two restarted hosts would take
// a stale version from each other.
func (p *plugin) hasMemory() bool { return p.shared.InForce != nil }
