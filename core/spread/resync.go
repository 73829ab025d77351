package spread

import (
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
)

const (
	// pauseThreshold is the gap between ticks from which the process counts as
	// paused.
	pauseThreshold = 2 * time.Second
	// resyncTimeout bounds the resynchronisation when no neighbour answers.
	resyncTimeout = time.Second
	// maxResyncProbes bounds the probes sent at the end of a pause, and again those on
	// links that open afterwards.
	maxResyncProbes = 3
)

// resync is the state of the resynchronisation after a pause of the process.
type resync struct {
	// lastTickAt is the time of the last tick, or of the event that ended a pause.
	lastTickAt id.Instant
	// deadline is when the host serves again without a confirmation.
	deadline id.Instant
	// confirmed is true if a neighbour has answered a probe and this host holds the
	// version in the answer or a newer one.
	confirmed bool
	// probesSent is the number of probes on links opened after the pause.
	probesSent int
	// sequence counts the pauses. Probes carry it, so that answers from before the
	// pause can be told apart.
	sequence uint64
}

// probeNumber returns the number that a Want carries: the sequence number of the
// pause during resynchronisation, otherwise zero.
func (r *resync) probeNumber(ready kernel.Readiness) uint64 {
	if ready != kernel.Resyncing {
		return 0
	}
	return r.sequence
}

// detectPause detects a gap between ticks. It runs on every event, because the first
// event after a pause need not be a tick.
func (p *plugin) detectPause(at id.Instant, event kernel.Event, out *kernel.Output) {
	paused := elapsed(at, p.resync.lastTickAt, pauseThreshold+1)
	if _, isTick := event.(kernel.Tick); isTick || paused || p.resync.lastTickAt == 0 {
		p.resync.lastTickAt = at
	}
	if !paused || p.shared.InForce == nil || p.env.Options.NoResync {
		return
	}
	p.resync.deadline = at.Add(resyncTimeout)
	p.resync.confirmed, p.resync.probesSent = false, 0
	p.resync.sequence++
	out.Emit(kernel.Count{Name: CountResync})
	p.setReady(kernel.Resyncing, out)
	p.probeNeighbours(out)
}

// probeNeighbours asks neighbours for a newer version; they answer with a push or
// Have.
func (p *plugin) probeNeighbours(out *kernel.Output) {
	hosts := p.shared.LinkHosts()
	for _, host := range hosts[:min(maxResyncProbes, len(hosts))] {
		p.probeHost(host, out)
	}
}

func (p *plugin) probeHost(host id.Host, out *kernel.Output) {
	held := p.shared.HeldVersion()
	p.sendWant(host, held, held, out)
}

// probeAfterHello probes a neighbour on a link that opened after the pause. During a
// long pause, the neighbours close the existing links.
func (p *plugin) probeAfterHello(host id.Host, out *kernel.Output) {
	if p.shared.Ready != kernel.Resyncing || p.resync.probesSent >= maxResyncProbes {
		return
	}
	p.resync.probesSent++
	p.probeHost(host, out)
}

// confirmProbe records an answer to a probe. Messages without the current probe
// number do not count, because they may have been sent before the pause ended.
func (p *plugin) confirmProbe(at id.Instant, version id.Version, probe uint64) {
	isAnswer := probe != 0 && probe == p.resync.sequence
	if isAnswer && at.Before(p.resync.deadline) && version <= p.shared.HeldVersion() {
		p.resync.confirmed = true
	}
}

// finishResync returns to serving once a neighbour has confirmed that the version in
// force is the newest one, or the deadline has passed.
func (p *plugin) finishResync(at id.Instant, out *kernel.Output) {
	if p.shared.Ready != kernel.Resyncing {
		return
	}
	current := p.shared.InForce == p.shared.Held && p.shared.HeldVersion() >= p.highestHeld()
	if p.resync.confirmed && current || !at.Before(p.resync.deadline) {
		p.setReady(kernel.Serving, out)
	}
}
