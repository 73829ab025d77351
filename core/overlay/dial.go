package overlay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
)

const (
	backoffMin = 100 * time.Millisecond
	backoffMax = 5 * time.Second
	// dialLimit is how long an attempt may take. The transport may be unable
	// to tell that a host is gone.
	dialLimit = 3 * time.Second
	// maxSeedLinks keeps a starting host from taking places on every seed.
	maxSeedLinks = 3
)

// target is what an attempt is aimed at. Host is empty for a seed without a
// name, and address is then set.
type target struct {
	host    id.Host
	address string
}

// dial is the state of the attempts to reach one target.
type dial struct {
	// pending is when the running attempt ends without an answer, or zero.
	pending  id.Instant
	next     id.Instant
	failures int
}

func (d *dial) restart(at id.Instant) {
	if d.pending != 0 {
		d.pending = at.Add(dialLimit)
	}
}

// dialAll dials every target without a link whose backoff has passed.
func (p *plugin) dialAll(at id.Instant, out *kernel.Output) {
	p.expireDials(at)
	targets := p.targets(at)
	for _, each := range slices.SortedFunc(maps.Keys(targets), compareTargets) {
		p.dialOne(at, each, targets[each], out)
	}
}

// expireDials ends the attempts that take too long, and forgets old failures.
func (p *plugin) expireDials(at id.Instant) {
	for _, each := range slices.SortedFunc(maps.Keys(p.dials), compareTargets) {
		state := p.dials[each]
		switch {
		case state.pending != 0 && state.pending <= at:
			p.fail(at, state)
		case state.pending == 0 && state.next.Add(backoffMax) <= at:
			delete(p.dials, each)
		}
	}
}

func compareTargets(a, b target) int {
	return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.address, b.address))
}

func (p *plugin) dialOne(at id.Instant, to target, address string, out *kernel.Output) {
	state, known := p.dials[to]
	if !known {
		state = &dial{}
		p.dials[to] = state
	}
	if state.pending != 0 || at.Before(state.next) {
		return
	}
	state.pending = at.Add(dialLimit)
	out.Emit(kernel.Dial{Host: to.host, Address: address})
}

// targets returns the hosts to dial that have no link, with their addresses.
func (p *plugin) targets(at id.Instant) map[target]string {
	found := map[target]string{}
	p.addEntries(found, p.shared.Topology.Dial)
	p.addProbes(found)
	if p.seeking() {
		p.addSeeds(found, func(kernel.Seed) bool { return true })
	}
	if p.shared.Topology.IsReader {
		p.addUnreachable(at, found)
	}
	return found
}

func (p *plugin) addEntries(found map[target]string, entries []endpoint.Entry) {
	for _, entry := range entries {
		p.addTarget(found, entry.Host, entry.Control)
	}
}

func (p *plugin) addTarget(found map[target]string, host id.Host, address string) {
	_, linked := p.shared.Links[host]
	if !linked && host != p.env.Self.Host && address != "" {
		key := target{host: host}
		if host == "" {
			key.address = address
		}
		found[key] = address
	}
}

// addProbes adds further hosts of failure domains whose first readers are lost
// while no link leads there.
func (p *plugin) addProbes(found map[target]string) {
	for _, entry := range p.shared.Topology.FallbackDial {
		if !p.linkedTo(entry.Domain) {
			p.addTarget(found, entry.Host, entry.Control)
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

// seeking reports whether the host still needs its seeds: at start, and when
// it has lost all other hosts.
func (p *plugin) seeking() bool {
	greeted := 0
	for _, link := range p.shared.Links {
		if link.HelloReceived {
			greeted++
		}
	}
	return greeted == 0 || (p.wantedLinks() == 0 && greeted < maxSeedLinks)
}

// addSeeds adds the seeds of the own failure domain and one of another one,
// drawn by chance so that starting hosts spread over them.
func (p *plugin) addSeeds(found map[target]string, keep func(kernel.Seed) bool) {
	var others []kernel.Seed
	for _, seed := range p.env.Seeds {
		switch {
		case !keep(seed):
		case seed.Domain == p.env.Self.Domain:
			p.addTarget(found, seed.Host, seed.Address)
		default:
			others = append(others, seed)
		}
	}
	if len(others) > 0 && !p.trying(others) {
		chosen := others[p.random.IntN(len(others))]
		p.addTarget(found, chosen.Host, chosen.Address)
	}
}

// trying reports whether an attempt at one of the seeds is running or one of
// them is linked.
func (p *plugin) trying(seeds []kernel.Seed) bool {
	return slices.ContainsFunc(seeds, func(seed kernel.Seed) bool {
		if _, linked := p.shared.Links[seed.Host]; linked {
			return true
		}
		key := target{host: seed.Host}
		if seed.Host == "" {
			key.address = seed.Address
		}
		state, known := p.dials[key]
		return known && (state.pending != 0 || p.tickedAt < state.next)
	})
}

// addUnreachable adds one host of each failure domain that cannot be reached,
// so that the two sides of a partition find each other when it heals.
func (p *plugin) addUnreachable(at id.Instant, found map[target]string) {
	domains := slices.Sorted(maps.Keys(p.shared.Topology.Unreachable))
	for _, domain := range domains {
		if p.linkedTo(domain) || at.Before(p.probes[domain]) {
			continue
		}
		p.probes[domain] = at.Add(time.Duration(p.random.Int64N(int64(backoffMax))))
		candidates := p.candidates(domain)
		chosen := candidates[p.random.IntN(len(candidates))]
		p.addTarget(found, chosen.Host, chosen.Address)
	}
	p.addLostSeeds(found)
}

// candidates returns the known addresses in a failure domain.
func (p *plugin) candidates(domain id.Domain) []kernel.Seed {
	var found []kernel.Seed
	p.shared.Table.Each(func(entry *endpoint.Entry) {
		if entry.Domain == domain {
			found = append(found, kernel.Seed{Host: entry.Host, Domain: domain, Address: entry.Control})
		}
	})
	return found
}

// addLostSeeds adds seeds of failure domains that the table does not hold. The
// entries of an unreachable domain are kept, so this concerns domains that
// have never been met.
func (p *plugin) addLostSeeds(found map[target]string) {
	met := map[id.Domain]bool{}
	p.shared.Table.Each(func(entry *endpoint.Entry) { met[entry.Domain] = true })
	p.addSeeds(found, func(seed kernel.Seed) bool { return !met[seed.Domain] })
}

func (p *plugin) fail(at id.Instant, state *dial) {
	state.pending = 0
	state.failures++
	limit := min(backoffMax, backoffMin<<min(state.failures, 10))
	state.next = at.Add(time.Duration(p.random.Int64N(int64(limit))))
}

// dialFailed ends the running attempts at a host. The transport reports an
// empty host for seeds without a name, so one such failure ends them all.
func (p *plugin) dialFailed(at id.Instant, host id.Host) {
	for _, key := range slices.SortedFunc(maps.Keys(p.dials), compareTargets) {
		if state := p.dials[key]; key.host == host && state.pending != 0 {
			p.fail(at, state)
		}
	}
}

func (p *plugin) dialRefused(at id.Instant, host id.Host, busy *message.Busy) {
	if state, known := p.dials[target{host: host}]; known {
		state.pending = 0
		state.next = at.Add(time.Duration(busy.GetRetryAfterMs()) * time.Millisecond)
	}
}

func (p *plugin) dialSucceeded(host id.Host) { delete(p.dials, target{host: host}) }
