package spread

import (
	"cmp"
	"slices"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"

	"github.com/cespare/xxhash/v2"
)

const (
	// repairDelay is how long a neighbour may hold a newer version before this host
	// requests it. An eager push usually arrives earlier.
	repairDelay = 150 * time.Millisecond
	// wantTimeout bounds the wait for the answer to a Want before another neighbour
	// is asked.
	wantTimeout = 500 * time.Millisecond
	// fullWantTimeout replaces wantTimeout for a full snapshot, which is larger.
	fullWantTimeout = time.Second
	// maxTransfers bounds the concurrent transfers of full snapshots, so that a mass
	// restart does not overload the hosts that answer.
	maxTransfers = 32
	// transferTimeout ends a transfer that the receiver never confirmed.
	transferTimeout = 2 * time.Second
	// The range of the random delay that a busy host asks for.
	minBusyDelay = 200 * time.Millisecond
	maxBusyDelay = time.Second
	// maxAcceptedBusyDelay bounds the delay that a peer can impose.
	maxAcceptedBusyDelay = 10 * time.Second
)

// pendingWant is the outstanding request for a version. Until expiresAt, no other
// neighbour is asked. A zero behindSince means that no neighbour is ahead.
type pendingWant struct {
	host        id.Host
	expiresAt   id.Instant
	behindSince id.Instant
}

// transfers maps the receiver of each active full transfer to the time when the
// transfer expires.
type transfers map[id.Host]id.Instant

// begin registers a transfer and reports whether the limit permits it.
func (t transfers) begin(at id.Instant, host id.Host) bool {
	for other, until := range t {
		if until.Before(at) {
			delete(t, other)
		}
	}
	if _, known := t[host]; !known && len(t) >= maxTransfers {
		return false
	}
	t[host] = at.Add(transferTimeout)
	return true
}

// repair requests a version from a neighbour that has been ahead for repairDelay. A
// host that holds no version or resynchronises requests it at once.
func (p *plugin) repair(at id.Instant, out *kernel.Output) {
	if p.usesPolling() {
		return
	}
	sources := p.sources(at)
	if len(sources) == 0 {
		p.pendingWant.behindSince = 0
		return
	}
	if p.pendingWant.behindSince == 0 {
		p.pendingWant.behindSince = at
	}
	urgent := p.shared.Held == nil || p.shared.Ready == kernel.Resyncing
	if at.Before(p.pendingWant.expiresAt) || !urgent && !elapsed(at, p.pendingWant.behindSince, repairDelay) {
		return
	}
	p.requestVersion(at, sources[0], p.shared.HeldVersion(), p.peer(sources[0]).held, out)
}

// sources returns the neighbours that are ahead, in order of preference: the highest
// version, a host other than the last one asked, and a host in the same failure
// domain. Ties are broken by a hash that spreads requests over the neighbours.
func (p *plugin) sources(at id.Instant) []id.Host {
	var hosts []id.Host
	held := p.shared.HeldVersion()
	p.forEachNeighbour(func(host id.Host, peer *peer) {
		if peer.held > held && !at.Before(peer.retryAt) {
			hosts = append(hosts, host)
		}
	})
	slices.SortFunc(hosts, func(a, b id.Host) int {
		return cmp.Or(
			cmp.Compare(p.peer(b).held, p.peer(a).held),
			compareBools(a == p.pendingWant.host, b == p.pendingWant.host),
			compareBools(p.inOtherDomain(a), p.inOtherDomain(b)),
			cmp.Compare(p.pairHash(a), p.pairHash(b)),
		)
	})
	return hosts
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func (p *plugin) inOtherDomain(host id.Host) bool { return p.peer(host).domain != p.env.Self.Domain }

func (p *plugin) pairHash(host id.Host) uint64 {
	return xxhash.Sum64String(string(p.env.Self.Host) + "\x00" + string(host))
}

// requestVersion sends a Want to a neighbour and makes the link eager.
func (p *plugin) requestVersion(at id.Instant, host id.Host, base, version id.Version, out *kernel.Output) {
	p.pendingWant.host = host
	p.pendingWant.expiresAt = at.Add(wantTimeout)
	if base == 0 {
		p.pendingWant.expiresAt = at.Add(fullWantTimeout)
	}
	p.peer(host).eager = true
	p.sendWant(host, base, version, out)
}

func (p *plugin) sendWant(host id.Host, base, version id.Version, out *kernel.Output) {
	p.send(host, &message.Frame{Body: &message.Frame_Want{Want: &message.Want{
		Base: uint64(base), Version: uint64(version), Probe: p.resync.probeNumber(p.shared.Ready),
	}}}, out)
}

// receiveWant answers with a push, or with Have if the peer is up to date.
func (p *plugin) receiveWant(at id.Instant, host id.Host, wanted *message.Want, out *kernel.Output) {
	held := p.shared.Held
	if held == nil {
		return
	}
	peer := p.peer(host)
	if id.Version(wanted.GetBase()) >= held.Version {
		peer.recordHeld(id.Version(wanted.GetBase()))
		p.sendHaveFrame(host, wanted.GetProbe(), out)
		return
	}
	peer.eager = true
	base := p.history.find(id.Version(wanted.GetBase()))
	if base != nil && p.env.Options.Strategy != kernel.StrategyFull {
		p.sendPush(host, base, wanted.GetProbe(), out)
		return
	}
	if !p.activeTransfers.begin(at, host) {
		p.sendBusy(host, out)
		return
	}
	p.sendPush(host, nil, wanted.GetProbe(), out)
}

func (p *plugin) sendBusy(host id.Host, out *kernel.Output) {
	delay := minBusyDelay + time.Duration(p.random.Int64N(int64(maxBusyDelay-minBusyDelay)))
	out.Emit(kernel.Count{Name: CountTransferDeferred})
	p.send(host, &message.Frame{Body: &message.Frame_Busy{Busy: &message.Busy{
		RetryAfterMs: uint32(delay.Milliseconds()),
	}}}, out)
}

// receiveBusy delays the next request to the peer and permits a request to another
// neighbour at once.
func (p *plugin) receiveBusy(at id.Instant, host id.Host, busy *message.Busy) {
	delay := time.Duration(busy.GetRetryAfterMs()) * time.Millisecond
	p.peer(host).retryAt = at.Add(min(delay, maxAcceptedBusyDelay))
	if p.pendingWant.host == host {
		p.pendingWant.expiresAt = 0
	}
}
