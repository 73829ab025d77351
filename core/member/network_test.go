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
	linkLatency   = time.Millisecond
	millisPerTick = int(kernel.TickInterval / time.Millisecond)
	startedAt     = id.Instant(1_700_000_000_000_000_000)
)

// simulatedNetwork runs kernels against each other on a simulated clock. Unreachable
// hosts do not answer at all.
type simulatedNetwork struct {
	now         id.Instant
	nodes       map[id.Host]*node
	hostOrder   []id.Host
	queue       map[id.Instant][]delivery
	partitioned func(a, b id.Domain) bool
	// tickInterval is the time between two ticks; long waits use a longer one.
	tickInterval id.Instant
	entriesSent  int
	counts       map[string]int
	maxLinks     int
	// actionHash covers all actions of all hosts.
	actionHash *xxhash.Digest
}

type node struct {
	env        kernel.Environment
	kernel     *kernel.Kernel
	tickOffset id.Instant
	down       bool
	paused     bool
	inbox      []kernel.Event
	links      map[link]bool
	published  []endpoint.Entry
	census     []*message.DomainCensus
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

func newNetwork(domains, hosts int) *simulatedNetwork {
	n := &simulatedNetwork{
		now: startedAt, tickInterval: kernel.TickInterval, nodes: map[id.Host]*node{}, queue: map[id.Instant][]delivery{},
		counts: map[string]int{}, actionHash: xxhash.New(), partitioned: func(_, _ id.Domain) bool { return false },
	}
	var seeds []kernel.Seed
	for domain := range domains {
		for host := range hosts {
			entry := testEntry(domain, host)
			if host < 2 {
				seeds = append(seeds, kernel.Seed{Host: entry.Host, Domain: entry.Domain, Address: entry.Control})
			}
			n.hostOrder = append(n.hostOrder, entry.Host)
			n.nodes[entry.Host] = &node{env: kernel.Environment{Self: entry, RandomSeed: 7}, down: true}
		}
	}
	for index, host := range n.hostOrder {
		n.nodes[host].env.Seeds = seeds
		n.nodes[host].tickOffset = id.Instant(index%millisPerTick) * id.Instant(time.Millisecond)
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

func (n *simulatedNetwork) start(host id.Host) {
	node := n.nodes[host]
	node.env.Self.Incarnation = id.Incarnation(n.now)
	node.kernel = kernel.New(node.env)
	node.down = false
	node.links = map[link]bool{}
}

func (n *simulatedNetwork) stop(host id.Host) { n.nodes[host].down = true }

func (n *simulatedNetwork) resume(host id.Host) {
	resumed := n.nodes[host]
	resumed.paused = false
	for _, event := range resumed.inbox {
		n.step(host, event)
	}
	resumed.inbox = nil
}

func (n *simulatedNetwork) advance(duration time.Duration) {
	for end := n.now.Add(duration); n.now < end; n.now = n.now.Add(time.Millisecond) {
		for _, due := range n.queue[n.now] {
			n.deliver(due)
		}
		delete(n.queue, n.now)
		n.tick()
	}
}

// tick steps the hosts whose tick is due. The host at index i ticks at the
// i-th millisecond of each interval.
func (n *simulatedNetwork) tick() {
	slot := int(n.now/id.Instant(time.Millisecond)) % millisPerTick
	for index := slot; index < len(n.hostOrder); index += millisPerTick {
		node := n.nodes[n.hostOrder[index]]
		if !node.down && !node.paused && (n.now-node.tickOffset)%n.tickInterval == 0 {
			n.step(n.hostOrder[index], kernel.Tick{})
		}
	}
}

func (n *simulatedNetwork) deliver(d delivery) {
	to := n.nodes[d.to]
	switch {
	case to.down || n.blocked(d.from, d.to):
	case to.paused:
		to.inbox = append(to.inbox, d.event)
	default:
		n.step(d.to, d.event)
	}
}

func (n *simulatedNetwork) blocked(a, b id.Host) bool {
	return n.nodes[a].down || n.nodes[b].down || n.partitioned(n.nodes[a].env.Self.Domain, n.nodes[b].env.Self.Domain)
}

func (n *simulatedNetwork) step(host id.Host, event kernel.Event) {
	node := n.nodes[host]
	for _, action := range node.kernel.Step(n.now, event) {
		n.apply(host, node, action)
	}
	n.maxLinks = max(n.maxLinks, len(node.kernel.SharedState().Links))
}

func (n *simulatedNetwork) apply(host id.Host, node *node, action kernel.Action) {
	_, _ = n.actionHash.WriteString(string(host) + action.ActionName())
	switch action := action.(type) {
	case kernel.Dial:
		_, _ = n.actionHash.WriteString(string(action.Host))
		n.dial(host, action.Host)
	case kernel.Send:
		encoded, _ := proto.MarshalOptions{Deterministic: true}.Marshal(action.Frame)
		_, _ = n.actionHash.Write(append(encoded, action.Host...))
		if node.links[link{action.Host, true}] || node.links[link{action.Host, false}] {
			n.entriesSent += len(action.Frame.GetEntries().GetEntries())
			frame := proto.Clone(action.Frame).(*message.Frame)
			n.schedule(linkLatency, host, action.Host, kernel.Received{Host: host, Frame: frame})
		}
	case kernel.Hangup:
		delete(node.links, link{action.Host, action.Outbound})
		delete(n.nodes[action.Host].links, link{host, !action.Outbound})
		n.schedule(linkLatency, host, action.Host, kernel.LinkDown{Host: host, Outbound: !action.Outbound})
	case kernel.PublishEndpoints:
		node.published = action.Entries
	case kernel.AnswerStatus:
		node.census = action.Census
	case kernel.Count:
		n.counts[action.Name]++
		n.counts[string(host)+"/"+action.Name]++
	}
}

func (n *simulatedNetwork) dial(from, to id.Host) {
	if n.blocked(from, to) || n.nodes[to].paused {
		return
	}
	caller, callee := n.nodes[from], n.nodes[to]
	caller.links[link{to, true}] = true
	callee.links[link{from, false}] = true
	n.schedule(2*linkLatency, to, from, kernel.LinkUp{Host: to, Domain: callee.env.Self.Domain, Outbound: true})
	n.schedule(2*linkLatency, from, to, kernel.LinkUp{Host: from, Domain: caller.env.Self.Domain})
}

func (n *simulatedNetwork) schedule(delay time.Duration, from, to id.Host, event kernel.Event) {
	at := n.now.Add(delay)
	n.queue[at] = append(n.queue[at], delivery{to: to, from: from, event: event})
}

// table returns the entries of a host's table.
func (n *simulatedNetwork) table(host id.Host) []endpoint.Entry {
	return n.nodes[host].kernel.SharedState().Table.All()
}

// tablesEqual reports whether all running hosts hold the same table.
func (n *simulatedNetwork) tablesEqual() bool {
	var first []endpoint.Entry
	for _, host := range n.hostOrder {
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

// waitFor advances the clock until the condition holds and returns the time that it
// took.
func (n *simulatedNetwork) waitFor(t *testing.T, what string, limit time.Duration, condition func() bool) time.Duration {
	t.Helper()
	start := n.now
	for !condition() {
		if n.now.Sub(start) > limit {
			t.Fatalf("%s: not within %s; counts %v", what, limit, n.counts)
		}
		n.advance(10 * time.Millisecond)
	}
	return n.now.Sub(start)
}

// allSee reports whether all running hosts see the subject in the state.
func (n *simulatedNetwork) allSee(subject id.Host, state endpoint.State) bool {
	for host := range maps.Keys(n.nodes) {
		entry, _ := n.nodes[host].kernel.SharedState().Table.Get(subject)
		if !n.nodes[host].down && entry.State != state {
			return false
		}
	}
	return true
}

// allAlive reports whether all hosts run, hold equal tables and see each other alive,
// both in the table and in the published endpoints.
func (n *simulatedNetwork) allAlive() bool {
	for _, host := range n.hostOrder {
		if !n.publishedAs(host, endpoint.Alive, "") {
			return false
		}
	}
	return n.tablesEqual()
}

// publishedAs reports whether the endpoints published on a host show every host of
// the failure domain, or of all domains if it is "", in the given state.
func (n *simulatedNetwork) publishedAs(host id.Host, state endpoint.State, domain id.Domain) bool {
	matching := 0
	for _, entry := range n.nodes[host].published {
		if domain == "" || entry.Domain == domain {
			if entry.State != state {
				return false
			}
			matching++
		}
	}
	return domain != "" && matching > 0 || matching == len(n.hostOrder)
}
