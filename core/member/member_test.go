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
	shared := n.nodes[n.order[0]].kernel.Shared()
	for host := range shared.Links {
		is.True(shared.Topology.Wants(host)) // seed links are closed
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
	n.run(12 * time.Minute)
	n.interval = kernel.TickInterval
	if !n.dead(watcher) {
		t.Fatal("the lost domain is seen as reachable again")
	}
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

// Guards against a paused host that blames its neighbours when it wakes, and
// one that stays dead for the others.
func TestPauseAndLateWake(t *testing.T) {
	for _, pause := range []time.Duration{2500 * time.Millisecond, 8 * time.Second, 30 * time.Second} {
		is := is.New(t)
		n := started(t, 2, 8)
		paused := n.order[5]
		n.nodes[paused].paused = true
		n.run(pause)
		before := n.counts["member_suspected"]
		n.resume(paused)
		n.until(t, "alive after "+pause.String(), 5*time.Second, n.allAlive)
		n.run(10 * time.Second)
		is.Equal(n.counts["member_suspected"], before)
		is.True(n.allAlive())
	}
}

// Guards against a false claim that stays in the tables.
func TestRefutation(t *testing.T) {
	for _, state := range []endpoint.State{endpoint.Suspect, endpoint.Dead} {
		n := started(t, 2, 6)
		subject, teller := n.order[2], n.order[8]
		claim, _ := n.nodes[teller].kernel.Shared().Table.Get(subject)
		row := &message.Entry{
			Host: string(claim.Host), FailureDomain: string(claim.Domain), Control: claim.Control, Hop: claim.Hop,
			Incarnation: uint64(claim.Incarnation), Sequence: claim.Sequence, State: uint32(state),
		}
		for peer := range n.nodes[teller].kernel.Shared().Links {
			n.step(teller, kernel.Received{Host: peer, Frame: &message.Frame{
				Body: &message.Frame_Entries{Entries: &message.Entries{Entries: []*message.Entry{row}}},
			}})
			break
		}
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
	row, _ := n.nodes[listed].kernel.Shared().Table.Get(listed)
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
	is.Equal(n.nodes[drained].kernel.Shared().Ready, kernel.Draining)
}

// Guards against a backend server that has returned and gets a full load at
// once: the other hosts must see that it started anew.
func TestBackendReturns(t *testing.T) {
	is := is.New(t)
	n := started(t, 2, 3)
	host, peer := n.order[1], n.order[4]
	n.step(host, kernel.BackendState{Ready: true})
	n.run(time.Second)
	before, _ := n.nodes[peer].kernel.Shared().Table.Get(host)
	n.step(host, kernel.BackendState{})
	n.run(time.Second)
	back := n.now
	n.step(host, kernel.BackendState{Ready: true})
	n.run(time.Second)
	after, _ := n.nodes[peer].kernel.Shared().Table.Get(host)
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
	n.stop(n.order[20])
	n.run(2 * time.Second)
	asker.census = nil
	n.step(n.order[7], kernel.StatusRequested{ID: 2, Deadline: n.now.Add(time.Second)})
	n.until(t, "answer with a host missing", 1050*time.Millisecond, func() bool { return asker.census != nil })
	is.Equal(asker.census[1].Missing, []string{string(n.order[20])})
}
