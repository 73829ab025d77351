package member

import (
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
)

// freshStart is how long a process is protected from a leaving row of the
// platform's list, which may still mean the host's previous process.
const freshStart = 30 * time.Second

// own is the entry of this host, which only this host changes.
type own struct {
	entry endpoint.Entry
	// draining, listed and stopping are the signs of leaving: the backend
	// server's, the platform's and the daemon's own.
	draining bool
	listed   bool
	stopping bool
	// down is set while the backend server is not ready.
	down bool
}

func (o *own) state() endpoint.State {
	if o.draining || o.listed || o.stopping {
		return endpoint.Leaving
	}
	return endpoint.Alive
}

// announce publishes the own entry with a new sequence.
func (p *plugin) announce() {
	p.own.entry.Sequence++
	p.own.entry.State = p.own.state()
	p.adopt(p.own.entry, "")
}

func (p *plugin) backendState(at id.Instant, event kernel.BackendState) {
	changed := p.own.draining != event.Draining
	p.own.draining = event.Draining
	if event.Ready && (p.own.down || p.own.entry.Started == 0) {
		// Other hosts begin a slow start of a backend server that has returned.
		p.own.entry.Started = at
		changed = true
	}
	p.own.down = !event.Ready
	if changed {
		p.announce()
	}
}

func (p *plugin) drain(out *kernel.Output) {
	if p.own.stopping {
		return
	}
	p.own.stopping = true
	p.announce()
	p.shared.Ready = kernel.Draining
	out.Emit(kernel.SetReady{Ready: kernel.Draining})
}

// claimed handles an entry of this host that came from another one. A claim
// of leaving comes from the platform's list and is credible; any other claim
// that would replace the own entry is refuted.
func (p *plugin) claimed(claim endpoint.Entry, out *kernel.Output) {
	if !claim.Supersedes(p.own.entry) {
		return
	}
	same := claim.Incarnation == p.own.entry.Incarnation && claim.Sequence == p.own.entry.Sequence
	if same && claim.State == endpoint.Leaving {
		p.own.listed = true
	}
	if claim.Incarnation > p.own.entry.Incarnation {
		// The clock was set back between two runs. Without a higher
		// incarnation the entry of the previous run would stay.
		p.own.entry.Incarnation = claim.Incarnation + 1
	}
	p.own.entry.Sequence = max(p.own.entry.Sequence, claim.Sequence)
	out.Emit(kernel.Count{Name: "member_refuted", Label: claim.State.String()})
	p.announce()
}

// hostsListed handles the platform's list. Only a change to leaving counts:
// the list lags, so its other rows say nothing that the table does not know
// better.
func (p *plugin) hostsListed(at id.Instant, event kernel.HostsListed) {
	for _, row := range event.Rows {
		before, known := p.listed[row.Host]
		p.listed[row.Host] = row.State
		if row.State == endpoint.Leaving && (!known || before != endpoint.Leaving) {
			p.markLeaving(at, row.Host)
		}
	}
}

func (p *plugin) markLeaving(at id.Instant, host id.Host) {
	if host == p.env.Self.Host {
		p.own.listed = true
		p.announce()
		return
	}
	entry, known := p.shared.Table.Get(host)
	fresh := at.Sub(id.Instant(entry.Incarnation)) < freshStart
	if !known || fresh || entry.State != endpoint.Alive {
		return
	}
	entry.State = endpoint.Leaving
	p.adopt(entry, "")
}
