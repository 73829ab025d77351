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
	// deadMargin lets the neighbours publish a death before other hosts decide
	// the same from their own timers.
	deadMargin  = 2 * time.Second
	removeAfter = 10 * time.Minute
	// maxDoublings bounds the time to the next suspicion of a host that has
	// refuted earlier ones: it lives but cannot be reached from here.
	maxDoublings = 4
	// quietLimit is how long all links may be quiet at once. Each carries a
	// heartbeat per second.
	quietLimit = 1500 * time.Millisecond
	// watchInterval is the time between two looks at the neighbours.
	watchInterval = 200 * time.Millisecond
	// ageInterval is the time between two looks at all suspect and dead hosts.
	ageInterval = 500 * time.Millisecond
)

// watch holds the timers of failure detection.
type watch struct {
	// silent holds since when nothing was heard of a neighbour.
	silent map[id.Host]id.Instant
	// met holds the hosts that were heard on a link of this process.
	met map[id.Host]bool
	// refuted counts the suspicions that a host refuted since it was heard.
	refuted map[id.Host]int
	// since holds since when hosts are suspect or dead.
	since  map[id.Host]marked
	agedAt id.Instant
	// lookedAt is when the neighbours were last looked at.
	lookedAt id.Instant
	// revision is the table revision that since was made from.
	revision uint64
}

type marked struct {
	state       endpoint.State
	incarnation id.Incarnation
	sequence    uint64
	at          id.Instant
	// mine is true when this host published the suspicion.
	mine bool
}

func newWatch() watch {
	return watch{
		silent:  map[id.Host]id.Instant{},
		met:     map[id.Host]bool{},
		refuted: map[id.Host]int{},
		since:   map[id.Host]marked{},
	}
}

func (w *watch) heard(at id.Instant, host id.Host) {
	w.silent[host] = at
	w.met[host] = true
	delete(w.refuted, host)
}

// restart begins all timers anew after a pause of the process.
func (w *watch) restart(at id.Instant) {
	for host := range w.silent {
		w.silent[host] = at
	}
	for host, mark := range w.since {
		mark.at = at
		w.since[host] = mark
	}
}

// watchNeighbours suspects the neighbours that have been silent for too long.
// A host that hears nothing on any link suspects nobody: its own network, or a
// pause of its own, is the likelier cause.
func (p *plugin) watchNeighbours(at id.Instant, out *kernel.Output) {
	if p.watch.lookedAt != 0 && at.Sub(p.watch.lookedAt) < watchInterval {
		return
	}
	p.watch.lookedAt = at
	watched := p.watched()
	maps.DeleteFunc(p.watch.silent, func(host id.Host, _ id.Instant) bool { return !watched[host] })
	maps.DeleteFunc(p.watch.met, func(host id.Host, _ bool) bool { return !watched[host] })
	if !p.hearsAny(at) {
		for host := range p.watch.silent {
			p.watch.silent[host] = at
		}
		return
	}
	for _, host := range slices.Sorted(maps.Keys(watched)) {
		since, known := p.watch.silent[host]
		if !known {
			p.watch.silent[host] = at
			continue
		}
		limit := suspectAfter << min(p.watch.refuted[host], maxDoublings)
		if at.Sub(since) > limit {
			p.suspect(at, host, out)
		}
	}
}

func (p *plugin) hearsAny(at id.Instant) bool {
	for _, link := range p.shared.Links {
		if link.HelloReceived && at.Sub(link.LastReceivedAt) <= quietLimit {
			return true
		}
	}
	return false
}

// watched returns the hosts whose silence counts: those that this host dials,
// and those of its callers that it has met.
func (p *plugin) watched() map[id.Host]bool {
	found := map[id.Host]bool{}
	for _, entry := range p.shared.Topology.Dial {
		found[entry.Host] = true
	}
	for _, host := range p.shared.Topology.Accept {
		if p.watch.met[host] {
			found[host] = true
		}
	}
	p.addProbes(found)
	for host := range p.shared.Links {
		found[host] = true
	}
	delete(found, p.env.Self.Host)
	return found
}

// addProbes adds the probed hosts of failure domains without any link.
func (p *plugin) addProbes(found map[id.Host]bool) {
	for _, entry := range p.shared.Topology.FallbackDial {
		if !p.linkedTo(entry.Domain) {
			found[entry.Host] = true
		}
	}
}

func (p *plugin) linkedTo(domain id.Domain) bool {
	for _, link := range p.shared.Links {
		if link.HelloReceived && link.Domain == domain {
			return true
		}
	}
	return false
}

func (p *plugin) suspect(at id.Instant, host id.Host, out *kernel.Output) {
	entry, known := p.shared.Table.Get(host)
	if !known || !entry.Live() || !p.wanted(host) {
		return
	}
	entry.State = endpoint.Suspect
	p.adopt(entry, "")
	mark := markOf(at, &entry)
	mark.mine = true
	p.watch.since[host] = mark
	p.watch.silent[host] = at
	out.Emit(kernel.Count{Name: "member_suspected"})
}

// wanted reports whether the topology names the host. A link outside of it may
// end at any time.
func (p *plugin) wanted(host id.Host) bool {
	return p.shared.Topology.HasPeer(host) ||
		slices.ContainsFunc(p.shared.Topology.FallbackDial, func(entry endpoint.Entry) bool { return entry.Host == host })
}

func markOf(at id.Instant, entry *endpoint.Entry) marked {
	return marked{
		state:       entry.State,
		incarnation: entry.Incarnation,
		sequence:    entry.Sequence,
		at:          at,
	}
}

// age moves suspect hosts to dead and removes dead ones.
func (p *plugin) age(at id.Instant, out *kernel.Output) {
	if p.watch.agedAt != 0 && at.Sub(p.watch.agedAt) < ageInterval {
		return
	}
	p.watch.agedAt = at
	p.mark(at)
	for _, host := range slices.Sorted(maps.Keys(p.watch.since)) {
		p.ageOne(at, host, p.watch.since[host], out)
	}
}

// mark notes which hosts are suspect or dead, and since when.
func (p *plugin) mark(at id.Instant) {
	if p.watch.revision == p.shared.Table.Revision() {
		return
	}
	p.watch.revision = p.shared.Table.Revision()
	fresh := make(map[id.Host]marked, len(p.watch.since))
	p.shared.Table.Each(func(entry *endpoint.Entry) {
		old, known := p.watch.since[entry.Host]
		switch {
		case entry.Live():
			if known && old.mine && old.state == endpoint.Suspect && old.incarnation == entry.Incarnation {
				p.watch.refuted[entry.Host]++
			}
		case known && old.sameAs(entry):
			fresh[entry.Host] = old
		default:
			mark := markOf(at, entry)
			mark.mine = known && old.mine
			fresh[entry.Host] = mark
		}
	})
	p.watch.since = fresh
}

func (m marked) sameAs(entry *endpoint.Entry) bool {
	return m.state == entry.State && m.incarnation == entry.Incarnation && m.sequence == entry.Sequence
}

func (p *plugin) ageOne(at id.Instant, host id.Host, mark marked, out *kernel.Output) {
	entry, known := p.shared.Table.Get(host)
	if !known || host == p.env.Self.Host {
		return
	}
	passed := at.Sub(mark.at)
	switch {
	case entry.State == endpoint.Suspect && mark.mine && passed >= deadAfter:
		entry.State = endpoint.Dead
		p.adopt(entry, "")
		out.Emit(kernel.Count{Name: "member_died"})
	case entry.State == endpoint.Suspect && passed >= deadAfter+deadMargin:
		// Every host reaches this by itself, so it is not sent on.
		entry.State = endpoint.Dead
		p.shared.Table.Merge(entry)
	case entry.State == endpoint.Dead && passed >= removeAfter && !p.shared.Topology.Unreachable[entry.Domain]:
		p.shared.Table.Remove(host)
		delete(p.watch.refuted, host)
	}
}
