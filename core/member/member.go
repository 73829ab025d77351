// Package member is the kernel plug-in that maintains the endpoint table. It
// announces this host's entry, detects failed neighbours, broadcasts changed entries
// over all links and repairs differences between the tables of two hosts.
//
// A host becomes suspect when a neighbour has received nothing from it for 3 s, and
// dead 10 s later unless it refutes the suspicion with a higher sequence number. Dead
// entries are removed after 10 minutes.
//
// # Usage
//
// Import the package to register the plug-in:
//
//	import _ "marjoramsaddle/core/member"
package member

import (
	"math/rand/v2"
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"

	"github.com/cespare/xxhash/v2"
)

// pauseThreshold is the gap between two ticks from which the process is assumed to
// have been paused.
const pauseThreshold = 2 * time.Second

type plugin struct {
	env       kernel.Environment
	shared    *kernel.SharedState
	random    *rand.Rand
	localHost localHost
	// changed maps each host whose entry is sent with the next tick to the host that
	// the entry came from, or to "" for a local change.
	changed  map[id.Host]id.Host
	detector detector
	peers    map[id.Host]*peer
	// lastRepairAt is when this host last requested a repair from any peer.
	lastRepairAt id.Instant
	// listedStates holds the states from the platform's most recent host list.
	listedStates map[id.Host]endpoint.State

	published publication

	lastTickAt id.Instant
}

func newPlugin(env kernel.Environment, shared *kernel.SharedState) kernel.Plugin {
	seed := xxhash.Sum64String("member/" + string(env.Self.Host))
	p := &plugin{
		env:          env,
		shared:       shared,
		random:       rand.New(rand.NewPCG(env.RandomSeed, seed)),
		localHost:    localHost{entry: env.Self},
		changed:      map[id.Host]id.Host{},
		detector:     newDetector(),
		peers:        map[id.Host]*peer{},
		listedStates: map[id.Host]endpoint.State{},
		published:    publication{unreachable: map[id.Domain]unreachableDomain{}},
	}
	p.localHost.entry.State = endpoint.Alive
	p.localHost.entry.Sequence = max(1, env.Self.Sequence)
	p.mergeAndQueue(p.localHost.entry, "")
	return p
}

// Handle processes one kernel event.
func (p *plugin) Handle(at id.Instant, event kernel.Event, out *kernel.Output) {
	switch event := event.(type) {
	case kernel.Tick:
		p.tick(at, out)
	case kernel.LinkDown:
		p.linkDown(event)
	case kernel.Received:
		p.received(at, event, out)
	case kernel.BackendState:
		p.backendState(at, event)
	case kernel.DrainRequested:
		p.drain(out)
	case kernel.HostsListed:
		p.hostsListed(at, event)
	}
}

func (p *plugin) tick(at id.Instant, out *kernel.Output) {
	if p.lastTickAt != 0 && at.Sub(p.lastTickAt) > pauseThreshold {
		p.detector.resetTimers(at)
	}
	p.lastTickAt = at
	p.checkNeighbours(at, out)
	p.expireStates(at, out)
	p.retryRepairs(at, out)
	p.sendChanges(out)
	p.sendTransfers(out)
	p.publish(at, out)
}

// mergeAndQueue merges an entry and queues it for broadcast. from is the host that
// sent it, or "". It reports whether the table changed.
func (p *plugin) mergeAndQueue(entry endpoint.Entry, from id.Host) bool {
	if !p.shared.Table.Merge(entry) {
		return false
	}
	p.changed[entry.Host] = from
	return true
}

func (p *plugin) linkDown(event kernel.LinkDown) {
	link, exists := p.shared.Links[event.Host]
	if !exists || link.Outbound == event.Outbound {
		delete(p.peers, event.Host)
	}
}

func (p *plugin) received(at id.Instant, event kernel.Received, out *kernel.Output) {
	p.detector.recordMessage(at, event.Host)
	if _, linked := p.shared.Links[event.Host]; !linked {
		return
	}
	switch body := event.Frame.GetBody().(type) {
	case *message.Frame_Hello:
		p.helloReceived(at, event.Host, body.Hello.GetTableDigest(), out)
	case *message.Frame_Heartbeat:
		p.heartbeatReceived(at, event.Host, body.Heartbeat.GetTableDigest(), out)
	case *message.Frame_Entries:
		p.entriesReceived(event.Host, body.Entries, out)
	case *message.Frame_TableDigest:
		p.digestReceived(event.Host, body.TableDigest, out)
	case *message.Frame_TableWant:
		p.wantReceived(event.Host, body.TableWant, out)
	case *message.Frame_Busy:
		p.busyReceived(at, event.Host, body.Busy)
	}
}
