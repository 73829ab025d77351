// Package census is the kernel plug-in that determines which version is in force on
// each host. A query is flooded over the control links: each host forwards it to its
// other links, collects their replies and replies with the merged result. A host that
// receives the same query again replies at once with an empty result, so the replies
// return along a spanning tree.
//
// Replies that miss the deadline are left out, and their hosts are reported as
// missing.
//
// # Usage
//
// Import the package to register the plug-in, then step the kernel:
//
//	import _ "marjoramsaddle/core/census"
//
//	k.Step(now, kernel.StatusRequested{ID: 1, Deadline: now.Add(time.Second)})
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
	// replyMargin is how much earlier than the host that asked it a host stops
	// waiting, so that its partial result still arrives in time. It is one tick.
	replyMargin = kernel.TickInterval * time.Nanosecond
	// resultLifetime is how long a result is reused for further requests.
	resultLifetime = time.Second
	// queryRetention is how long a query is remembered after its deadline, so that a
	// late copy of it is not handled as a new query.
	queryRetention = 5 * time.Second
	// maxQueryTime limits how far in the future the deadline of another host's query
	// may lie.
	maxQueryTime = 10 * time.Second
	// maxQueries limits the memory that queries of other hosts can use.
	maxQueries = 256
)

type plugin struct {
	env     kernel.Environment
	shared  *kernel.SharedState
	queries map[uint64]*query
	// localQuery is the ID of the running query of this host, or zero.
	localQuery      uint64
	pendingRequests []uint64
	lastResult      []*message.DomainCensus
	lastResultAt    id.Instant
}

// query holds the state of one query at this host.
type query struct {
	deadline id.Instant
	// parent is the host that sent the query, or "" for a query of this host.
	parent   id.Host
	pending  map[id.Host]bool
	domains  map[id.Domain]*message.DomainCensus
	finished bool
}

func newPlugin(env kernel.Environment, shared *kernel.SharedState) kernel.Plugin {
	return &plugin{env: env, shared: shared, queries: map[uint64]*query{}}
}

// Handle processes one kernel event.
func (p *plugin) Handle(at id.Instant, event kernel.Event, out *kernel.Output) {
	switch event := event.(type) {
	case kernel.Tick:
		p.tick(at, out)
	case kernel.StatusRequested:
		p.statusRequested(at, event, out)
	case kernel.LinkDown:
		p.linkDown(at, event, out)
	case kernel.Received:
		switch body := event.Frame.GetBody().(type) {
		case *message.Frame_CensusQuery:
			p.queryReceived(at, event.Host, body.CensusQuery, out)
		case *message.Frame_CensusReply:
			p.replyReceived(at, event.Host, body.CensusReply, out)
		}
	}
}

func (p *plugin) statusRequested(at id.Instant, event kernel.StatusRequested, out *kernel.Output) {
	if p.lastResultAt != 0 && at.Sub(p.lastResultAt) < resultLifetime {
		out.Emit(kernel.AnswerStatus{ID: event.ID, Census: p.lastResult})
		return
	}
	p.pendingRequests = append(p.pendingRequests, event.ID)
	if p.localQuery != 0 {
		return
	}
	p.localQuery = p.newQueryID(at, event.ID)
	p.start(p.localQuery, &query{deadline: event.Deadline}, out)
	p.finishIfDone(at, p.localQuery, out)
}

// newQueryID returns an ID that no other host or process uses.
func (p *plugin) newQueryID(at id.Instant, request uint64) uint64 {
	text := string(p.env.Self.Host)
	for _, number := range []uint64{uint64(p.env.Self.Incarnation), uint64(at), request} {
		text += "/" + strconv.FormatUint(number, 10)
	}
	return max(1, xxhash.Sum64String(text))
}

// start adds the local state to the result and forwards the query to all links except
// the one that it came from.
func (p *plugin) start(queryID uint64, q *query, out *kernel.Output) {
	p.queries[queryID] = q
	q.pending = map[id.Host]bool{}
	q.domains = map[id.Domain]*message.DomainCensus{}
	q.merge(p.localCensus())
	for _, host := range p.shared.LinkHosts() {
		if host == q.parent {
			continue
		}
		q.pending[host] = true
		out.Emit(kernel.Send{Host: host, Frame: &message.Frame{Body: &message.Frame_CensusQuery{
			CensusQuery: &message.CensusQuery{
				Id:       queryID,
				Deadline: uint64(q.deadline.Add(-replyMargin)),
			},
		}}})
	}
}

func (p *plugin) queryReceived(at id.Instant, from id.Host, body *message.CensusQuery, out *kernel.Output) {
	_, repeated := p.queries[body.GetId()]
	if repeated || len(p.queries) >= maxQueries {
		sendReply(from, body.GetId(), nil, out)
		return
	}
	deadline := min(id.Instant(body.GetDeadline()), at.Add(maxQueryTime))
	p.start(body.GetId(), &query{deadline: deadline, parent: from}, out)
	p.finishIfDone(at, body.GetId(), out)
}

func (p *plugin) replyReceived(at id.Instant, from id.Host, body *message.CensusReply, out *kernel.Output) {
	q, known := p.queries[body.GetId()]
	if !known || q.finished || !q.pending[from] {
		return
	}
	delete(q.pending, from)
	for _, domain := range body.GetDomains() {
		q.merge(domain)
	}
	p.finishIfDone(at, body.GetId(), out)
}

// linkDown stops waiting for a host whose link was closed.
func (p *plugin) linkDown(at id.Instant, event kernel.LinkDown, out *kernel.Output) {
	if link, exists := p.shared.Links[event.Host]; exists && link.Outbound != event.Outbound {
		return
	}
	for _, queryID := range p.sortedQueryIDs() {
		delete(p.queries[queryID].pending, event.Host)
		p.finishIfDone(at, queryID, out)
	}
}

func (p *plugin) sortedQueryIDs() []uint64 { return slices.Sorted(maps.Keys(p.queries)) }

func (p *plugin) tick(at id.Instant, out *kernel.Output) {
	for _, queryID := range p.sortedQueryIDs() {
		q := p.queries[queryID]
		if q.deadline <= at {
			p.finish(at, queryID, out)
		}
		if q.deadline.Add(queryRetention) <= at {
			delete(p.queries, queryID)
		}
	}
}

func (p *plugin) finishIfDone(at id.Instant, queryID uint64, out *kernel.Output) {
	q := p.queries[queryID]
	if len(q.pending) == 0 || q.deadline <= at {
		p.finish(at, queryID, out)
	}
}

func (p *plugin) finish(at id.Instant, queryID uint64, out *kernel.Output) {
	q := p.queries[queryID]
	if q.finished {
		return
	}
	q.finished = true
	if queryID != p.localQuery {
		sendReply(q.parent, queryID, q.sortedByDomain(), out)
		q.domains = nil
		return
	}
	p.addMissingAndBehind(q)
	p.localQuery, p.lastResult, p.lastResultAt = 0, q.sortedByDomain(), at
	for _, requestID := range p.pendingRequests {
		out.Emit(kernel.AnswerStatus{ID: requestID, Census: p.lastResult})
	}
	p.pendingRequests = nil
}

func sendReply(to id.Host, queryID uint64, domains []*message.DomainCensus, out *kernel.Output) {
	out.Emit(kernel.Send{Host: to, Frame: &message.Frame{Body: &message.Frame_CensusReply{
		CensusReply: &message.CensusReply{Id: queryID, Domains: domains},
	}}})
}
