package overlay

import (
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	"marjoramsaddle/core/refusal"
)

// Peers refused for too many links retry after a time between these bounds.
const (
	refusedRetryMin = 500 * time.Millisecond
	refusedRetryMax = 2 * time.Second
	// referrals is the number of other hosts that are suggested to a refused peer.
	// When a whole failure domain starts at once, the seeds alone could accept only
	// about 16 hosts in 3 s.
	referrals = 8
)

func (p *plugin) linkUp(at id.Instant, event kernel.LinkUp, out *kernel.Output) {
	if event.Host == p.env.Self.Host {
		// The seed list may include this host.
		delete(p.dials, dialTarget{host: event.Host})
		out.Emit(kernel.Hangup{Host: event.Host, Outbound: event.Outbound})
		return
	}
	if p.resolveDuplicate(event, out) {
		return
	}
	if !p.reserveLink(at, event, out) {
		p.refuseLink(event, out)
		return
	}
	p.addLink(at, event)
	out.Emit(kernel.Send{Host: event.Host, Frame: p.hello()})
}

// resolveDuplicate closes one of two links to the same host. The one dialled by the
// lexically smaller host stays, so that both ends close the same link. It reports
// whether the new link is closed.
func (p *plugin) resolveDuplicate(event kernel.LinkUp, out *kernel.Output) bool {
	link, exists := p.shared.Links[event.Host]
	if !exists || link.Outbound == event.Outbound {
		return false
	}
	outboundStays := p.env.Self.Host < event.Host
	out.Emit(kernel.Hangup{Host: event.Host, Outbound: !outboundStays})
	if event.Outbound != outboundStays {
		return true
	}
	link.Outbound = outboundStays
	return false
}

// reserveLink reports whether a new link is within the limit. At the limit, it closes
// a link outside the topology if the new link is part of the topology, or if the old
// one has had time to synchronise.
func (p *plugin) reserveLink(at id.Instant, event kernel.LinkUp, out *kernel.Output) bool {
	if _, exists := p.shared.Links[event.Host]; exists || len(p.shared.Links) < maxLinks {
		return true
	}
	wanted := p.shared.Topology.HasPeer(event.Host)
	for _, host := range p.linkHosts() {
		hadTimeToSync := at.Sub(p.timers[host].openedAt) > maxSilence
		if !p.shared.Topology.HasPeer(host) && (wanted || hadTimeToSync) {
			p.closeLink(host, out)
			return true
		}
	}
	return false
}

func (p *plugin) refuseLink(event kernel.LinkUp, out *kernel.Output) {
	jitter := p.random.Int64N(int64(refusedRetryMax - refusedRetryMin))
	wait := refusedRetryMin + time.Duration(jitter)
	if entries := p.referrals(event.Domain); len(entries) > 0 {
		out.Emit(kernel.Send{Host: event.Host, Frame: message.NewEntriesFrame(entries)})
	}
	out.Emit(kernel.Send{Host: event.Host, Frame: &message.Frame{Body: &message.Frame_Busy{
		Busy: &message.Busy{RetryAfterMs: uint32(wait.Milliseconds())},
	}}})
	out.Emit(kernel.Hangup{Host: event.Host, Outbound: event.Outbound})
	out.Emit(kernel.Count{Name: "link_refused", Label: refusal.TooManyLinks.String()})
}

// referrals returns random live hosts of a failure domain, so that refused peers
// spread over them.
func (p *plugin) referrals(domain id.Domain) []endpoint.Entry {
	found := p.shared.Table.Select(func(entry endpoint.Entry) bool {
		return entry.Domain == domain && entry.Live() && entry.Host != p.env.Self.Host
	})
	p.random.Shuffle(len(found), func(a, b int) { found[a], found[b] = found[b], found[a] })
	return found[:min(referrals, len(found))]
}

func (p *plugin) addLink(at id.Instant, event kernel.LinkUp) {
	link, exists := p.shared.Links[event.Host]
	if !exists {
		link = &kernel.Link{Host: event.Host, Domain: event.Domain}
		p.shared.Links[event.Host] = link
		p.timers[event.Host] = &timer{openedAt: at, heartbeat: at.Add(heartbeatInterval)}
	}
	link.Outbound = event.Outbound
	link.LastReceivedAt = at
}

func (p *plugin) linkDown(at id.Instant, event kernel.LinkDown) {
	link, exists := p.shared.Links[event.Host]
	if exists && link.Outbound == event.Outbound {
		p.removeLink(event.Host)
	}
	if event.Outbound {
		p.dialFailed(at, event.Host)
	}
}

func (p *plugin) received(at id.Instant, event kernel.Received) {
	if busy := event.Frame.GetBusy(); busy != nil {
		p.dialDeferred(at, event.Host, busy)
	}
	link, exists := p.shared.Links[event.Host]
	if !exists {
		return
	}
	link.LastReceivedAt = at
	switch body := event.Frame.GetBody().(type) {
	case *message.Frame_Hello:
		p.helloReceived(link, body.Hello)
	case *message.Frame_Heartbeat:
		link.Held = id.Version(body.Heartbeat.GetHeld())
		link.InForce = id.Version(body.Heartbeat.GetInForce())
		link.TableDigest = body.Heartbeat.GetTableDigest()
		link.HasMemory = body.Heartbeat.GetHasMemory()
	}
}

func (p *plugin) helloReceived(link *kernel.Link, hello *message.Hello) {
	link.Domain = id.Domain(hello.GetFailureDomain())
	link.Held = id.Version(hello.GetHeld())
	link.InForce = id.Version(hello.GetInForce())
	link.TableDigest = hello.GetTableDigest()
	link.HasMemory = hello.GetHasMemory()
	link.HelloReceived = true
	p.dialSucceeded(link.Host)
}
