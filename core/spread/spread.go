// Package spread is the kernel plug-in that owns the versions held and in
// force. It passes versions on to neighbours as deltas over a tree of eager
// links, repairs losses by heartbeat and want, and puts a version in force
// once other hosts hold it.
//
// A host serves only after its start has established the version floor: the
// highest version that an answering peer holds. This keeps a restarted host
// from running a version older than the one it ran before.
//
// Usage:
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

const part = "spread"

// The counters of this plug-in.
const (
	// CountUnwitnessed counts versions put in force without two witnesses.
	CountUnwitnessed = "unwitnessed"
	// CountFloorUnknown counts starts without an answering peer.
	CountFloorUnknown = "floor_unknown"
	// CountCrossDomainTimeout counts versions from the platform released without an
	// answer from another failure domain.
	CountCrossDomainTimeout = "spread_unasked"
	// CountBelowFloor counts versions from the platform below a known one.
	CountBelowFloor = "spread_below_floor"
	// CountPushStale counts pushes of a version below the one held.
	CountPushStale = "spread_push_older"
	// CountPushInvalid counts pushes that could not be applied.
	CountPushInvalid = "spread_push_invalid"
	// CountDigestConflict counts different content under one version.
	CountDigestConflict = "spread_digest_conflict"
	// CountTransferDeferred counts full transfers that were put off.
	CountTransferDeferred = "spread_busy"
	// CountResync counts pauses after which the daemon resynchronised.
	CountResync = "spread_resync"
	// CountPush counts pushes sent, by the labels delta and full.
	CountPush = "spread_push"
)

// plugin owns the versions held and in force.
type plugin struct {
	env    kernel.Environment
	shared *kernel.SharedState
	random *rand.Rand

	history  history
	heldFrom id.Host
	peers    map[id.Host]*peer
	encoded  map[id.Version]*message.Push
	transfer transfers
	want     want
	start    start
	resync   resync
	reading  *reading
}

func newPlugin(env kernel.Environment, shared *kernel.SharedState) *plugin {
	return &plugin{
		env:      env,
		shared:   shared,
		random:   rand.New(rand.NewPCG(env.RandomSeed, 0x737072656164)),
		peers:    map[id.Host]*peer{},
		encoded:  map[id.Version]*message.Push{},
		transfer: transfers{},
	}
}

// Handle applies one event.
func (p *plugin) Handle(at id.Instant, event kernel.Event, out *kernel.Output) {
	if p.start.at == 0 {
		p.start.at = at
	}
	p.noticePause(at, event, out)
	switch event := event.(type) {
	case kernel.Tick:
		p.progress(at, out)
	case kernel.LinkUp:
		p.peers[event.Host] = newPeer(event.Domain)
	case kernel.LinkDown:
		p.linkDown(event.Host)
	case kernel.Received:
		p.receive(at, event, out)
	case reader.VersionRead:
		p.versionRead(at, event, out)
	case reader.VersionRefused:
		p.refuse(event.Version, event.Reason, out)
	}
}

// progress does what has become due.
func (p *plugin) progress(at id.Instant, out *kernel.Output) {
	p.observePeers(at)
	p.release(at, out)
	p.repair(at, out)
	p.enforce(at, out)
	p.finishResync(at, out)
}

func (p *plugin) linkDown(host id.Host) {
	delete(p.peers, host)
	delete(p.transfer, host)
	if p.want.host == host {
		p.want.until = 0
	}
}

func (p *plugin) receive(at id.Instant, event kernel.Received, out *kernel.Output) {
	peer := p.peer(event.Host)
	peer.heardAt = at
	switch body := event.Frame.GetBody().(type) {
	case *message.Frame_Hello:
		peer.hello(body.Hello)
		p.probeGreeted(event.Host, out)
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
	p.progress(at, out)
}

// peer returns the state of a peer. The overlay may have opened the link
// without an event, so the state is made on demand.
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

// neighbours calls visit for each peer with a greeted link, in order of host.
func (p *plugin) neighbours(visit func(host id.Host, peer *peer)) {
	for _, host := range p.shared.LinkHosts() {
		visit(host, p.peer(host))
	}
}

// highest returns the highest version that a neighbour holds.
func (p *plugin) highest() id.Version {
	var highest id.Version
	p.neighbours(func(_ id.Host, peer *peer) { highest = max(highest, peer.held) })
	return highest
}

func (p *plugin) send(host id.Host, frame *message.Frame, out *kernel.Output) {
	out.Emit(kernel.Send{Host: host, Frame: frame})
}

// setReady changes the readiness. A draining daemon stays draining.
func (p *plugin) setReady(ready kernel.Readiness, out *kernel.Output) {
	if p.shared.Ready == ready || p.shared.Ready == kernel.Draining {
		return
	}
	p.shared.Ready = ready
	out.Emit(kernel.SetReady{Ready: ready})
}

func (p *plugin) poll() bool { return p.env.Options.Strategy == kernel.StrategyPoll }

func log(out *kernel.Output, text string) { out.Emit(kernel.Log{Part: part, Text: text}) }

// elapsed reports whether the span has passed since an instant that is set.
func elapsed(at, since id.Instant, span time.Duration) bool {
	return since != 0 && at.Sub(since) >= span
}
