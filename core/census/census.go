// Package census is the kernel plug-in that finds out which version is in
// force on each host. The question travels over all control links; each host
// forwards it to its other links, collects their answers and replies with the
// sum. A host that is asked a second time replies at once with nothing, so the
// replies come back along a tree.
//
// Usage: import the package for its registration, then step the kernel.
//
//	import _ "marjoramsaddle/core/census"
//
//	kernel.Step(now, kernel.StatusRequested{ID: 1, Deadline: now.Add(time.Second)})
//	// AnswerStatus follows at the deadline or earlier.
package census

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"

	"github.com/cespare/xxhash/v2"
)

const (
	// hopMargin is how much earlier than its asker a host gives up waiting, so
	// that what it has collected still counts. It is one tick.
	hopMargin = kernel.TickInterval * time.Nanosecond
	// reuseWithin is how long a result answers further questions.
	reuseWithin = time.Second
	// forgetAfter is how long a query is remembered past its deadline, so that
	// a late copy of it is not answered as a new one.
	forgetAfter = 5 * time.Second
	// maxWait bounds the time that another host's query is kept for.
	maxWait = 10 * time.Second
	// maxQueries bounds the memory that queries of other hosts can take.
	maxQueries = 256
)

type plugin struct {
	env     kernel.Environment
	shared  *kernel.SharedState
	queries map[uint64]*query
	// running is the query of this host, or zero.
	running uint64
	waiting []uint64
	last    []*message.DomainCensus
	lastAt  id.Instant
}

// query is one question on its way through the overlay.
type query struct {
	deadline id.Instant
	// parent is the host that asked, empty for a query of this host.
	parent   id.Host
	pending  map[id.Host]bool
	domains  map[id.Domain]*message.DomainCensus
	finished bool
}

func newPlugin(env kernel.Environment, shared *kernel.SharedState) kernel.Plugin {
	return &plugin{env: env, shared: shared, queries: map[uint64]*query{}}
}

// Handle applies one event.
func (p *plugin) Handle(at id.Instant, event kernel.Event, out *kernel.Output) {
	switch event := event.(type) {
	case kernel.Tick:
		p.tick(at, out)
	case kernel.StatusRequested:
		p.requested(at, event, out)
	case kernel.LinkDown:
		p.linkDown(at, event, out)
	case kernel.Received:
		switch body := event.Frame.GetBody().(type) {
		case *message.Frame_CensusQuery:
			p.asked(at, event.Host, body.CensusQuery, out)
		case *message.Frame_CensusReply:
			p.answered(at, event.Host, body.CensusReply, out)
		}
	}
}

func (p *plugin) requested(at id.Instant, event kernel.StatusRequested, out *kernel.Output) {
	if p.lastAt != 0 && at.Sub(p.lastAt) < reuseWithin {
		out.Emit(kernel.AnswerStatus{ID: event.ID, Census: p.last})
		return
	}
	p.waiting = append(p.waiting, event.ID)
	if p.running != 0 {
		return
	}
	p.running = p.queryID(at, event.ID)
	p.start(p.running, &query{deadline: event.Deadline}, out)
	p.finishIfDone(at, p.running, out)
}

// queryID returns an identifier that no other host or process uses.
func (p *plugin) queryID(at id.Instant, request uint64) uint64 {
	text := string(p.env.Self.Host)
	for _, number := range []uint64{uint64(p.env.Self.Incarnation), uint64(at), request} {
		text += "/" + strconv.FormatUint(number, 10)
	}
	return max(1, xxhash.Sum64String(text))
}

// start notes the own state and forwards the query to all links but the one
// that it came from.
func (p *plugin) start(number uint64, asked *query, out *kernel.Output) {
	p.queries[number] = asked
	asked.pending = map[id.Host]bool{}
	asked.domains = map[id.Domain]*message.DomainCensus{}
	asked.add(p.ownCensus())
	for _, host := range p.shared.LinkHosts() {
		if host == asked.parent {
			continue
		}
		asked.pending[host] = true
		out.Emit(kernel.Send{Host: host, Frame: &message.Frame{Body: &message.Frame_CensusQuery{
			CensusQuery: &message.CensusQuery{
				Id:       number,
				Deadline: uint64(asked.deadline.Add(-hopMargin)),
			},
		}}})
	}
}

func (p *plugin) asked(at id.Instant, from id.Host, body *message.CensusQuery, out *kernel.Output) {
	_, repeated := p.queries[body.GetId()]
	if repeated || len(p.queries) >= maxQueries {
		reply(from, body.GetId(), nil, out)
		return
	}
	deadline := min(id.Instant(body.GetDeadline()), at.Add(maxWait))
	p.start(body.GetId(), &query{deadline: deadline, parent: from}, out)
	p.finishIfDone(at, body.GetId(), out)
}

func (p *plugin) answered(at id.Instant, from id.Host, body *message.CensusReply, out *kernel.Output) {
	asked, known := p.queries[body.GetId()]
	if !known || asked.finished || !asked.pending[from] {
		return
	}
	delete(asked.pending, from)
	for _, domain := range body.GetDomains() {
		asked.add(domain)
	}
	p.finishIfDone(at, body.GetId(), out)
}

// linkDown stops waiting for a host whose link has ended.
func (p *plugin) linkDown(at id.Instant, event kernel.LinkDown, out *kernel.Output) {
	if link, exists := p.shared.Links[event.Host]; exists && link.Outbound != event.Outbound {
		return
	}
	for _, number := range p.numbers() {
		delete(p.queries[number].pending, event.Host)
		p.finishIfDone(at, number, out)
	}
}

func (p *plugin) numbers() []uint64 { return slices.Sorted(maps.Keys(p.queries)) }

func (p *plugin) tick(at id.Instant, out *kernel.Output) {
	for _, number := range p.numbers() {
		asked := p.queries[number]
		if asked.deadline <= at {
			p.finish(at, number, out)
		}
		if asked.deadline.Add(forgetAfter) <= at {
			delete(p.queries, number)
		}
	}
}

func (p *plugin) finishIfDone(at id.Instant, number uint64, out *kernel.Output) {
	asked := p.queries[number]
	if len(asked.pending) == 0 || asked.deadline <= at {
		p.finish(at, number, out)
	}
}

func (p *plugin) finish(at id.Instant, number uint64, out *kernel.Output) {
	asked := p.queries[number]
	if asked.finished {
		return
	}
	asked.finished = true
	if number != p.running {
		reply(asked.parent, number, asked.sorted(), out)
		asked.domains = nil
		return
	}
	p.complete(asked)
	p.running, p.last, p.lastAt = 0, asked.sorted(), at
	for _, each := range p.waiting {
		out.Emit(kernel.AnswerStatus{ID: each, Census: p.last})
	}
	p.waiting = nil
}

func reply(to id.Host, number uint64, domains []*message.DomainCensus, out *kernel.Output) {
	out.Emit(kernel.Send{Host: to, Frame: &message.Frame{Body: &message.Frame_CensusReply{
		CensusReply: &message.CensusReply{Id: number, Domains: domains},
	}}})
}
