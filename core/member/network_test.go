package member_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	_ "marjoramsaddle/core/census"
	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	_ "marjoramsaddle/core/overlay"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

const (
	latency   = time.Millisecond
	tickSlots = int(kernel.TickInterval / time.Millisecond)
	startedAt = id.Instant(1_700_000_000_000_000_000)
)

// network runs kernels against each other with a simulated clock. A host that
// cannot be reached gives no answer at all.
type network struct {
	now   id.Instant
	nodes map[id.Host]*node
	order []id.Host
	queue map[id.Instant][]delivery
	cut   func(a, b id.Domain) bool
	// interval is the time between two ticks. Long waits use a longer one.
	interval  id.Instant
	entryRows int
	counts    map[string]int
	mostLinks int
	// actions is a hash over all actions of all hosts.
	actions *xxhash.Digest
}

type node struct {
	env       kernel.Environment
	kernel    *kernel.Kernel
	offset    id.Instant
	down      bool
	paused    bool
	inbox     []kernel.Event
	links     map[link]bool
	published []endpoint.Entry
	census    []*message.DomainCensus
}

type link struct {
	peer     id.Host
	outbound bool
}

type delivery struct {
	to    id.Host
	from  id.Host
	event kernel.Event
}

func newNetwork(domains, hosts int) *network {
	n := &network{
		now: startedAt, interval: kernel.TickInterval, nodes: map[id.Host]*node{}, queue: map[id.Instant][]delivery{},
		counts: map[string]int{}, actions: xxhash.New(), cut: func(_, _ id.Domain) bool { return false },
	}
	var seeds []kernel.Seed
	for domain := range domains {
		for host := range hosts {
			entry := testEntry(domain, host)
			if host < 2 {
				seeds = append(seeds, kernel.Seed{Host: entry.Host, Domain: entry.Domain, Address: entry.Control})
			}
			n.order = append(n.order, entry.Host)
			n.nodes[entry.Host] = &node{env: kernel.Environment{Self: entry, RandomSeed: 7}, down: true}
		}
	}
	for index, host := range n.order {
		n.nodes[host].env.Seeds = seeds
		n.nodes[host].offset = id.Instant(index%tickSlots) * id.Instant(time.Millisecond)
		n.start(host)
	}
	return n
}

func testEntry(domain, host int) endpoint.Entry {
	name := fmt.Sprintf("host-%d-%d", domain, host)
	return endpoint.Entry{
		Host: id.Host(name), Domain: id.Domain(fmt.Sprintf("domain-%d", domain)),
		Control: name + ":7000", Hop: name + ":7001", Service: "counter", Slots: 20,
	}
}

func (n *network) start(host id.Host) {
	started := n.nodes[host]
	started.env.Self.Incarnation = id.Incarnation(n.now)
	started.kernel = kernel.New(started.env)
	started.down = false
	started.links = map[link]bool{}
}

func (n *network) stop(host id.Host) { n.nodes[host].down = true }

func (n *network) resume(host id.Host) {
	woken := n.nodes[host]
	woken.paused = false
	for _, event := range woken.inbox {
		n.step(host, event)
	}
	woken.inbox = nil
}

func (n *network) run(duration time.Duration) {
	for end := n.now.Add(duration); n.now < end; n.now = n.now.Add(time.Millisecond) {
		for _, each := range n.queue[n.now] {
			n.deliver(each)
		}
		delete(n.queue, n.now)
		n.tick()
	}
}

// tick steps the hosts whose tick is due. The host at index i ticks at the
// i-th millisecond of each interval.
func (n *network) tick() {
	slot := int(n.now/id.Instant(time.Millisecond)) % tickSlots
	for index := slot; index < len(n.order); index += tickSlots {
		node := n.nodes[n.order[index]]
		if !node.down && !node.paused && (n.now-node.offset)%n.interval == 0 {
			n.step(n.order[index], kernel.Tick{})
		}
	}
}

func (n *network) deliver(each delivery) {
	to := n.nodes[each.to]
	switch {
	case to.down || n.blocked(each.from, each.to):
	case to.paused:
		to.inbox = append(to.inbox, each.event)
	default:
		n.step(each.to, each.event)
	}
}

func (n *network) blocked(a, b id.Host) bool {
	return n.nodes[a].down || n.nodes[b].down || n.cut(n.nodes[a].env.Self.Domain, n.nodes[b].env.Self.Domain)
}

func (n *network) step(host id.Host, event kernel.Event) {
	node := n.nodes[host]
	for _, action := range node.kernel.Step(n.now, event) {
		n.act(host, node, action)
	}
	n.mostLinks = max(n.mostLinks, len(node.kernel.SharedState().Links))
}

func (n *network) act(host id.Host, node *node, action kernel.Action) {
	_, _ = n.actions.WriteString(string(host) + action.ActionName())
	switch action := action.(type) {
	case kernel.Dial:
		_, _ = n.actions.WriteString(string(action.Host))
		n.dial(host, action.Host)
	case kernel.Send:
		encoded, _ := proto.MarshalOptions{Deterministic: true}.Marshal(action.Frame)
		_, _ = n.actions.Write(append(encoded, action.Host...))
		if node.links[link{action.Host, true}] || node.links[link{action.Host, false}] {
			n.entryRows += len(action.Frame.GetEntries().GetEntries())
			frame := proto.Clone(action.Frame).(*message.Frame)
			n.later(latency, host, action.Host, kernel.Received{Host: host, Frame: frame})
		}
	case kernel.Hangup:
		delete(node.links, link{action.Host, action.Outbound})
		delete(n.nodes[action.Host].links, link{host, !action.Outbound})
		n.later(latency, host, action.Host, kernel.LinkDown{Host: host, Outbound: !action.Outbound})
	case kernel.PublishEndpoints:
		node.published = action.Entries
	case kernel.AnswerStatus:
		node.census = action.Census
	case kernel.Count:
		n.counts[action.Name]++
		n.counts[string(host)+"/"+action.Name]++
	}
}

func (n *network) dial(from, to id.Host) {
	if n.blocked(from, to) || n.nodes[to].paused {
		return
	}
	caller, callee := n.nodes[from], n.nodes[to]
	caller.links[link{to, true}] = true
	callee.links[link{from, false}] = true
	n.later(2*latency, to, from, kernel.LinkUp{Host: to, Domain: callee.env.Self.Domain, Outbound: true})
	n.later(2*latency, from, to, kernel.LinkUp{Host: from, Domain: caller.env.Self.Domain})
}

func (n *network) later(delay time.Duration, from, to id.Host, event kernel.Event) {
	at := n.now.Add(delay)
	n.queue[at] = append(n.queue[at], delivery{to: to, from: from, event: event})
}

// table returns the entries of a host's table.
func (n *network) table(host id.Host) []endpoint.Entry {
	return n.nodes[host].kernel.SharedState().Table.All()
}

// equal reports whether all running hosts hold the same table.
func (n *network) equal() bool {
	var first []endpoint.Entry
	for _, host := range n.order {
		if n.nodes[host].down {
			continue
		}
		if first == nil {
			first = n.table(host)
		}
		if !slices.Equal(first, n.table(host)) {
			return false
		}
	}
	return true
}

// until runs until the condition holds and returns the time that it took.
func (n *network) until(t *testing.T, what string, limit time.Duration, holds func() bool) time.Duration {
	t.Helper()
	begin := n.now
	for !holds() {
		if n.now.Sub(begin) > limit {
			t.Fatalf("%s: not within %s; counts %v", what, limit, n.counts)
		}
		n.run(10 * time.Millisecond)
	}
	return n.now.Sub(begin)
}

// everywhere reports whether all running hosts see the subject in the state.
func (n *network) everywhere(subject id.Host, state endpoint.State) bool {
	for host := range maps.Keys(n.nodes) {
		entry, _ := n.nodes[host].kernel.SharedState().Table.Get(subject)
		if !n.nodes[host].down && entry.State != state {
			return false
		}
	}
	return true
}

// allAlive reports whether all hosts run, hold equal tables and see each other
// alive, in the table and in what traffic sees.
func (n *network) allAlive() bool {
	for _, host := range n.order {
		if !n.sees(host, endpoint.Alive, "") {
			return false
		}
	}
	return n.equal()
}

// sees reports whether traffic on the host sees every host of the failure
// domain, or of all, in the given state.
func (n *network) sees(host id.Host, state endpoint.State, domain id.Domain) bool {
	seen := 0
	for _, entry := range n.nodes[host].published {
		if domain == "" || entry.Domain == domain {
			if entry.State != state {
				return false
			}
			seen++
		}
	}
	return domain != "" && seen > 0 || seen == len(n.order)
}
