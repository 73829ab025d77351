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

// invalidPushBackoff delays the next request to a peer whose full snapshot was
// invalid.
const invalidPushBackoff = 5 * time.Second

// push sends the version held to every neighbour that lacks it and has an eager link.
func (p *plugin) push(from id.Host, out *kernel.Output) {
	held := p.shared.HeldVersion()
	p.forEachNeighbour(func(host id.Host, peer *peer) {
		if host != from && peer.eager && peer.held < held {
			p.offer(host, peer, out)
		}
	})
}

// offer sends the version held as a delta. When the peer's base is not in the
// history, it only announces the version, so that a peer with several neighbours
// requests the full snapshot from one of them.
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

// sendPush sends the version held as a delta to base, or as a full snapshot if base
// is nil. A non-zero probe is copied from the Want that the push answers.
func (p *plugin) sendPush(host id.Host, base *snapshot.Snapshot, probe uint64, out *kernel.Output) {
	push, err := p.encode(base)
	if err != nil {
		log(out, "Cannot encode the delta: "+err.Error())
		return
	}
	label := "delta"
	if base == nil {
		label = "full"
	}
	out.Emit(kernel.Count{Name: CountPush, Label: label})
	// A push announces the version as Have does.
	p.peer(host).announcedVersion = p.shared.HeldVersion()
	if probe != 0 {
		// The cached push is shared between receivers, so a copy carries the probe.
		push = &message.Push{
			Version: push.GetVersion(), Digest: push.GetDigest(), Base: push.GetBase(),
			Payload: push.GetPayload(), Probe: probe,
		}
	}
	p.send(host, &message.Frame{Body: &message.Frame_Push{Push: push}}, out)
}

// encode returns the push of the version held relative to base. It caches the result
// for each base.
func (p *plugin) encode(base *snapshot.Snapshot) (*message.Push, error) {
	var version id.Version
	if base != nil {
		version = base.Version
	}
	if push, ok := p.encodedPushes[version]; ok {
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
	p.encodedPushes[version] = push
	return push, nil
}

// announce sends Have to the host that delivered the version and to the closest
// requiredWitnesses ring predecessors, so that they count this host as a witness. One
// predecessor would not suffice: it may be the host that delivered the version, and
// some hosts would then lack a witness.
func (p *plugin) announce(from id.Host, out *kernel.Output) {
	if from != "" {
		p.sendHave(from, out)
	}
	predecessors := p.predecessors()
	for _, host := range predecessors[:min(requiredWitnesses, len(predecessors))] {
		p.sendHave(host, out)
	}
}

func (p *plugin) sendHave(host id.Host, out *kernel.Output) {
	peer, held := p.peer(host), p.shared.Held
	if peer.announcedVersion == held.Version {
		return
	}
	peer.announcedVersion = held.Version
	p.sendHaveFrame(host, 0, out)
}

func (p *plugin) sendHaveFrame(host id.Host, probe uint64, out *kernel.Output) {
	held := p.shared.Held
	p.send(host, &message.Frame{Body: &message.Frame_Have{Have: &message.Have{
		Version: uint64(held.Version), DigestPrefix: digestPrefix(held.Digest), Probe: probe,
	}}}, out)
}

func digestPrefix(digest id.Digest) uint64 { return binary.BigEndian.Uint64(digest[:8]) }

// predecessors returns the linked hosts in order of announcement: hosts of this
// failure domain first, then those that dial this host by the topology, then the
// nearest in the ring. Each host dials its successors and receives announcements from
// them. The direction of a link does not show who dials by the topology, because
// links that starting hosts opened to their seeds are kept.
func (p *plugin) predecessors() []id.Host {
	hosts := p.shared.LinkHosts()
	self := ringPosition(p.env.Self.Host)
	slices.SortStableFunc(hosts, func(a, b id.Host) int {
		// The unsigned subtraction wraps around the ring.
		return cmp.Or(
			compareBools(p.inOtherDomain(a), p.inOtherDomain(b)),
			cmp.Compare(p.dialerRank(a), p.dialerRank(b)),
			cmp.Compare(self-ringPosition(a), self-ringPosition(b)),
		)
	})
	return hosts
}

// dialerRank returns the position of a host among those that dial this one, or their
// number if it is not one of them.
func (p *plugin) dialerRank(host id.Host) int {
	if rank := slices.Index(p.shared.Topology.Accept, host); rank >= 0 {
		return rank
	}
	return len(p.shared.Topology.Accept)
}

func ringPosition(host id.Host) uint64 { return xxhash.Sum64String(string(host)) }

func (p *plugin) receivePush(at id.Instant, host id.Host, push *message.Push, out *kernel.Output) {
	version := id.Version(push.GetVersion())
	if p.pendingWant.host == host {
		p.pendingWant.expiresAt = 0
	}
	switch held := p.shared.HeldVersion(); {
	case version < held:
		p.peer(host).recordHeld(version)
		out.Emit(kernel.Count{Name: CountPushStale})
	case version == held:
		p.receiveDuplicate(at, host, push, out)
	default:
		p.applyPush(at, host, push, out)
	}
}

func (p *plugin) receiveDuplicate(at id.Instant, host id.Host, push *message.Push, out *kernel.Output) {
	if string(push.GetDigest()) != string(p.shared.Held.Digest[:]) {
		p.reportConflict(id.Version(push.GetVersion()), string(host), out)
		return
	}
	p.peer(host).recordHeld(p.shared.HeldVersion())
	p.confirmProbe(at, p.shared.HeldVersion(), push.GetProbe())
	// The host that delivered the version first may send it again in answer to a
	// Want; its link is not redundant.
	if host != p.heldFrom {
		p.peer(host).eager = false
		p.send(host, &message.Frame{Body: &message.Frame_Prune{Prune: &message.Prune{}}}, out)
	}
	// Only a Have makes the sender count this host as a witness.
	p.sendHave(host, out)
}

func (p *plugin) reportConflict(version id.Version, source string, out *kernel.Output) {
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
		p.peer(host).recordHeld(result.Version)
		p.adopt(at, result, host, out)
		p.confirmProbe(at, result.Version, push.GetProbe())
		return
	}
	out.Emit(kernel.Count{Name: CountPushInvalid})
	if push.GetBase() != 0 {
		p.requestVersion(at, host, 0, id.Version(push.GetVersion()), out)
		return
	}
	p.peer(host).retryAt = at.Add(invalidPushBackoff)
	var invalid *document.Error
	if errors.As(err, &invalid) {
		p.refuse(id.Version(push.GetVersion()), err.Error(), out)
	}
}

// decode returns the delta of a push and its base, which is nil if the history lacks
// it.
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
		p.reportConflict(version, string(host), out)
		return
	}
	p.peer(host).recordHeld(version)
	if held != nil && version >= held.Version {
		delete(p.activeTransfers, host)
	}
	p.confirmProbe(at, version, have.GetProbe())
}
