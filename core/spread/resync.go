package spread

import (
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
)

const (
	// pauseTime is the gap between ticks that counts as a pause.
	pauseTime = 2 * time.Second
	// resyncLimit ends the resynchronisation when no neighbour answers.
	resyncLimit = time.Second
	// resyncProbes is the number of neighbours asked after a pause.
	resyncProbes = 3
)

// resync is the state after a pause of the process.
type resync struct {
	lastTick  id.Instant
	until     id.Instant
	confirmed bool
	probes    int
	// number numbers the pauses and is what the probes carry.
	number uint64
}

// probe returns what a want carries: the number of the pause while the host
// resynchronises, or zero.
func (r *resync) probe(ready kernel.Readiness) uint64 {
	if ready != kernel.Resyncing {
		return 0
	}
	return r.number
}

// noticePause detects a gap between ticks at the first event after it, which
// need not be a tick.
func (p *plugin) noticePause(at id.Instant, event kernel.Event, out *kernel.Output) {
	paused := elapsed(at, p.resync.lastTick, pauseTime+1)
	if _, tick := event.(kernel.Tick); tick || paused || p.resync.lastTick == 0 {
		p.resync.lastTick = at
	}
	if !paused || p.shared.InForce == nil || p.env.Options.NoResync {
		return
	}
	p.resync.until = at.Add(resyncLimit)
	p.resync.confirmed, p.resync.probes = false, 0
	p.resync.number++
	out.Emit(kernel.Count{Name: CountResync})
	p.setReady(kernel.Resyncing, out)
	p.probe(out)
}

// probe asks neighbours whether they hold a newer version; they answer with a
// push or with have.
func (p *plugin) probe(out *kernel.Output) {
	hosts := p.shared.LinkHosts()
	for _, host := range hosts[:min(resyncProbes, len(hosts))] {
		p.probeHost(host, out)
	}
}

func (p *plugin) probeHost(host id.Host, out *kernel.Output) {
	held := p.shared.HeldVersion()
	p.sendWant(host, held, held, out)
}

// probeGreeted probes a neighbour on a link that opened after the pause. The
// neighbours have ended the earlier links when the pause was long.
func (p *plugin) probeGreeted(host id.Host, out *kernel.Output) {
	if p.shared.Ready != kernel.Resyncing || p.resync.probes >= resyncProbes {
		return
	}
	p.resync.probes++
	p.probeHost(host, out)
}

// confirm takes an answer to a probe. Other messages do not count: they may have
// been sent before the pause ended.
func (p *plugin) confirm(at id.Instant, version id.Version, probe uint64) {
	answers := probe != 0 && probe == p.resync.number
	if answers && at.Before(p.resync.until) && version <= p.shared.HeldVersion() {
		p.resync.confirmed = true
	}
}

// finishResync serves again once a neighbour has confirmed the version or the
// limit has passed.
func (p *plugin) finishResync(at id.Instant, out *kernel.Output) {
	if p.shared.Ready != kernel.Resyncing {
		return
	}
	current := p.shared.InForce == p.shared.Held && p.shared.HeldVersion() >= p.highest()
	if p.resync.confirmed && current || !at.Before(p.resync.until) {
		p.setReady(kernel.Serving, out)
	}
}
