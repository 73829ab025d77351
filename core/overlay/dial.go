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
	// dialTimeout is how long an attempt may take. The transport cannot always detect
	// that a host is gone.
	dialTimeout = 3 * time.Second
	// maxSeedLinks limits the links to seeds, so that a starting host does not occupy
	// a link slot on every seed.
	maxSeedLinks = 3
)

// dialTarget identifies what to dial: a host, or the address of a seed whose host
// name is unknown.
type dialTarget struct {
	host    id.Host
	address string
}

// dialState holds the state of the attempts to reach one target.
type dialState struct {
	// pendingUntil is when the current attempt times out, or zero without one.
	pendingUntil  id.Instant
	nextAttemptAt id.Instant
	failures      int
}

func (d *dialState) restartTimeout(at id.Instant) {
	if d.pendingUntil != 0 {
		d.pendingUntil = at.Add(dialTimeout)
	}
}

// dialAll dials every target that has no link and whose backoff has expired.
func (p *plugin) dialAll(at id.Instant, out *kernel.Output) {
	p.expireDials(at)
	targets := p.targets(at)
	for _, target := range slices.SortedFunc(maps.Keys(targets), compareTargets) {
		p.dialIfDue(at, target, targets[target], out)
	}
}

// expireDials fails the attempts that have timed out and discards the state of
// targets whose last backoff ended at least backoffMax ago.
func (p *plugin) expireDials(at id.Instant) {
	for _, target := range slices.SortedFunc(maps.Keys(p.dials), compareTargets) {
		state := p.dials[target]
		switch {
		case state.pendingUntil != 0 && state.pendingUntil <= at:
			p.attemptFailed(at, state)
		case state.pendingUntil == 0 && state.nextAttemptAt.Add(backoffMax) <= at:
			delete(p.dials, target)
		}
	}
}

func compareTargets(a, b dialTarget) int {
	return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.address, b.address))
}

func (p *plugin) dialIfDue(at id.Instant, to dialTarget, address string, out *kernel.Output) {
	state, known := p.dials[to]
	if !known {
		state = &dialState{}
		p.dials[to] = state
	}
	if state.pendingUntil != 0 || at.Before(state.nextAttemptAt) {
		return
	}
	state.pendingUntil = at.Add(dialTimeout)
	out.Emit(kernel.Dial{Host: to.host, Address: address})
}

// targets returns the hosts to dial that have no link, with their addresses.
func (p *plugin) targets(at id.Instant) map[dialTarget]string {
	found := map[dialTarget]string{}
	p.addEntryTargets(found, p.shared.Topology.Dial)
	p.addFallbackTargets(found)
	if p.needsSeeds() {
		p.addSeedTargets(found, func(kernel.Seed) bool { return true })
	}
	if p.shared.Topology.IsReader {
		p.addUnreachableTargets(at, found)
	}
	return found
}

func (p *plugin) addEntryTargets(found map[dialTarget]string, entries []endpoint.Entry) {
	for _, entry := range entries {
		p.addTarget(found, entry.Host, entry.Control)
	}
}

func (p *plugin) addTarget(found map[dialTarget]string, host id.Host, address string) {
	_, linked := p.shared.Links[host]
	if !linked && host != p.env.Self.Host && address != "" {
		key := dialTarget{host: host}
		if host == "" {
			key.address = address
		}
		found[key] = address
	}
}

// addFallbackTargets adds further hosts of failure domains whose preferred readers
// are unreachable, as long as there is no link to the domain.
func (p *plugin) addFallbackTargets(found map[dialTarget]string) {
	for _, entry := range p.shared.Topology.FallbackDial {
		if !p.hasLinkTo(entry.Domain) {
			p.addTarget(found, entry.Host, entry.Control)
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

// needsSeeds reports whether the host must dial its seeds: at start, and when it has
// lost all other hosts.
func (p *plugin) needsSeeds() bool {
	established := 0
	for _, link := range p.shared.Links {
		if link.HelloReceived {
			established++
		}
	}
	return established == 0 || (p.wantedLinks() == 0 && established < maxSeedLinks)
}

// addSeedTargets adds the seeds of the local failure domain and a random one of the
// others, so that starting hosts spread over them.
func (p *plugin) addSeedTargets(found map[dialTarget]string, keep func(kernel.Seed) bool) {
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
	if len(others) > 0 && !p.seedInUse(others) {
		chosen := others[p.random.IntN(len(others))]
		p.addTarget(found, chosen.Host, chosen.Address)
	}
}

// seedInUse reports whether one of the seeds has a link, a running attempt or a
// backoff that has not expired.
func (p *plugin) seedInUse(seeds []kernel.Seed) bool {
	return slices.ContainsFunc(seeds, func(seed kernel.Seed) bool {
		if _, linked := p.shared.Links[seed.Host]; linked {
			return true
		}
		key := dialTarget{host: seed.Host}
		if seed.Host == "" {
			key.address = seed.Address
		}
		state, known := p.dials[key]
		return known && (state.pendingUntil != 0 || p.lastTickAt < state.nextAttemptAt)
	})
}

// addUnreachableTargets adds a random host of each unreachable failure domain, so
// that the two sides of a partition reconnect when it heals.
func (p *plugin) addUnreachableTargets(at id.Instant, found map[dialTarget]string) {
	domains := slices.Sorted(maps.Keys(p.shared.Topology.Unreachable))
	for _, domain := range domains {
		if p.hasLinkTo(domain) || at.Before(p.nextProbeAt[domain]) {
			continue
		}
		p.nextProbeAt[domain] = at.Add(time.Duration(p.random.Int64N(int64(backoffMax))))
		domainHosts := p.domainHosts(domain)
		chosen := domainHosts[p.random.IntN(len(domainHosts))]
		p.addTarget(found, chosen.Host, chosen.Address)
	}
	p.addUnknownDomainSeeds(found)
}

// domainHosts returns the known hosts of a failure domain with their addresses.
func (p *plugin) domainHosts(domain id.Domain) []kernel.Seed {
	var found []kernel.Seed
	p.shared.Table.Each(func(entry *endpoint.Entry) {
		if entry.Domain == domain {
			found = append(found, kernel.Seed{Host: entry.Host, Domain: domain, Address: entry.Control})
		}
	})
	return found
}

// addUnknownDomainSeeds adds seeds of failure domains that have no host in the table.
// The entries of an unreachable domain are kept, so these are domains that this host
// has never been connected to.
func (p *plugin) addUnknownDomainSeeds(found map[dialTarget]string) {
	known := map[id.Domain]bool{}
	p.shared.Table.Each(func(entry *endpoint.Entry) { known[entry.Domain] = true })
	p.addSeedTargets(found, func(seed kernel.Seed) bool { return !known[seed.Domain] })
}

func (p *plugin) attemptFailed(at id.Instant, state *dialState) {
	state.pendingUntil = 0
	state.failures++
	maxBackoff := min(backoffMax, backoffMin<<min(state.failures, 10))
	state.nextAttemptAt = at.Add(time.Duration(p.random.Int64N(int64(maxBackoff))))
}

// dialFailed ends the running attempts to reach a host. The transport reports an
// empty host for seeds without a name, so one such failure ends all of their
// attempts.
func (p *plugin) dialFailed(at id.Instant, host id.Host) {
	for _, key := range slices.SortedFunc(maps.Keys(p.dials), compareTargets) {
		if state := p.dials[key]; key.host == host && state.pendingUntil != 0 {
			p.attemptFailed(at, state)
		}
	}
}

func (p *plugin) dialDeferred(at id.Instant, host id.Host, busy *message.Busy) {
	if state, known := p.dials[dialTarget{host: host}]; known {
		state.pendingUntil = 0
		state.nextAttemptAt = at.Add(time.Duration(busy.GetRetryAfterMs()) * time.Millisecond)
	}
}

func (p *plugin) dialSucceeded(host id.Host) { delete(p.dials, dialTarget{host: host}) }
