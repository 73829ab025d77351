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
	// historyLength is the number of snapshots kept as bases for neighbours
	// that are behind. It bounds memory.
	historyLength = 8
	// witnesses is the number of other hosts that must hold a version before
	// it comes into force: a neighbour may fail together with this host.
	witnesses = 2
	// witnessTime bounds the wait for witnesses, so that a host that is cut
	// off still takes on versions.
	witnessTime = 400 * time.Millisecond
)

// heldVersion is one snapshot in the history.
type heldVersion struct {
	snapshot *snapshot.Snapshot
	at       id.Instant
	// arrival numbers the snapshots in the order in which they were adopted.
	arrival uint64
	// unfit is true when the view has a dangling route.
	unfit bool
}

// history holds the newest snapshots, the oldest first.
type history struct {
	versions []*heldVersion
	arrivals uint64
	inForce  uint64
}

func (h *history) add(at id.Instant, adopted *snapshot.Snapshot) {
	h.arrivals++
	h.versions = append(h.versions, &heldVersion{snapshot: adopted, at: at, arrival: h.arrivals})
	if surplus := len(h.versions) - historyLength; surplus > 0 {
		// A copy lets the dropped snapshots be collected.
		h.versions = append([]*heldVersion(nil), h.versions[surplus:]...)
	}
}

// find returns the newest snapshot of a version, or nil.
func (h *history) find(version id.Version) *snapshot.Snapshot {
	for index := len(h.versions) - 1; index >= 0; index-- {
		if h.versions[index].snapshot.Version == version {
			return h.versions[index].snapshot
		}
	}
	return nil
}

// adopt makes a whole, validated snapshot the version held and passes it on.
// The host from is empty for a version from the platform.
func (p *plugin) adopt(at id.Instant, adopted *snapshot.Snapshot, from id.Host, out *kernel.Output) {
	p.history.add(at, adopted)
	p.shared.Held = adopted
	p.heldFrom = from
	clear(p.encoded)
	p.want = want{}
	if !p.poll() {
		p.push(from, out)
		p.announce(from, out)
	}
	p.enforce(at, out)
}

// enforce puts the newest version in force that other hosts hold.
func (p *plugin) enforce(at id.Instant, out *kernel.Output) {
	if !p.floorEstablished(at, out) {
		return
	}
	versions := p.history.versions
	for index := len(versions) - 1; index >= 0; index-- {
		candidate := versions[index]
		if candidate.arrival <= p.history.inForce {
			return
		}
		if candidate.unfit || !p.mayEnforce(at, candidate, out) {
			continue
		}
		if p.publish(candidate, out) {
			return
		}
	}
}

// mayEnforce applies the witness rule.
func (p *plugin) mayEnforce(at id.Instant, candidate *heldVersion, out *kernel.Output) bool {
	if p.env.Options.NoWitness || p.poll() {
		return true
	}
	if p.witnessed(candidate.snapshot.Version) {
		return true
	}
	if at.Sub(candidate.at) < witnessTime {
		return false
	}
	out.Emit(kernel.Count{Name: CountUnwitnessed})
	return true
}

func (p *plugin) witnessed(version id.Version) bool {
	found, greeted := 0, 0
	p.neighbours(func(_ id.Host, peer *peer) {
		greeted++
		if peer.held >= version {
			found++
		}
	})
	if greeted >= witnesses || found >= witnesses {
		return found >= witnesses
	}
	return found >= min(witnesses, p.liveOthers())
}

// liveOthers returns the number of other hosts that are not known to be dead.
func (p *plugin) liveOthers() int {
	return len(p.shared.Table.Select(func(entry endpoint.Entry) bool {
		return entry.Host != p.env.Self.Host && entry.State != endpoint.Dead
	}))
}

// publish puts a version in force and reports whether its view is fit.
func (p *plugin) publish(candidate *heldVersion, out *kernel.Output) bool {
	view := candidate.snapshot.View(p.env.Self.Host)
	if dangling := view.DanglingRoutes(); len(dangling) > 0 && !p.env.Options.NoValidation {
		candidate.unfit = true
		p.refuse(view.Version, "dangling routes "+strings.Join(dangling, ", ")+": define their services", out)
		return false
	}
	p.history.inForce = candidate.arrival
	p.shared.InForce = candidate.snapshot
	out.Emit(kernel.Publish{View: view, Snapshot: candidate.snapshot})
	if p.shared.Ready == kernel.Starting {
		p.setReady(kernel.Serving, out)
		p.vouch(out)
	}
	return true
}

// vouch tells the neighbours at once that this host has a version in force.
// Hosts that start at the same time wait for it, and a wait for the next
// heartbeat at each hop would add up.
func (p *plugin) vouch(out *kernel.Output) {
	p.neighbours(func(host id.Host, _ *peer) {
		p.send(host, &message.Frame{Body: &message.Frame_Heartbeat{Heartbeat: &message.Heartbeat{
			Held:        uint64(p.shared.HeldVersion()),
			InForce:     uint64(p.shared.InForceVersion()),
			TableDigest: p.shared.Table.Digest(),
			Refused:     uint64(p.shared.Refused),
			HasMemory:   true,
		}}}, out)
	})
}

// refuse records a version that is not valid and tells the neighbours.
func (p *plugin) refuse(version id.Version, reason string, out *kernel.Output) {
	if version <= p.shared.Refused {
		return
	}
	p.shared.Refused = version
	p.shared.RefusedReason = reason
	log(out, fmt.Sprintf("Version %d is refused: %s", version, reason))
	p.neighbours(func(host id.Host, peer *peer) { p.announceRefused(host, peer, 0, out) })
}

// announceRefused tells a peer of the refused version unless it knows.
func (p *plugin) announceRefused(host id.Host, peer *peer, known id.Version, out *kernel.Output) {
	refused := p.shared.Refused
	if refused == 0 || known >= refused || peer.refusedSent >= refused {
		return
	}
	if link := p.shared.Links[host]; link == nil || !link.HelloReceived {
		return
	}
	peer.refusedSent = refused
	p.send(host, &message.Frame{Body: &message.Frame_Refused{Refused: &message.Refused{
		Version: uint64(refused), Reason: p.shared.RefusedReason,
	}}}, out)
}

// receiveRefused takes over a refusal unless this host holds the version or a
// newer one.
func (p *plugin) receiveRefused(host id.Host, refused *message.Refused, out *kernel.Output) {
	version := id.Version(refused.GetVersion())
	p.peer(host).refusedSent = max(p.peer(host).refusedSent, version)
	if version > p.shared.HeldVersion() {
		p.refuse(version, refused.GetReason(), out)
	}
}
