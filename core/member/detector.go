package member

import (
	"maps"
	"slices"
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
)

const (
	suspectAfter = 3 * time.Second
	deadAfter    = 10 * time.Second
	// deadMargin gives neighbours time to broadcast a death before other hosts
	// conclude it from their own timers.
	deadMargin  = 2 * time.Second
	removeAfter = 10 * time.Minute
	// maxSuspicionDoublings caps the backoff before a host that has refuted earlier
	// suspicions is suspected again: it is alive, but unreachable from here.
	maxSuspicionDoublings = 4
	// maxSilenceOfAllLinks is how long all links may be silent at the same time
	// before this host assumes a local fault. Each link carries one heartbeat per
	// second.
	maxSilenceOfAllLinks = 1500 * time.Millisecond
	// neighbourCheckInterval is the time between two checks for silent neighbours.
	neighbourCheckInterval = 200 * time.Millisecond
	// expiryInterval is the time between two passes over the suspect and dead hosts.
	expiryInterval = 500 * time.Millisecond
)

// detector holds the timers of failure detection.
type detector struct {
	// silentSince holds the time of the last message from each neighbour, or a later
	// time at which the timer was reset.
	silentSince map[id.Host]id.Instant
	// contacted holds the neighbours that have sent a message to this process.
	contacted map[id.Host]bool
	// refutations counts the suspicions that a host has refuted since its last
	// message arrived here.
	refutations map[id.Host]int
	// unhealthy holds the suspect and dead hosts.
	unhealthy map[id.Host]unhealthyHost
	expiredAt id.Instant
	// neighboursCheckedAt is the time of the last check for silent neighbours.
	neighboursCheckedAt id.Instant
	// unhealthyRevision is the table revision that unhealthy was computed from.
	unhealthyRevision uint64
}

// unhealthyHost is a suspect or dead entry and the time when this host first saw it.
type unhealthyHost struct {
	state       endpoint.State
	incarnation id.Incarnation
	sequence    uint64
	at          id.Instant
	// suspectedHere is true when this host raised the suspicion.
	suspectedHere bool
}

func newDetector() detector {
	return detector{
		silentSince: map[id.Host]id.Instant{},
		contacted:   map[id.Host]bool{},
		refutations: map[id.Host]int{},
		unhealthy:   map[id.Host]unhealthyHost{},
	}
}

func (d *detector) recordMessage(at id.Instant, host id.Host) {
	d.silentSince[host] = at
	d.contacted[host] = true
	delete(d.refutations, host)
}

// resetTimers restarts all timers after a pause of the process.
func (d *detector) resetTimers(at id.Instant) {
	for host := range d.silentSince {
		d.silentSince[host] = at
	}
	for host, record := range d.unhealthy {
		record.at = at
		d.unhealthy[host] = record
	}
}

// checkNeighbours marks neighbours as suspect that have been silent for too long.
// When all links are silent it suspects nobody, because a local network fault or a
// pause of this process is the more likely cause.
func (p *plugin) checkNeighbours(at id.Instant, out *kernel.Output) {
	if p.detector.neighboursCheckedAt != 0 && at.Sub(p.detector.neighboursCheckedAt) < neighbourCheckInterval {
		return
	}
	p.detector.neighboursCheckedAt = at
	monitored := p.monitored()
	maps.DeleteFunc(p.detector.silentSince, func(host id.Host, _ id.Instant) bool { return !monitored[host] })
	maps.DeleteFunc(p.detector.contacted, func(host id.Host, _ bool) bool { return !monitored[host] })
	if !p.anyLinkActive(at) {
		for host := range p.detector.silentSince {
			p.detector.silentSince[host] = at
		}
		return
	}
	for _, host := range slices.Sorted(maps.Keys(monitored)) {
		since, known := p.detector.silentSince[host]
		if !known {
			p.detector.silentSince[host] = at
			continue
		}
		limit := suspectAfter << min(p.detector.refutations[host], maxSuspicionDoublings)
		if at.Sub(since) > limit {
			p.suspect(at, host, out)
		}
	}
}

func (p *plugin) anyLinkActive(at id.Instant) bool {
	for _, link := range p.shared.Links {
		if link.HelloReceived && at.Sub(link.LastReceivedAt) <= maxSilenceOfAllLinks {
			return true
		}
	}
	return false
}

// monitored returns the hosts whose silence counts: those that this host dials or has
// a link to, and those expected to dial it that have done so before.
func (p *plugin) monitored() map[id.Host]bool {
	found := map[id.Host]bool{}
	for _, entry := range p.shared.Topology.Dial {
		found[entry.Host] = true
	}
	for _, host := range p.shared.Topology.Accept {
		if p.detector.contacted[host] {
			found[host] = true
		}
	}
	p.addFallbackHosts(found)
	for host := range p.shared.Links {
		found[host] = true
	}
	delete(found, p.env.Self.Host)
	return found
}

// addFallbackHosts adds the fallback hosts of failure domains without a link.
func (p *plugin) addFallbackHosts(found map[id.Host]bool) {
	for _, entry := range p.shared.Topology.FallbackDial {
		if !p.hasLinkTo(entry.Domain) {
			found[entry.Host] = true
		}
	}
}

func (p *plugin) hasLinkTo(domain id.Domain) bool {
	for _, link := range p.shared.Links {
		if link.HelloReceived && link.Domain == domain {
			return true
		}
	}
	return false
}

func (p *plugin) suspect(at id.Instant, host id.Host, out *kernel.Output) {
	entry, known := p.shared.Table.Get(host)
	if !known || !entry.Live() || !p.inTopology(host) {
		return
	}
	entry.State = endpoint.Suspect
	p.mergeAndQueue(entry, "")
	record := newUnhealthyHost(at, &entry)
	record.suspectedHere = true
	p.detector.unhealthy[host] = record
	p.detector.silentSince[host] = at
	out.Emit(kernel.Count{Name: "member_suspected"})
}

// inTopology reports whether the topology includes the host. Links outside the
// topology may be closed at any time.
func (p *plugin) inTopology(host id.Host) bool {
	return p.shared.Topology.HasPeer(host) ||
		slices.ContainsFunc(p.shared.Topology.FallbackDial, func(entry endpoint.Entry) bool { return entry.Host == host })
}

func newUnhealthyHost(at id.Instant, entry *endpoint.Entry) unhealthyHost {
	return unhealthyHost{
		state:       entry.State,
		incarnation: entry.Incarnation,
		sequence:    entry.Sequence,
		at:          at,
	}
}

// expireStates marks suspect hosts as dead and removes dead ones when their time is
// up.
func (p *plugin) expireStates(at id.Instant, out *kernel.Output) {
	if p.detector.expiredAt != 0 && at.Sub(p.detector.expiredAt) < expiryInterval {
		return
	}
	p.detector.expiredAt = at
	p.record(at)
	for _, host := range slices.Sorted(maps.Keys(p.detector.unhealthy)) {
		p.expireState(at, host, p.detector.unhealthy[host], out)
	}
}

// record updates the list of suspect and dead hosts and counts refutations.
func (p *plugin) record(at id.Instant) {
	if p.detector.unhealthyRevision == p.shared.Table.Revision() {
		return
	}
	p.detector.unhealthyRevision = p.shared.Table.Revision()
	updated := make(map[id.Host]unhealthyHost, len(p.detector.unhealthy))
	p.shared.Table.Each(func(entry *endpoint.Entry) {
		previous, known := p.detector.unhealthy[entry.Host]
		switch {
		case entry.Live():
			if known && previous.suspectedHere && previous.state == endpoint.Suspect && previous.incarnation == entry.Incarnation {
				p.detector.refutations[entry.Host]++
			}
		case known && previous.matches(entry):
			updated[entry.Host] = previous
		default:
			record := newUnhealthyHost(at, entry)
			record.suspectedHere = known && previous.suspectedHere
			updated[entry.Host] = record
		}
	})
	p.detector.unhealthy = updated
}

func (u unhealthyHost) matches(entry *endpoint.Entry) bool {
	return u.state == entry.State && u.incarnation == entry.Incarnation && u.sequence == entry.Sequence
}

func (p *plugin) expireState(at id.Instant, host id.Host, record unhealthyHost, out *kernel.Output) {
	entry, known := p.shared.Table.Get(host)
	if !known || host == p.env.Self.Host {
		return
	}
	elapsed := at.Sub(record.at)
	switch {
	case entry.State == endpoint.Suspect && record.suspectedHere && elapsed >= deadAfter:
		entry.State = endpoint.Dead
		p.mergeAndQueue(entry, "")
		out.Emit(kernel.Count{Name: "member_died"})
	case entry.State == endpoint.Suspect && elapsed >= deadAfter+deadMargin:
		// Every host reaches this conclusion from its own timer, so the change is not
		// broadcast.
		entry.State = endpoint.Dead
		p.shared.Table.Merge(entry)
	case entry.State == endpoint.Dead && elapsed >= removeAfter && !p.shared.Topology.Unreachable[entry.Domain]:
		p.shared.Table.Remove(host)
		delete(p.detector.refutations, host)
	}
}
