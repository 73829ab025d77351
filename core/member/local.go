package member

import (
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
)

// restartGrace is how long after a host's start a leaving row in the platform's host
// list is ignored, because it may still describe the host's previous process.
const restartGrace = 30 * time.Second

// localHost holds this host's table entry, which only this host updates, and the
// conditions that determine its state.
type localHost struct {
	entry endpoint.Entry
	// The host is leaving while any of these is set: the backend server drains, the
	// platform lists the host as leaving, or the daemon shuts down.
	backendDraining bool
	listedLeaving   bool
	daemonStopping  bool
	// backendDown is true while the backend server is not ready.
	backendDown bool
}

func (l *localHost) state() endpoint.State {
	if l.backendDraining || l.listedLeaving || l.daemonStopping {
		return endpoint.Leaving
	}
	return endpoint.Alive
}

// announce broadcasts the local entry with a new sequence number.
func (p *plugin) announce() {
	p.localHost.entry.Sequence++
	p.localHost.entry.State = p.localHost.state()
	p.mergeAndQueue(p.localHost.entry, "")
}

func (p *plugin) backendState(at id.Instant, event kernel.BackendState) {
	changed := p.localHost.backendDraining != event.Draining
	p.localHost.backendDraining = event.Draining
	if event.Ready && (p.localHost.backendDown || p.localHost.entry.Started == 0) {
		// Other hosts apply a slow start to a backend server that has returned.
		p.localHost.entry.Started = at
		changed = true
	}
	p.localHost.backendDown = !event.Ready
	if changed {
		p.announce()
	}
}

func (p *plugin) drain(out *kernel.Output) {
	if p.localHost.daemonStopping {
		return
	}
	p.localHost.daemonStopping = true
	p.announce()
	p.shared.Ready = kernel.Draining
	out.Emit(kernel.SetReady{Ready: kernel.Draining})
}

// claimReceived handles an entry of this host that another host sent. A leaving state
// comes from the platform's list and is accepted; any other entry that would replace
// the local one is refuted.
func (p *plugin) claimReceived(claim endpoint.Entry, out *kernel.Output) {
	if !claim.Supersedes(p.localHost.entry) {
		return
	}
	sameVersion := claim.Incarnation == p.localHost.entry.Incarnation && claim.Sequence == p.localHost.entry.Sequence
	if sameVersion && claim.State == endpoint.Leaving {
		p.localHost.listedLeaving = true
	}
	if claim.Incarnation > p.localHost.entry.Incarnation {
		// The clock was set back between two runs. Without a higher incarnation the
		// entry of the previous run would win.
		p.localHost.entry.Incarnation = claim.Incarnation + 1
	}
	p.localHost.entry.Sequence = max(p.localHost.entry.Sequence, claim.Sequence)
	out.Emit(kernel.Count{Name: "member_refuted", Label: claim.State.String()})
	p.announce()
}

// hostsListed applies the platform's host list. Only a transition to leaving counts:
// the list lags, so the table is more recent than its other rows.
func (p *plugin) hostsListed(at id.Instant, event kernel.HostsListed) {
	for _, row := range event.Rows {
		before, known := p.listedStates[row.Host]
		p.listedStates[row.Host] = row.State
		if row.State == endpoint.Leaving && (!known || before != endpoint.Leaving) {
			p.markLeaving(at, row.Host)
		}
	}
}

func (p *plugin) markLeaving(at id.Instant, host id.Host) {
	if host == p.env.Self.Host {
		p.localHost.listedLeaving = true
		p.announce()
		return
	}
	entry, known := p.shared.Table.Get(host)
	young := at.Sub(id.Instant(entry.Incarnation)) < restartGrace
	if !known || young || entry.State != endpoint.Alive {
		return
	}
	entry.State = endpoint.Leaving
	p.mergeAndQueue(entry, "")
}
