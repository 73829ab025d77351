package spread_test

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	"marjoramsaddle/core/spread"
	"marjoramsaddle/core/topology"
	"marjoramsaddle/core/trace"
)

var hosts = []id.Host{"a1", "a2", "b1", "b2"}

// stateMachine applies faults and publications in random order.
type stateMachine struct {
	*network
	newest id.Version // the highest published version
	lossy  bool       // whether a third of the frames is dropped
	pushes []*message.Frame
}

func newStateMachine(t *rapid.T) *stateMachine {
	m := &stateMachine{network: newNetwork(rapid.Uint64().Draw(t, "seed")), newest: 1}
	m.maxDelay = 300 * time.Millisecond
	m.drop = func(_, _ id.Host, frame *message.Frame) bool {
		if frame.GetPush() != nil {
			m.pushes = append(m.pushes, frame)
		}
		return m.lossy && m.random.IntN(3) == 0
	}
	m.release(1)
	m.startFullMesh(kernel.Options{}, hosts...)
	return m
}

func (m *stateMachine) host(t *rapid.T) id.Host { return rapid.SampledFrom(hosts).Draw(t, "host") }

func (m *stateMachine) advanceTime(t *rapid.T) {
	m.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (m *stateMachine) publishNext(t *rapid.T) {
	m.newest++
	if rapid.IntRange(0, 3).Draw(t, "bad") == 0 {
		m.publish(m.newest, services(m.newest), routes(m.newest, "absent"))
		m.serve(m.newest)
		return
	}
	m.release(m.newest)
}

// serveAny makes the platform serve any known index, or an outage with index zero.
func (m *stateMachine) serveAny(t *rapid.T) {
	m.consistent = rapid.Bool().Draw(t, "consistent")
	m.serve(id.Version(rapid.Uint64Range(0, uint64(m.newest)).Draw(t, "index")))
}

func (m *stateMachine) restart(t *rapid.T) {
	host := m.host(t)
	m.stop(host)
	// Versions must never decrease within one process. A restarted host depends on a
	// neighbour with a version in force, which the test may also have stopped.
	delete(m.highestRun, host)
	m.start(host, kernel.Options{}, true)
}

func (m *stateMachine) relink(t *rapid.T) {
	a, b := m.host(t), m.host(t)
	if a == b {
		return
	}
	if m.links[[2]id.Host{a, b}] {
		m.unlink(a, b)
		return
	}
	m.link(a, b)
}

func (m *stateMachine) pause(t *rapid.T) {
	host := m.host(t)
	if m.nodes[host].paused {
		m.resume(host)
		return
	}
	m.nodes[host].paused = true
}

// corrupt delivers a push whose content does not match its hash or whose base the
// receiver may lack.
func (m *stateMachine) corrupt(t *rapid.T) {
	host := m.host(t)
	version := uint64(m.newest) + rapid.Uint64Range(0, 3).Draw(t, "ahead")
	digest := slices.Repeat([]byte{7}, rapid.SampledFrom([]int{0, 32}).Draw(t, "digest"))
	m.deliver(host, 0, kernel.Received{Host: hosts[0], Frame: &message.Frame{Body: &message.Frame_Push{Push: &message.Push{
		Version: version, Base: rapid.Uint64Range(0, version).Draw(t, "base"), Digest: digest,
		Payload: rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "payload"),
	}}}})
}

// redeliverPush delivers a valid push again, possibly an outdated one.
func (m *stateMachine) redeliverPush(t *rapid.T) {
	if len(m.pushes) > 0 {
		frame := rapid.SampledFrom(m.pushes).Draw(t, "push")
		m.deliver(m.host(t), 0, kernel.Received{Host: m.host(t), Frame: frame})
	}
}

func (m *stateMachine) check(t *rapid.T) {
	if len(m.violations) > 0 {
		t.Fatal(m.violations)
	}
}

// Guards against an order of events in which a process returns to an older version or
// publishes a dangling route or a partial version, and against a state from which the
// fleet does not recover once the faults end.
func TestRandomEventOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass": m.advanceTime, "publish": m.publishNext, "serve": m.serveAny, "restart": m.restart,
			"relink": m.relink, "pause": m.pause, "corrupt": m.corrupt,
			"repeat": m.redeliverPush,
			"lossy":  func(*rapid.T) { m.lossy = !m.lossy },
			"":       m.check,
		})
		m.recover()
		m.check(t)
		if !m.converged(m.newest) {
			t.Fatalf("the fleet has not reached version %d", m.newest)
		}
	})
}

// recover ends all faults and publishes a final version.
func (m *stateMachine) recover() {
	m.lossy, m.consistent = false, true
	for index, host := range hosts {
		if m.nodes[host].paused {
			m.resume(host)
		}
		for _, other := range hosts[:index] {
			m.unlink(host, other)
			m.link(host, other)
		}
	}
	// A corrupt push can claim a version up to 3 above newest. Hosts ignore platform
	// versions below that, so publish newest+4.
	m.newest += 4
	m.release(m.newest)
	m.run(12 * time.Second)
}

// Guards against a kernel whose actions depend on anything but its events: the replay
// of recorded events must give the same actions.
func TestTraceReplaysTheSame(t *testing.T) {
	is := is.New(t)
	n := newNetwork(12)
	n.release(5)
	n.startFullMesh(kernel.Options{}, hosts...)
	n.run(4 * time.Second)
	n.release(6)
	n.run(time.Second)
	for _, host := range hosts {
		node := n.nodes[host]
		first, second := trace.Replay(node.env, node.records), trace.Replay(node.env, node.records)
		is.Equal(len(first), len(second))
		var published []id.Version
		for index, step := range first {
			is.Equal(step.Action.ActionName(), second[index].Action.ActionName())
			if publish, ok := step.Action.(kernel.Publish); ok {
				published = append(published, publish.View.Version)
			}
		}
		is.Equal(published, []id.Version{5, 6})
	}
}

// Guards against a distribution cost that grows with the fleet: in a larger overlay
// each host receives about one push per change and has enough witnesses in time, and
// a start of the whole fleet takes at most 9 s.
func TestLargerOverlay(t *testing.T) {
	const size = 40
	is := is.New(t)
	n := newNetwork(13)
	n.maxDelay = time.Millisecond
	n.release(5)
	domains := []string{"a", "b", "c"}
	readers := make([]id.Host, 0, len(domains)*topology.ReadersPerDomain)
	for _, domain := range domains {
		ring := make([]id.Host, size)
		for index := range ring {
			ring[index] = id.Host(domain + string(rune('0'+index)))
			n.start(ring[index], kernel.Options{}, true)
		}
		n.ring(ring)
	}
	table := endpoint.NewTable()
	for _, node := range n.nodes {
		table.Merge(node.env.Self)
	}
	for _, node := range n.nodes {
		for _, entry := range table.All() {
			node.kernel.SharedState().Table.Merge(entry)
		}
	}
	for _, domain := range domains {
		readers = append(readers, topology.Readers(table, id.Domain(domain), topology.ReadersPerDomain)...)
	}
	n.ring(readers)
	n.run(9 * time.Second)
	is.True(n.converged(5))
	for version := id.Version(6); version < 10; version++ {
		n.release(version)
		n.run(2 * time.Second)
	}
	before, unwitnessed := n.total(spread.CountPush), n.total(spread.CountUnwitnessed)
	n.release(10)
	n.run(250 * time.Millisecond)
	is.True(n.converged(10))
	is.Equal(n.total(spread.CountUnwitnessed), unwitnessed)
	pushes := n.total(spread.CountPush) - before
	t.Logf("%d pushes for %d hosts", pushes, size*len(domains))
	is.True(pushes < 2*size*len(domains))
	is.Equal(n.violations, nil)
}

// ring links hosts, ordered by hash, to their successors at the distances 1, r and
// r*r, where r is the cube root of the number of hosts.
func (n *network) ring(ring []id.Host) {
	slices.SortFunc(ring, func(a, b id.Host) int {
		return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	})
	root := int(math.Cbrt(float64(len(ring))))
	for index, host := range ring {
		for _, distance := range []int{1, root, root * root} {
			other := ring[(index+distance)%len(ring)]
			if other != host && !n.links[[2]id.Host{host, other}] {
				n.link(host, other)
			}
		}
	}
}

func (n *network) total(counter string) int {
	total := 0
	for _, node := range n.nodes {
		total += node.counts[counter]
	}
	return total
}
