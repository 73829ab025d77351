package spread

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	"marjoramsaddle/core/snapshot"

	"github.com/cespare/xxhash/v2"
)

// invalidDelay keeps a peer whose full snapshot was not valid from being asked
// again at once.
const invalidDelay = 5 * time.Second

// push forwards the version held over eager links.
func (p *plugin) push(from id.Host, out *kernel.Output) {
	held := p.shared.HeldVersion()
	p.neighbours(func(host id.Host, peer *peer) {
		if host != from && peer.eager && peer.held < held {
			p.offer(host, peer, out)
		}
	})
}

// offer sends the version held as a delta. Where the peer's base is not known
// it is only announced, so that a peer with several neighbours asks one of
// them for the full snapshot.
func (p *plugin) offer(host id.Host, peer *peer, out *kernel.Output) {
	if p.env.Options.Strategy == kernel.StrategyFull {
		p.sendPush(host, nil, 0, out)
		return
	}
	if base := p.history.find(peer.held); base != nil {
		p.sendPush(host, base, 0, out)
		return
	}
	p.sendHave(host, out)
}

// sendPush sends the version held. The probe is that of the want it answers.
func (p *plugin) sendPush(host id.Host, base *snapshot.Snapshot, probe uint64, out *kernel.Output) {
	push, err := p.encode(base)
	if err != nil {
		log(out, "The delta could not be encoded: "+err.Error())
		return
	}
	label := "delta"
	if base == nil {
		label = "full"
	}
	out.Emit(kernel.Count{Name: CountPush, Label: label})
	// A push tells the peer as much as have does.
	p.peer(host).haveSent = p.shared.HeldVersion()
	if probe != 0 {
		// The encoded push is shared with other receivers.
		push = &message.Push{
			Version: push.GetVersion(), Digest: push.GetDigest(), Base: push.GetBase(),
			Payload: push.GetPayload(), Probe: probe,
		}
	}
	p.send(host, &message.Frame{Body: &message.Frame_Push{Push: push}}, out)
}

// encode returns the push of the version held; each base is encoded once.
func (p *plugin) encode(base *snapshot.Snapshot) (*message.Push, error) {
	var version id.Version
	if base != nil {
		version = base.Version
	}
	if push, ok := p.encoded[version]; ok {
		return push, nil
	}
	delta, err := snapshot.NewDelta(base, p.shared.Held)
	if err != nil {
		return nil, err
	}
	push := &message.Push{
		Version: uint64(delta.Version),
		Digest:  delta.Digest[:],
		Base:    uint64(delta.Base),
		Payload: delta.Payload,
	}
	p.encoded[version] = push
	return push, nil
}

// announce sends have to the sender of the version held and to the preceding
// hosts of the ring, which makes this host a witness of them. The sender may be
// one of them, so a single predecessor would leave some hosts one witness short.
func (p *plugin) announce(from id.Host, out *kernel.Output) {
	if from != "" {
		p.sendHave(from, out)
	}
	preceding := p.preceding()
	for _, host := range preceding[:min(witnesses, len(preceding))] {
		p.sendHave(host, out)
	}
}

func (p *plugin) sendHave(host id.Host, out *kernel.Output) {
	peer, held := p.peer(host), p.shared.Held
	if peer.haveSent == held.Version {
		return
	}
	peer.haveSent = held.Version
	p.sendHaveAgain(host, 0, out)
}

func (p *plugin) sendHaveAgain(host id.Host, probe uint64, out *kernel.Output) {
	held := p.shared.Held
	p.send(host, &message.Frame{Body: &message.Frame_Have{Have: &message.Have{
		Version: uint64(held.Version), DigestPrefix: digestPrefix(held.Digest), Probe: probe,
	}}}, out)
}

func digestPrefix(digest id.Digest) uint64 { return binary.BigEndian.Uint64(digest[:8]) }

// preceding returns the linked hosts, those first that dial this host by the
// topology, the nearest in the ring before the others. Hosts of other failure
// domains are last. As each host dials its successors, it hears of a version
// from the hosts it dials. The direction of a link does not tell who dials by
// the topology: links that starting hosts open to their seeds are kept.
func (p *plugin) preceding() []id.Host {
	hosts := p.shared.LinkHosts()
	self := ringPosition(p.env.Self.Host)
	slices.SortStableFunc(hosts, func(a, b id.Host) int {
		// The subtraction wraps around the ring.
		return cmp.Or(
			compareFlags(p.remote(a), p.remote(b)),
			cmp.Compare(p.callerRank(a), p.callerRank(b)),
			cmp.Compare(self-ringPosition(a), self-ringPosition(b)),
		)
	})
	return hosts
}

// callerRank returns the place of a host among those that dial this one.
func (p *plugin) callerRank(host id.Host) int {
	if rank := slices.Index(p.shared.Topology.Accept, host); rank >= 0 {
		return rank
	}
	return len(p.shared.Topology.Accept)
}

func ringPosition(host id.Host) uint64 { return xxhash.Sum64String(string(host)) }

func (p *plugin) receivePush(at id.Instant, host id.Host, push *message.Push, out *kernel.Output) {
	version := id.Version(push.GetVersion())
	if p.want.host == host {
		p.want.until = 0
	}
	switch held := p.shared.HeldVersion(); {
	case version < held:
		p.peer(host).holds(version)
		out.Emit(kernel.Count{Name: CountPushStale})
	case version == held:
		p.receiveDuplicate(at, host, push, out)
	default:
		p.applyPush(at, host, push, out)
	}
}

func (p *plugin) receiveDuplicate(at id.Instant, host id.Host, push *message.Push, out *kernel.Output) {
	if string(push.GetDigest()) != string(p.shared.Held.Digest[:]) {
		p.conflict(id.Version(push.GetVersion()), string(host), out)
		return
	}
	p.peer(host).holds(p.shared.HeldVersion())
	p.confirm(at, p.shared.HeldVersion(), push.GetProbe())
	// A push and the answer to a want may both come from the host that
	// delivered the version first; its link is not redundant.
	if host != p.heldFrom {
		p.peer(host).eager = false
		p.send(host, &message.Frame{Body: &message.Frame_Prune{Prune: &message.Prune{}}}, out)
	}
	// The sender counts this host as a witness only by a have.
	p.sendHave(host, out)
}

func (p *plugin) conflict(version id.Version, source string, out *kernel.Output) {
	out.Emit(kernel.Count{Name: CountDigestConflict})
	log(out, fmt.Sprintf("Version %d has different content at %s: publish the configuration again.", version, source))
}

func (p *plugin) applyPush(at id.Instant, host id.Host, push *message.Push, out *kernel.Output) {
	delta, base, err := p.decode(push)
	var result *snapshot.Snapshot
	if err == nil {
		result, err = delta.Apply(base)
	}
	if err == nil {
		p.peer(host).holds(result.Version)
		p.adopt(at, result, host, out)
		p.confirm(at, result.Version, push.GetProbe())
		return
	}
	out.Emit(kernel.Count{Name: CountPushInvalid})
	if push.GetBase() != 0 {
		p.ask(at, host, 0, id.Version(push.GetVersion()), out)
		return
	}
	p.peer(host).retryAt = at.Add(invalidDelay)
	var fault *document.Error
	if errors.As(err, &fault) {
		p.refuse(id.Version(push.GetVersion()), err.Error(), out)
	}
}

// decode returns the delta of a push and the base it needs.
func (p *plugin) decode(push *message.Push) (snapshot.Delta, *snapshot.Snapshot, error) {
	delta := snapshot.Delta{
		Base:    id.Version(push.GetBase()),
		Version: id.Version(push.GetVersion()),
		Payload: push.GetPayload(),
	}
	if copy(delta.Digest[:], push.GetDigest()) != len(delta.Digest) {
		return delta, nil, snapshot.ErrBaseMismatch
	}
	return delta, p.history.find(delta.Base), nil
}

func (p *plugin) receiveHave(at id.Instant, host id.Host, have *message.Have, out *kernel.Output) {
	version := id.Version(have.GetVersion())
	held := p.shared.Held
	if held != nil && held.Version == version && digestPrefix(held.Digest) != have.GetDigestPrefix() {
		p.conflict(version, string(host), out)
		return
	}
	p.peer(host).holds(version)
	if held != nil && version >= held.Version {
		delete(p.transfer, host)
	}
	p.confirm(at, version, have.GetProbe())
}
