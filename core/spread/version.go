package spread

import (
	"fmt"
	"strings"
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	"marjoramsaddle/core/snapshot"
)

const (
	// historyLength is the number of snapshots kept as bases of deltas for neighbours
	// that are behind. It bounds memory.
	historyLength = 8
	// requiredWitnesses is the number of other hosts that must hold a version before
	// it comes into force. One is not enough: a neighbour may fail together with this
	// host.
	requiredWitnesses = 2
	// witnessTimeout bounds the wait for witnesses, so that an isolated host still
	// applies new versions.
	witnessTimeout = 400 * time.Millisecond
)

// heldVersion is one snapshot in the history.
type heldVersion struct {
	snapshot *snapshot.Snapshot
	// at is when the snapshot was adopted.
	at id.Instant
	// arrival is the sequence number of the adoption, starting at one.
	arrival uint64
	// hasDanglingRoutes is true when the view has routes to missing services. Such a
	// version never comes into force.
	hasDanglingRoutes bool
}

// history holds the last historyLength snapshots, the oldest first.
type history struct {
	versions []*heldVersion
	// arrivals is the number of snapshots adopted since the start.
	arrivals uint64
	// inForceArrival is the arrival of the version in force, or zero.
	inForceArrival uint64
}

func (h *history) add(at id.Instant, adopted *snapshot.Snapshot) {
	h.arrivals++
	h.versions = append(h.versions, &heldVersion{snapshot: adopted, at: at, arrival: h.arrivals})
	if surplus := len(h.versions) - historyLength; surplus > 0 {
		// Copying releases the dropped snapshots to the garbage collector.
		h.versions = append([]*heldVersion(nil), h.versions[surplus:]...)
	}
}

// find returns the last adopted snapshot of a version, or nil.
func (h *history) find(version id.Version) *snapshot.Snapshot {
	for index := len(h.versions) - 1; index >= 0; index-- {
		if h.versions[index].snapshot.Version == version {
			return h.versions[index].snapshot
		}
	}
	return nil
}

// adopt replaces the held version with a validated snapshot and forwards it to the
// neighbours. from is the host that sent it, or empty if it was read from the platform.
func (p *plugin) adopt(at id.Instant, adopted *snapshot.Snapshot, from id.Host, out *kernel.Output) {
	p.history.add(at, adopted)
	p.shared.Held = adopted
	p.heldFrom = from
	clear(p.encodedPushes)
	p.pendingWant = pendingWant{}
	if !p.usesPolling() {
		p.push(from, out)
		p.announce(from, out)
	}
	p.enforce(at, out)
}

// enforce selects the most recently adopted version that mayEnforce permits and whose
// routes are complete, and puts it in force. It does nothing before the floor is
// established.
func (p *plugin) enforce(at id.Instant, out *kernel.Output) {
	if !p.establishFloor(at, out) {
		return
	}
	versions := p.history.versions
	for index := len(versions) - 1; index >= 0; index-- {
		candidate := versions[index]
		if candidate.arrival <= p.history.inForceArrival {
			return
		}
		if candidate.hasDanglingRoutes || !p.mayEnforce(at, candidate, out) {
			continue
		}
		if p.publish(candidate, out) {
			return
		}
	}
}

// mayEnforce reports whether enough other hosts hold the version, or witnessTimeout
// has passed since its adoption.
func (p *plugin) mayEnforce(at id.Instant, candidate *heldVersion, out *kernel.Output) bool {
	if p.env.Options.NoWitness || p.usesPolling() {
		return true
	}
	if p.witnessed(candidate.snapshot.Version) {
		return true
	}
	if at.Sub(candidate.at) < witnessTimeout {
		return false
	}
	out.Emit(kernel.Count{Name: CountUnwitnessed})
	return true
}

// witnessed reports whether requiredWitnesses neighbours hold the version or a newer
// one. If there are fewer links and fewer other live hosts, it requires only as many
// as there are live hosts.
func (p *plugin) witnessed(version id.Version) bool {
	holders, linked := 0, 0
	p.forEachNeighbour(func(_ id.Host, peer *peer) {
		linked++
		if peer.held >= version {
			holders++
		}
	})
	if linked >= requiredWitnesses || holders >= requiredWitnesses {
		return holders >= requiredWitnesses
	}
	return holders >= min(requiredWitnesses, p.liveOthers())
}

// liveOthers returns the number of other hosts that are not marked dead.
func (p *plugin) liveOthers() int {
	return len(p.shared.Table.Select(func(entry endpoint.Entry) bool {
		return entry.Host != p.env.Self.Host && entry.State != endpoint.Dead
	}))
}

// publish puts a version in force. It returns false and refuses the version if its
// view has dangling routes.
func (p *plugin) publish(candidate *heldVersion, out *kernel.Output) bool {
	view := candidate.snapshot.View(p.env.Self.Host)
	if dangling := view.DanglingRoutes(); len(dangling) > 0 && !p.env.Options.NoValidation {
		candidate.hasDanglingRoutes = true
		p.refuse(view.Version, "dangling routes "+strings.Join(dangling, ", ")+": define their services", out)
		return false
	}
	p.history.inForceArrival = candidate.arrival
	p.shared.InForce = candidate.snapshot
	out.Emit(kernel.Publish{View: view, Snapshot: candidate.snapshot})
	if p.shared.Ready == kernel.Starting {
		p.setReady(kernel.Serving, out)
		p.announceInForce(out)
	}
	return true
}

// announceInForce sends a heartbeat to all neighbours as soon as this host has a
// version in force. Hosts that start at the same time wait for it; waiting for the
// periodic heartbeat would add its interval at each hop.
func (p *plugin) announceInForce(out *kernel.Output) {
	p.forEachNeighbour(func(host id.Host, _ *peer) {
		p.send(host, &message.Frame{Body: &message.Frame_Heartbeat{Heartbeat: &message.Heartbeat{
			Held:        uint64(p.shared.HeldVersion()),
			InForce:     uint64(p.shared.InForceVersion()),
			TableDigest: p.shared.Table.Digest(),
			Refused:     uint64(p.shared.Refused),
			HasMemory:   true,
		}}}, out)
	})
}

// refuse records an invalid version and announces the refusal to the neighbours.
func (p *plugin) refuse(version id.Version, reason string, out *kernel.Output) {
	if version <= p.shared.Refused {
		return
	}
	p.shared.Refused = version
	p.shared.RefusedReason = reason
	log(out, fmt.Sprintf("Version %d is refused: %s", version, reason))
	p.forEachNeighbour(func(host id.Host, peer *peer) { p.announceRefused(host, peer, 0, out) })
}

// announceRefused sends the refused version to a peer that is not known to have it.
func (p *plugin) announceRefused(host id.Host, peer *peer, known id.Version, out *kernel.Output) {
	refused := p.shared.Refused
	if refused == 0 || known >= refused || peer.announcedRefusal >= refused {
		return
	}
	if link := p.shared.Links[host]; link == nil || !link.HelloReceived {
		return
	}
	peer.announcedRefusal = refused
	p.send(host, &message.Frame{Body: &message.Frame_Refused{Refused: &message.Refused{
		Version: uint64(refused), Reason: p.shared.RefusedReason,
	}}}, out)
}

// receiveRefused adopts a peer's refusal unless this host holds the version or a
// newer one.
func (p *plugin) receiveRefused(host id.Host, refused *message.Refused, out *kernel.Output) {
	version := id.Version(refused.GetVersion())
	p.peer(host).announcedRefusal = max(p.peer(host).announcedRefusal, version)
	if version > p.shared.HeldVersion() {
		p.refuse(version, refused.GetReason(), out)
	}
}
