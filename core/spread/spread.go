// Package spread implements the kernel plug-in that distributes configuration
// versions between hosts and decides which version is in force on this host.
//
// A version is pushed as a delta to the neighbours on eager links. All links start
// eager. A host that receives a duplicate push asks the sender to stop pushing on that
// link, so that the remaining eager links form a tree. Hosts that missed a push learn
// the version from heartbeats and request it. A version comes into force once two
// other hosts hold it, or after a timeout.
//
// A starting host serves only after it has established its version floor: the highest
// version held by the peers that answered. A restarted host therefore does not run an
// older version than before while a peer still holds the newer one.
//
// # Usage
//
//	import _ "marjoramsaddle/core/spread" // registers the plug-in
package spread

import (
	"math/rand/v2"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	"marjoramsaddle/core/reader"
)

const component = "spread"

// Names of the counters that this plug-in increments.
const (
	// CountUnwitnessed counts versions that came into force without two witnesses.
	CountUnwitnessed = "unwitnessed"
	// CountFloorUnknown counts starts at which no peer answered.
	CountFloorUnknown = "floor_unknown"
	// CountCrossDomainTimeout counts versions from the platform adopted without an
	// answer from another failure domain.
	CountCrossDomainTimeout = "spread_unasked"
	// CountBelowFloor counts versions from the platform that were rejected because
	// this host holds the same or a newer version, or a neighbour a newer one.
	CountBelowFloor = "spread_below_floor"
	// CountPushStale counts received pushes of a version older than the one held.
	CountPushStale = "spread_push_older"
	// CountPushInvalid counts received pushes that could not be applied.
	CountPushInvalid = "spread_push_invalid"
	// CountDigestConflict counts messages and platform reads with a different digest
	// for the version held.
	CountDigestConflict = "spread_digest_conflict"
	// CountTransferDeferred counts requests for a full snapshot that were answered
	// with Busy.
	CountTransferDeferred = "spread_busy"
	// CountResync counts pauses of the process that started a resynchronisation.
	CountResync = "spread_resync"
	// CountPush counts pushes sent, with the label delta or full.
	CountPush = "spread_push"
)

// plugin implements kernel.Plugin and owns the versions held and in force.
type plugin struct {
	env    kernel.Environment
	shared *kernel.SharedState
	random *rand.Rand

	history         history
	heldFrom        id.Host
	peers           map[id.Host]*peer
	encodedPushes   map[id.Version]*message.Push
	activeTransfers transfers
	pendingWant     pendingWant
	floorState      floorState
	resync          resync
	pendingRead     *pendingRead
}

func newPlugin(env kernel.Environment, shared *kernel.SharedState) *plugin {
	return &plugin{
		env:             env,
		shared:          shared,
		random:          rand.New(rand.NewPCG(env.RandomSeed, 0x737072656164)),
		peers:           map[id.Host]*peer{},
		encodedPushes:   map[id.Version]*message.Push{},
		activeTransfers: transfers{},
	}
}

// Handle processes one kernel event.
func (p *plugin) Handle(at id.Instant, event kernel.Event, out *kernel.Output) {
	if p.floorState.at == 0 {
		p.floorState.at = at
	}
	p.detectPause(at, event, out)
	switch event := event.(type) {
	case kernel.Tick:
		p.advance(at, out)
	case kernel.LinkUp:
		p.peers[event.Host] = newPeer(event.Domain)
	case kernel.LinkDown:
		p.linkDown(event.Host)
	case kernel.Received:
		p.receive(at, event, out)
	case reader.VersionRead:
		p.handleVersionRead(at, event, out)
	case reader.VersionRefused:
		p.refuse(event.Version, event.Reason, out)
	}
}

// advance runs on each tick and after each frame that this package handles. It adopts
// a pending read, requests missing versions, puts a version in force and ends a
// resynchronisation, as far as their conditions are met or deadlines have passed.
func (p *plugin) advance(at id.Instant, out *kernel.Output) {
	p.observePeers(at)
	p.adoptPendingRead(at, out)
	p.repair(at, out)
	p.enforce(at, out)
	p.finishResync(at, out)
}

func (p *plugin) linkDown(host id.Host) {
	delete(p.peers, host)
	delete(p.activeTransfers, host)
	if p.pendingWant.host == host {
		p.pendingWant.expiresAt = 0
	}
}

func (p *plugin) receive(at id.Instant, event kernel.Received, out *kernel.Output) {
	peer := p.peer(event.Host)
	peer.lastReceivedAt = at
	switch body := event.Frame.GetBody().(type) {
	case *message.Frame_Hello:
		peer.hello(body.Hello)
		p.probeAfterHello(event.Host, out)
		p.announceRefused(event.Host, peer, 0, out)
	case *message.Frame_Heartbeat:
		peer.heartbeat(body.Heartbeat)
		p.announceRefused(event.Host, peer, id.Version(body.Heartbeat.GetRefused()), out)
	case *message.Frame_Have:
		p.receiveHave(at, event.Host, body.Have, out)
	case *message.Frame_Push:
		p.receivePush(at, event.Host, body.Push, out)
	case *message.Frame_Want:
		p.receiveWant(at, event.Host, body.Want, out)
	case *message.Frame_Prune:
		peer.eager = false
	case *message.Frame_Busy:
		p.receiveBusy(at, event.Host, body.Busy)
	case *message.Frame_Refused:
		p.receiveRefused(event.Host, body.Refused, out)
	default:
		return
	}
	p.advance(at, out)
}

// peer returns the state of a neighbour. It creates the state on demand, because the
// overlay may have opened the link without an event.
func (p *plugin) peer(host id.Host) *peer {
	known, ok := p.peers[host]
	if !ok {
		var domain id.Domain
		if link := p.shared.Links[host]; link != nil {
			domain = link.Domain
		}
		known = newPeer(domain)
		p.peers[host] = known
	}
	return known
}

// forEachNeighbour calls visit for each peer whose Hello has arrived, in order of
// host.
func (p *plugin) forEachNeighbour(visit func(host id.Host, peer *peer)) {
	for _, host := range p.shared.LinkHosts() {
		visit(host, p.peer(host))
	}
}

// highestHeld returns the highest version that a neighbour holds.
func (p *plugin) highestHeld() id.Version {
	var highestHeld id.Version
	p.forEachNeighbour(func(_ id.Host, peer *peer) { highestHeld = max(highestHeld, peer.held) })
	return highestHeld
}

func (p *plugin) send(host id.Host, frame *message.Frame, out *kernel.Output) {
	out.Emit(kernel.Send{Host: host, Frame: frame})
}

// setReady sets the readiness and emits a change. A draining daemon stays draining.
func (p *plugin) setReady(ready kernel.Readiness, out *kernel.Output) {
	if p.shared.Ready == ready || p.shared.Ready == kernel.Draining {
		return
	}
	p.shared.Ready = ready
	out.Emit(kernel.SetReady{Ready: ready})
}

func (p *plugin) usesPolling() bool { return p.env.Options.Strategy == kernel.StrategyPoll }

func log(out *kernel.Output, text string) { out.Emit(kernel.Log{Part: component, Text: text}) }

// elapsed reports whether span has passed since the time since. It returns false if
// since is zero.
func elapsed(at, since id.Instant, span time.Duration) bool {
	return since != 0 && at.Sub(since) >= span
}
