// Package member is the kernel plug-in that keeps the endpoint table. It
// announces the entry of its own host, watches the neighbours, sends changed
// entries over all links, and repairs differences between tables.
//
// An entry goes from alive to suspect when a neighbour hears nothing for 3 s,
// and to dead 10 s later unless its host refutes the suspicion with a higher
// sequence. Dead entries are removed after 10 minutes.
//
// Usage: import the package for its registration.
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

// pauseLimit is the gap between two ticks that counts as a pause of the
// process.
const pauseLimit = 2 * time.Second

type plugin struct {
	env    kernel.Environment
	shared *kernel.SharedState
	random *rand.Rand
	own    own
	// changed holds the entries to send with the next tick, and the host that
	// each came from.
	changed map[id.Host]id.Host
	watch   watch
	peers   map[id.Host]*peer
	// repairedAt is when this host last asked a peer for a repair.
	repairedAt id.Instant
	// listed holds the state of each host in the platform's last list.
	listed map[id.Host]endpoint.State

	told publisher

	tickedAt id.Instant
}

func newPlugin(env kernel.Environment, shared *kernel.SharedState) kernel.Plugin {
	seed := xxhash.Sum64String("member/" + string(env.Self.Host))
	p := &plugin{
		env:     env,
		shared:  shared,
		random:  rand.New(rand.NewPCG(env.RandomSeed, seed)),
		own:     own{entry: env.Self},
		changed: map[id.Host]id.Host{},
		watch:   newWatch(),
		peers:   map[id.Host]*peer{},
		listed:  map[id.Host]endpoint.State{},
		told:    publisher{unreachable: map[id.Domain]lostDomain{}},
	}
	p.own.entry.State = endpoint.Alive
	p.own.entry.Sequence = max(1, env.Self.Sequence)
	p.adopt(p.own.entry, "")
	return p
}

// Handle applies one event.
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
	if p.tickedAt != 0 && at.Sub(p.tickedAt) > pauseLimit {
		p.watch.restart(at)
	}
	p.tickedAt = at
	p.watchNeighbours(at, out)
	p.age(at, out)
	p.retryRepairs(at, out)
	p.sendChanges(out)
	p.sendTransfers(out)
	p.publish(at, out)
}

// adopt merges an entry and marks it for sending. from is the host that sent
// it, or empty.
func (p *plugin) adopt(entry endpoint.Entry, from id.Host) bool {
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
	p.watch.heard(at, event.Host)
	if _, linked := p.shared.Links[event.Host]; !linked {
		return
	}
	switch body := event.Frame.GetBody().(type) {
	case *message.Frame_Hello:
		p.greeted(at, event.Host, body.Hello.GetTableDigest(), out)
	case *message.Frame_Heartbeat:
		p.compare(at, event.Host, body.Heartbeat.GetTableDigest(), out)
	case *message.Frame_Entries:
		p.merge(event.Host, body.Entries, out)
	case *message.Frame_TableDigest:
		p.digestReceived(event.Host, body.TableDigest, out)
	case *message.Frame_TableWant:
		p.wantReceived(event.Host, body.TableWant, out)
	case *message.Frame_Busy:
		p.busyReceived(at, event.Host, body.Busy)
	}
}
