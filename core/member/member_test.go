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

func started(t *testing.T, domains, hosts int) *network {
	t.Helper()
	n := newNetwork(domains, hosts)
	took := n.until(t, "start", 9*time.Second, n.allAlive)
	t.Logf("%d hosts: tables equal after %s", len(n.order), took)
	n.run(15 * time.Second)
	if !n.allAlive() || n.counts["member_suspected"] != 0 {
		t.Fatalf("not stable after the start: %v", n.counts)
	}
	return n
}

// Guards against a fleet that starts at once and stays split, and against
// more links than the limit.
func TestStartTogether(t *testing.T) {
	is := is.New(t)
	n := started(t, 12, 12)
	is.True(n.mostLinks <= 16)
	shared := n.nodes[n.order[0]].kernel.SharedState()
	for host := range shared.Links {
		is.True(shared.Topology.HasPeer(host)) // seed links are closed
	}
}

// Guards against a lost host that keeps its place, and one that stays in the
// table for good.
func TestHostLost(t *testing.T) {
	is := is.New(t)
	n := started(t, 2, 5)
	lost := n.order[3]
	n.stop(lost)
	n.until(t, "suspect", 4500*time.Millisecond, func() bool { return n.everywhere(lost, endpoint.Suspect) })
	n.until(t, "dead", 13*time.Second, func() bool { return n.everywhere(lost, endpoint.Dead) })
	is.Equal(n.counts["member_refuted"], 0)
	n.step(n.order[7], kernel.Received{
		Host:  n.nodes[n.order[7]].kernel.SharedState().LinkHosts()[0],
		Frame: message.NewEntriesFrame([]endpoint.Entry{{Host: "gone", Domain: "domain-0", State: endpoint.Dead}}),
	})
	_, known := n.nodes[n.order[7]].kernel.SharedState().Table.Get("gone")
	is.True(!known) // an unknown dead host is not brought back
	n.interval = id.Instant(500 * time.Millisecond)
	n.until(t, "removed", 11*time.Minute, func() bool {
		return n.equal() && len(n.table(n.order[0])) == len(n.order)-1
	})
	n.run(20 * time.Second)
	is.Equal(len(n.table(n.order[0])), len(n.order)-1) // no peer brings it back
}

// Guards against the loss of a failure domain that other domains do not
// notice, and against a return that is not noticed either.
func TestDomainLost(t *testing.T) {
	n := started(t, 4, 12)
	for _, host := range n.order[:12] {
		n.stop(host)
	}
	watcher := n.order[30]
	n.until(t, "suspect", 12*time.Second, func() bool { return n.sees(watcher, endpoint.Suspect, "domain-0") || n.dead(watcher) })
	n.until(t, "dead", 20*time.Second, func() bool { return n.dead(watcher) })
	n.interval = id.Instant(500 * time.Millisecond)
	for range 12 * 6 {
		n.run(10 * time.Second)
		if !n.dead(watcher) {
			t.Fatal("the lost domain is seen as reachable again")
		}
	}
	n.interval = kernel.TickInterval
	for _, host := range n.order[:12] {
		n.start(host)
	}
	took := n.until(t, "return", 9*time.Second, n.allAlive)
	t.Logf("all alive %s after the return", took)
}

func (n *network) dead(watcher id.Host) bool { return n.sees(watcher, endpoint.Dead, "domain-0") }

func (n *network) cutOff(domain id.Domain) {
	n.cut = func(a, b id.Domain) bool { return (a == domain) != (b == domain) }
}

func (n *network) heal() { n.cut = func(_, _ id.Domain) bool { return false } }

// Guards against a repair that costs as much for few differences as for many.
func TestRepairGrowsWithDifference(t *testing.T) {
	rows := make([]int, 0, 3)
	for _, changes := range []int{0, 4, 20} {
		n := started(t, 3, 24)
		n.cutOff("domain-0")
		for _, host := range n.order[24 : 24+changes] {
			n.step(host, kernel.BackendState{Ready: true})
		}
		n.run(2 * time.Second) // too short for a suspicion
		n.heal()
		n.entryRows = 0
		took := n.until(t, "repair", 6*time.Second, n.allAlive)
		t.Logf("%d changes: equal after %s with %d rows", changes, took, n.entryRows)
		rows = append(rows, n.entryRows)
	}
	if rows[0] != 0 || rows[1] == 0 || rows[2] < 2*rows[1] {
		t.Fatalf("the repair does not grow with the difference: %v", rows)
	}
}

// Guards against a healed partition that stays split, and one that makes every
// host refute its own death.
func TestPartitionHeals(t *testing.T) {
	is := is.New(t)
	n := started(t, 3, 24)
	n.cutOff("domain-0")
	n.until(t, "cut off", 30*time.Second, func() bool { return n.dead(n.order[30]) })
	is.True(n.sees(n.order[3], endpoint.Dead, "domain-1"))
	is.True(n.sees(n.order[3], endpoint.Alive, "domain-0"))
	n.heal()
	took := n.until(t, "heal", 9*time.Second, n.allAlive)
	t.Logf("equal %s after the partition healed, %d refutations", took, n.counts["member_refuted"])
	is.True(n.counts["member_refuted"] <= 3*8)
}

// Guards against two failure domains that cannot reach each other and make
// the others lose sight of one of them, or send suspicions all the time.
func TestPairCutOff(t *testing.T) {
	is := is.New(t)
	n := started(t, 3, 12)
	n.cut = func(a, b id.Domain) bool { return min(a, b) == "domain-0" && max(a, b) == "domain-1" }
	n.run(time.Minute)
	first := n.counts["member_suspected"]
	n.run(2 * time.Minute)
	t.Logf("%d suspicions in the first minute, %d in the next two", first, n.counts["member_suspected"]-first)
	is.True(n.counts["member_suspected"]-first <= first)
	for _, host := range n.order {
		is.Equal(len(n.nodes[host].kernel.SharedState().Topology.Unreachable), 0)
	}
	n.heal()
	n.until(t, "heal", 9*time.Second, n.allAlive)
}

// Guards against actions that depend on the order of a map.
func TestReplayIsDeterministic(t *testing.T) {
	sums := map[uint64]bool{}
	for range 2 {
		n := newNetwork(3, 20)
		n.run(3 * time.Second)
		n.cutOff("domain-1")
		n.run(10 * time.Second)
		n.heal()
		n.run(3 * time.Second)
		n.step(n.order[3], kernel.StatusRequested{ID: 1, Deadline: n.now.Add(time.Second)})
		n.run(2 * time.Second)
		sums[n.actions.Sum64()] = true
	}
	is.New(t).Equal(len(sums), 1)
}

// Guards against a paused host that blames its neighbours when it wakes, and
// one that stays dead for the others. What arrives during a pause may be lost,
// the ends of the links included.
func TestPauseAndLateWake(t *testing.T) {
	for _, pause := range []time.Duration{2500, 2900, 8000, 30000} {
		for _, lost := range []bool{false, true} {
			is := is.New(t)
			n := started(t, 2, 8)
			paused := n.order[5]
			n.nodes[paused].paused = true
			n.run(pause * time.Millisecond)
			if lost {
				n.nodes[paused].inbox = nil
			}
			n.resume(paused)
			n.run(100 * time.Millisecond)
			n.until(t, "alive", 9*time.Second, n.allAlive)
			n.run(10 * time.Second)
			is.Equal(n.counts[string(paused)+"/member_suspected"], 0)
			is.True(n.allAlive())
		}
	}
}

// Guards against a host that loses its network and takes all others for lost.
func TestIsolatedHostBlamesNobody(t *testing.T) {
	is := is.New(t)
	n := started(t, 4, 1)
	n.cutOff("domain-0")
	n.until(t, "dead", 15*time.Second, func() bool { return n.dead(n.order[1]) })
	is.Equal(n.counts[string(n.order[0])+"/member_suspected"], 0)
	n.heal()
	n.until(t, "heal", 9*time.Second, n.allAlive)
}

// Guards against a false claim that stays in the tables.
func TestRefutation(t *testing.T) {
	for _, state := range []endpoint.State{endpoint.Suspect, endpoint.Dead} {
		n := started(t, 2, 6)
		subject, teller := n.order[2], n.order[8]
		claim, _ := n.nodes[teller].kernel.SharedState().Table.Get(subject)
		claim.State = state
		peer := n.nodes[teller].kernel.SharedState().LinkHosts()[0]
		n.step(teller, kernel.Received{Host: peer, Frame: message.NewEntriesFrame([]endpoint.Entry{claim})})
		n.run(100 * time.Millisecond)
		n.until(t, "refuted", 2*time.Second, n.allAlive)
		if n.counts["member_refuted"] == 0 {
			t.Fatal("the claim was not refuted")
		}
	}
}

// Guards against a sign of leaving that other hosts do not see, and against a
// stale row of the platform's list that marks a new process.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	n := started(t, 2, 6)
	drained, draining, listed := n.order[1], n.order[2], n.order[3]
	n.step(drained, kernel.DrainRequested{})
	n.step(draining, kernel.BackendState{Ready: true, Draining: true})
	row, _ := n.nodes[listed].kernel.SharedState().Table.Get(listed)
	row.State = endpoint.Leaving
	n.step(n.order[9], kernel.HostsListed{Rows: []endpoint.Entry{row}})
	n.run(time.Second)
	is.True(n.everywhere(listed, endpoint.Alive)) // its process is young
	n.run(30 * time.Second)
	n.step(n.order[8], kernel.HostsListed{Rows: []endpoint.Entry{row}})
	n.until(t, "leaving", time.Second, func() bool {
		return n.everywhere(drained, endpoint.Leaving) && n.everywhere(draining, endpoint.Leaving) &&
			n.everywhere(listed, endpoint.Leaving)
	})
	n.step(draining, kernel.BackendState{Ready: true})
	n.until(t, "alive", time.Second, func() bool { return n.everywhere(draining, endpoint.Alive) })
	is.Equal(n.nodes[drained].kernel.SharedState().Ready, kernel.Draining)
}

// Guards against a backend server that has returned and gets a full load at
// once: the other hosts must see that it started anew.
func TestBackendReturns(t *testing.T) {
	is := is.New(t)
	n := started(t, 2, 3)
	host, peer := n.order[1], n.order[4]
	n.step(host, kernel.BackendState{Ready: true})
	n.run(time.Second)
	before, _ := n.nodes[peer].kernel.SharedState().Table.Get(host)
	n.step(host, kernel.BackendState{})
	n.run(time.Second)
	back := n.now
	n.step(host, kernel.BackendState{Ready: true})
	n.run(time.Second)
	after, _ := n.nodes[peer].kernel.SharedState().Table.Get(host)
	is.True(before.Started < back)
	is.True(after.Started >= back)
	is.Equal(after.State, endpoint.Alive)
}

// Guards against a census that misses hosts, waits past its deadline, or hides
// the hosts that did not answer.
func TestCensus(t *testing.T) {
	is := is.New(t)
	n := started(t, 4, 12)
	asker := n.nodes[n.order[7]]
	n.step(n.order[7], kernel.StatusRequested{ID: 1, Deadline: n.now.Add(time.Second)})
	n.until(t, "answer", 300*time.Millisecond, func() bool { return asker.census != nil })
	is.Equal(len(asker.census), 4)
	for _, domain := range asker.census {
		is.Equal(len(domain.Hosts), 12)
		is.Equal(len(domain.Missing)+len(domain.Behind), 0)
	}
	asker.census = nil
	n.step(n.order[7], kernel.StatusRequested{ID: 3, Deadline: n.now.Add(time.Second)})
	is.Equal(len(asker.census), 4) // reused within a second
	n.stop(n.order[20])
	n.run(2 * time.Second)
	asker.census = nil
	n.step(n.order[7], kernel.StatusRequested{ID: 2, Deadline: n.now.Add(time.Second)})
	n.until(t, "answer with a host missing", 1050*time.Millisecond, func() bool { return asker.census != nil })
	is.Equal(asker.census[1].Missing, []string{string(n.order[20])})
}
