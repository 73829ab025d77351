package member_test

import (
	"testing"
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"

	"github.com/matryer/is"
)

func startNetwork(t *testing.T, domains, hosts int) *simulatedNetwork {
	t.Helper()
	n := newNetwork(domains, hosts)
	elapsed := n.waitFor(t, "start", 9*time.Second, n.allAlive)
	t.Logf("%d hosts: tables equal after %s", len(n.hostOrder), elapsed)
	n.advance(15 * time.Second)
	if !n.allAlive() || n.counts["member_suspected"] != 0 {
		t.Fatalf("not stable after the start: %v", n.counts)
	}
	return n
}

// Guards against a fleet that stays partitioned when all hosts start at once, and
// against more links than the limit.
func TestSimultaneousStart(t *testing.T) {
	is := is.New(t)
	n := startNetwork(t, 12, 12)
	is.True(n.maxLinks <= 16)
	shared := n.nodes[n.hostOrder[0]].kernel.SharedState()
	for host := range shared.Links {
		is.True(shared.Topology.HasPeer(host)) // seed links are closed
	}
}

// Guards against a failed host that is not detected, and one that stays in the table
// forever.
func TestHostLost(t *testing.T) {
	is := is.New(t)
	n := startNetwork(t, 2, 5)
	lost := n.hostOrder[3]
	n.stop(lost)
	n.waitFor(t, "suspect", 4500*time.Millisecond, func() bool { return n.allSee(lost, endpoint.Suspect) })
	n.waitFor(t, "dead", 13*time.Second, func() bool { return n.allSee(lost, endpoint.Dead) })
	is.Equal(n.counts["member_refuted"], 0)
	n.step(n.hostOrder[7], kernel.Received{
		Host:  n.nodes[n.hostOrder[7]].kernel.SharedState().LinkHosts()[0],
		Frame: message.NewEntriesFrame([]endpoint.Entry{{Host: "gone", Domain: "domain-0", State: endpoint.Dead}}),
	})
	_, known := n.nodes[n.hostOrder[7]].kernel.SharedState().Table.Get("gone")
	is.True(!known) // an unknown dead host is not added
	n.tickInterval = id.Instant(500 * time.Millisecond)
	n.waitFor(t, "removed", 11*time.Minute, func() bool {
		return n.tablesEqual() && len(n.table(n.hostOrder[0])) == len(n.hostOrder)-1
	})
	n.advance(20 * time.Second)
	is.Equal(len(n.table(n.hostOrder[0])), len(n.hostOrder)-1) // no peer re-adds it
}

// Guards against other domains failing to notice that a failure domain is lost, or
// that it has returned.
func TestDomainLost(t *testing.T) {
	n := startNetwork(t, 4, 12)
	for _, host := range n.hostOrder[:12] {
		n.stop(host)
	}
	observer := n.hostOrder[30]
	n.waitFor(t, "suspect", 12*time.Second, func() bool {
		return n.publishedAs(observer, endpoint.Suspect, "domain-0") || n.seesDomain0Dead(observer)
	})
	n.waitFor(t, "dead", 20*time.Second, func() bool { return n.seesDomain0Dead(observer) })
	n.tickInterval = id.Instant(500 * time.Millisecond)
	for range 12 * 6 {
		n.advance(10 * time.Second)
		if !n.seesDomain0Dead(observer) {
			t.Fatal("the unreachable domain is published as reachable")
		}
	}
	n.tickInterval = kernel.TickInterval
	for _, host := range n.hostOrder[:12] {
		n.start(host)
	}
	elapsed := n.waitFor(t, "return", 9*time.Second, n.allAlive)
	t.Logf("all alive %s after the return", elapsed)
}

func (n *simulatedNetwork) seesDomain0Dead(observer id.Host) bool {
	return n.publishedAs(observer, endpoint.Dead, "domain-0")
}

func (n *simulatedNetwork) isolateDomain(domain id.Domain) {
	n.partitioned = func(a, b id.Domain) bool { return (a == domain) != (b == domain) }
}

func (n *simulatedNetwork) healPartition() {
	n.partitioned = func(_, _ id.Domain) bool { return false }
}

// Guards against a repair whose cost does not depend on the number of differences.
func TestRepairGrowsWithDifference(t *testing.T) {
	sent := make([]int, 0, 3)
	for _, changes := range []int{0, 4, 20} {
		n := startNetwork(t, 3, 24)
		n.isolateDomain("domain-0")
		for _, host := range n.hostOrder[24 : 24+changes] {
			n.step(host, kernel.BackendState{Ready: true})
		}
		n.advance(2 * time.Second) // too short for a suspicion
		n.healPartition()
		n.entriesSent = 0
		elapsed := n.waitFor(t, "repair", 6*time.Second, n.allAlive)
		t.Logf("%d changes: equal after %s with %d entries sent", changes, elapsed, n.entriesSent)
		sent = append(sent, n.entriesSent)
	}
	if sent[0] != 0 || sent[1] == 0 || sent[2] < 2*sent[1] {
		t.Fatalf("the number of entries sent does not grow with the difference: %v", sent)
	}
}

// Guards against hosts that stay partitioned after the network has healed, and
// against a flood of refutations from hosts that were marked dead.
func TestPartitionHeals(t *testing.T) {
	is := is.New(t)
	n := startNetwork(t, 3, 24)
	n.isolateDomain("domain-0")
	n.waitFor(t, "cut off", 30*time.Second, func() bool { return n.seesDomain0Dead(n.hostOrder[30]) })
	is.True(n.publishedAs(n.hostOrder[3], endpoint.Dead, "domain-1"))
	is.True(n.publishedAs(n.hostOrder[3], endpoint.Alive, "domain-0"))
	n.healPartition()
	elapsed := n.waitFor(t, "heal", 9*time.Second, n.allAlive)
	t.Logf("equal %s after the partition healed, %d refutations", elapsed, n.counts["member_refuted"])
	is.True(n.counts["member_refuted"] <= 3*8)
}

// Guards against a partition between two failure domains that makes the others treat
// one of them as unreachable, or that causes continual suspicions.
func TestDomainPairPartitioned(t *testing.T) {
	is := is.New(t)
	n := startNetwork(t, 3, 12)
	n.partitioned = func(a, b id.Domain) bool { return min(a, b) == "domain-0" && max(a, b) == "domain-1" }
	n.advance(time.Minute)
	first := n.counts["member_suspected"]
	n.advance(2 * time.Minute)
	t.Logf("%d suspicions in the first minute, %d in the next two", first, n.counts["member_suspected"]-first)
	is.True(n.counts["member_suspected"]-first <= first)
	for _, host := range n.hostOrder {
		is.Equal(len(n.nodes[host].kernel.SharedState().Topology.Unreachable), 0)
	}
	n.healPartition()
	n.waitFor(t, "heal", 9*time.Second, n.allAlive)
}

// Guards against actions that depend on map iteration order.
func TestReplayIsDeterministic(t *testing.T) {
	hashes := map[uint64]bool{}
	for range 2 {
		n := newNetwork(3, 20)
		n.advance(3 * time.Second)
		n.isolateDomain("domain-1")
		n.advance(10 * time.Second)
		n.healPartition()
		n.advance(3 * time.Second)
		n.step(n.hostOrder[3], kernel.StatusRequested{ID: 1, Deadline: n.now.Add(time.Second)})
		n.advance(2 * time.Second)
		hashes[n.actionHash.Sum64()] = true
	}
	is.New(t).Equal(len(hashes), 1)
}

// Guards against a paused host that suspects its neighbours when it resumes, and one
// that the others keep treating as dead. Messages and link closures that arrive
// during the pause may be lost.
func TestPausedHostRecovers(t *testing.T) {
	for _, pause := range []time.Duration{2500, 2900, 8000, 30000} {
		for _, lost := range []bool{false, true} {
			is := is.New(t)
			n := startNetwork(t, 2, 8)
			paused := n.hostOrder[5]
			n.nodes[paused].paused = true
			n.advance(pause * time.Millisecond)
			if lost {
				n.nodes[paused].inbox = nil
			}
			n.resume(paused)
			n.advance(100 * time.Millisecond)
			n.waitFor(t, "alive", 9*time.Second, n.allAlive)
			n.advance(10 * time.Second)
			is.Equal(n.counts[string(paused)+"/member_suspected"], 0)
			is.True(n.allAlive())
		}
	}
}

// Guards against a host that loses its network and marks all others as suspect.
func TestIsolatedHostSuspectsNobody(t *testing.T) {
	is := is.New(t)
	n := startNetwork(t, 4, 1)
	n.isolateDomain("domain-0")
	n.waitFor(t, "dead", 15*time.Second, func() bool { return n.seesDomain0Dead(n.hostOrder[1]) })
	is.Equal(n.counts[string(n.hostOrder[0])+"/member_suspected"], 0)
	n.healPartition()
	n.waitFor(t, "heal", 9*time.Second, n.allAlive)
}

// Guards against a false suspicion that stays in the tables.
func TestRefutation(t *testing.T) {
	for _, state := range []endpoint.State{endpoint.Suspect, endpoint.Dead} {
		n := startNetwork(t, 2, 6)
		subject, relay := n.hostOrder[2], n.hostOrder[8]
		claim, _ := n.nodes[relay].kernel.SharedState().Table.Get(subject)
		claim.State = state
		peer := n.nodes[relay].kernel.SharedState().LinkHosts()[0]
		n.step(relay, kernel.Received{Host: peer, Frame: message.NewEntriesFrame([]endpoint.Entry{claim})})
		n.advance(100 * time.Millisecond)
		n.waitFor(t, "refuted", 2*time.Second, n.allAlive)
		if n.counts["member_refuted"] == 0 {
			t.Fatal("the claim was not refuted")
		}
	}
}

// Guards against a leaving state that other hosts do not see, and against a stale row
// of the platform's list that marks a new process as leaving.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	n := startNetwork(t, 2, 6)
	drained, draining, listed := n.hostOrder[1], n.hostOrder[2], n.hostOrder[3]
	n.step(drained, kernel.DrainRequested{})
	n.step(draining, kernel.BackendState{Ready: true, Draining: true})
	row, _ := n.nodes[listed].kernel.SharedState().Table.Get(listed)
	row.State = endpoint.Leaving
	n.step(n.hostOrder[9], kernel.HostsListed{Rows: []endpoint.Entry{row}})
	n.advance(time.Second)
	is.True(n.allSee(listed, endpoint.Alive)) // its process has just started
	n.advance(30 * time.Second)
	n.step(n.hostOrder[8], kernel.HostsListed{Rows: []endpoint.Entry{row}})
	n.waitFor(t, "leaving", time.Second, func() bool {
		return n.allSee(drained, endpoint.Leaving) && n.allSee(draining, endpoint.Leaving) &&
			n.allSee(listed, endpoint.Leaving)
	})
	n.step(draining, kernel.BackendState{Ready: true})
	n.waitFor(t, "alive", time.Second, func() bool { return n.allSee(draining, endpoint.Alive) })
	is.Equal(n.nodes[drained].kernel.SharedState().Ready, kernel.Draining)
}

// Guards against a full load on a backend server that has just returned: the other
// hosts must see its new start time.
func TestBackendReturns(t *testing.T) {
	is := is.New(t)
	n := startNetwork(t, 2, 3)
	host, peer := n.hostOrder[1], n.hostOrder[4]
	n.step(host, kernel.BackendState{Ready: true})
	n.advance(time.Second)
	before, _ := n.nodes[peer].kernel.SharedState().Table.Get(host)
	n.step(host, kernel.BackendState{})
	n.advance(time.Second)
	readyAgainAt := n.now
	n.step(host, kernel.BackendState{Ready: true})
	n.advance(time.Second)
	after, _ := n.nodes[peer].kernel.SharedState().Table.Get(host)
	is.True(before.Started < readyAgainAt)
	is.True(after.Started >= readyAgainAt)
	is.Equal(after.State, endpoint.Alive)
}

// Guards against a census that misses hosts, runs past its deadline or omits the
// hosts that did not answer.
func TestCensus(t *testing.T) {
	is := is.New(t)
	n := startNetwork(t, 4, 12)
	requester := n.nodes[n.hostOrder[7]]
	n.step(n.hostOrder[7], kernel.StatusRequested{ID: 1, Deadline: n.now.Add(time.Second)})
	n.waitFor(t, "answer", 300*time.Millisecond, func() bool { return requester.census != nil })
	is.Equal(len(requester.census), 4)
	for _, domain := range requester.census {
		is.Equal(len(domain.Hosts), 12)
		is.Equal(len(domain.Missing)+len(domain.Behind), 0)
	}
	requester.census = nil
	n.step(n.hostOrder[7], kernel.StatusRequested{ID: 3, Deadline: n.now.Add(time.Second)})
	is.Equal(len(requester.census), 4) // reused within a second
	n.stop(n.hostOrder[20])
	n.advance(2 * time.Second)
	requester.census = nil
	n.step(n.hostOrder[7], kernel.StatusRequested{ID: 2, Deadline: n.now.Add(time.Second)})
	n.waitFor(t, "answer with a host missing", 1050*time.Millisecond, func() bool { return requester.census != nil })
	is.Equal(requester.census[1].Missing, []string{string(n.hostOrder[20])})
}
