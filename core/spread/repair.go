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
	// repairDelay is how long a neighbour may be ahead before this host asks
	// for the version. An eager push usually arrives earlier.
	repairDelay = 150 * time.Millisecond
	// wantTime is how long an answer to a want may take before another
	// neighbour is asked.
	wantTime = 500 * time.Millisecond
	// fullWantTime is the same for a full snapshot, which is larger.
	fullWantTime = time.Second
	// maxTransfers bounds the full snapshots that are under way at once, so
	// that a mass restart does not overload the hosts that answer.
	maxTransfers = 32
	// transferTime frees the place of a transfer that was never confirmed.
	transferTime = 2 * time.Second
	// The range of the delay after which a busy host may be asked again.
	minBusy = 200 * time.Millisecond
	maxBusy = time.Second
	// maxBusyAccepted bounds the delay that a peer can impose.
	maxBusyAccepted = 10 * time.Second
)

// want is the request under way.
type want struct {
	host        id.Host
	until       id.Instant
	behindSince id.Instant
}

// transfers holds the end of each full transfer under way, by receiver.
type transfers map[id.Host]id.Instant

// begin takes a place for a transfer, or reports that none is free.
func (t transfers) begin(at id.Instant, host id.Host) bool {
	for other, until := range t {
		if until.Before(at) {
			delete(t, other)
		}
	}
	if _, known := t[host]; !known && len(t) >= maxTransfers {
		return false
	}
	t[host] = at.Add(transferTime)
	return true
}

// repair asks a neighbour for its version when this host has been behind it
// for a while. A host that holds nothing or resynchronises asks at once.
func (p *plugin) repair(at id.Instant, out *kernel.Output) {
	if p.poll() {
		return
	}
	sources := p.sources(at)
	if len(sources) == 0 {
		p.want.behindSince = 0
		return
	}
	if p.want.behindSince == 0 {
		p.want.behindSince = at
	}
	urgent := p.shared.Held == nil || p.shared.Ready == kernel.Resyncing
	if at.Before(p.want.until) || !urgent && !elapsed(at, p.want.behindSince, repairDelay) {
		return
	}
	p.ask(at, sources[0], p.shared.HeldVersion(), p.peer(sources[0]).held, out)
}

// sources returns the neighbours that are ahead, the best to ask first: the
// highest version, not the host asked last, the own failure domain. The hash
// spreads the requests of many hosts.
func (p *plugin) sources(at id.Instant) []id.Host {
	var hosts []id.Host
	held := p.shared.HeldVersion()
	p.neighbours(func(host id.Host, peer *peer) {
		if peer.held > held && !at.Before(peer.retryAt) {
			hosts = append(hosts, host)
		}
	})
	slices.SortFunc(hosts, func(a, b id.Host) int {
		return cmp.Or(
			cmp.Compare(p.peer(b).held, p.peer(a).held),
			compareFlags(a == p.want.host, b == p.want.host),
			compareFlags(p.remote(a), p.remote(b)),
			cmp.Compare(p.affinity(a), p.affinity(b)),
		)
	})
	return hosts
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func (p *plugin) remote(host id.Host) bool { return p.peer(host).domain != p.env.Self.Domain }

func (p *plugin) affinity(host id.Host) uint64 {
	return xxhash.Sum64String(string(p.env.Self.Host) + "\x00" + string(host))
}

// ask sends want and makes the link eager.
func (p *plugin) ask(at id.Instant, host id.Host, base, version id.Version, out *kernel.Output) {
	p.want.host = host
	p.want.until = at.Add(wantTime)
	if base == 0 {
		p.want.until = at.Add(fullWantTime)
	}
	p.peer(host).eager = true
	p.sendWant(host, base, version, out)
}

func (p *plugin) sendWant(host id.Host, base, version id.Version, out *kernel.Output) {
	p.send(host, &message.Frame{Body: &message.Frame_Want{Want: &message.Want{
		Base: uint64(base), Version: uint64(version), Probe: p.resync.probe(p.shared.Ready),
	}}}, out)
}

// receiveWant answers with a push, or with have when the peer is not behind.
func (p *plugin) receiveWant(at id.Instant, host id.Host, wanted *message.Want, out *kernel.Output) {
	held := p.shared.Held
	if held == nil {
		return
	}
	peer := p.peer(host)
	if id.Version(wanted.GetBase()) >= held.Version {
		peer.holds(id.Version(wanted.GetBase()))
		p.sendHaveAgain(host, wanted.GetProbe(), out)
		return
	}
	peer.eager = true
	base := p.history.find(id.Version(wanted.GetBase()))
	if base != nil && p.env.Options.Strategy != kernel.StrategyFull {
		p.sendPush(host, base, wanted.GetProbe(), out)
		return
	}
	if !p.transfer.begin(at, host) {
		p.sendBusy(host, out)
		return
	}
	p.sendPush(host, nil, wanted.GetProbe(), out)
}

func (p *plugin) sendBusy(host id.Host, out *kernel.Output) {
	delay := minBusy + time.Duration(p.random.Int64N(int64(maxBusy-minBusy)))
	out.Emit(kernel.Count{Name: CountTransferDeferred})
	p.send(host, &message.Frame{Body: &message.Frame_Busy{Busy: &message.Busy{
		RetryAfterMs: uint32(delay.Milliseconds()),
	}}}, out)
}

// receiveBusy puts the peer off and lets another neighbour be asked at once.
func (p *plugin) receiveBusy(at id.Instant, host id.Host, busy *message.Busy) {
	delay := time.Duration(busy.GetRetryAfterMs()) * time.Millisecond
	p.peer(host).retryAt = at.Add(min(delay, maxBusyAccepted))
	if p.want.host == host {
		p.want.until = 0
	}
}
