package topology_test

import (
	"fmt"
	"slices"
	"testing"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/topology"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func entryOf(index, domains int) endpoint.Entry {
	name := fmt.Sprintf("host-%d", index)
	return endpoint.Entry{
		Host: id.Host(name), Domain: id.Domain(fmt.Sprintf("domain-%d", index%domains)),
		Control: name, Incarnation: 1, Sequence: 1,
	}
}

func tableOf(hosts, domains int) *endpoint.Table {
	table := endpoint.NewTable()
	for index := range hosts {
		table.Merge(entryOf(index, domains))
	}
	return table
}

type pair struct{ from, to id.Host }

// links returns the union of the links of all live hosts.
func links(table *endpoint.Table) map[pair]bool {
	found := map[pair]bool{}
	table.Each(func(entry *endpoint.Entry) {
		if entry.Live() {
			for _, peer := range topology.Compute(table, entry.Host).Dial {
				found[pair{entry.Host, peer.Host}] = true
			}
		}
	})
	return found
}

// reached counts the hosts that links connect with the first host.
func reached(found map[pair]bool, first id.Host) int {
	next := map[id.Host][]id.Host{}
	for link := range found {
		next[link.from] = append(next[link.from], link.to)
		next[link.to] = append(next[link.to], link.from)
	}
	seen := map[id.Host]bool{first: true}
	for queue := []id.Host{first}; len(queue) > 0; queue = queue[1:] {
		for _, host := range next[queue[0]] {
			if !seen[host] {
				seen[host] = true
				queue = append(queue, host)
			}
		}
	}
	return len(seen)
}

// Guards against a table whose links leave hosts apart, against more links
// than the limit, and against two ends that disagree about a link.
func TestEveryHostIsReachable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 12).Draw(t, "domains")
		hosts := rapid.IntRange(1, 500).Draw(t, "hosts")
		table := tableOf(hosts, domains)
		found := links(table)
		if count := reached(found, "host-0"); count != hosts {
			t.Fatalf("%d of %d hosts reached", count, hosts)
		}
		probe := id.Host(fmt.Sprintf("host-%d", rapid.IntRange(0, hosts-1).Draw(t, "probe")))
		view := topology.Compute(table, probe)
		if len(view.Dial)+len(view.Accept) > 16 {
			t.Fatalf("%d links", len(view.Dial)+len(view.Accept))
		}
		for link := range found {
			if link.to == probe && !slices.Contains(view.Accept, link.from) {
				t.Fatalf("%s does not expect %s", probe, link.from)
			}
		}
	})
}

// Guards against a rule that moves most links when one host comes or goes.
// A host has at most 3 links in each direction within its failure domain; its
// loss shifts the positions between a host and its neighbours at the cube root
// and its square, so the bound grows with their distances.
func TestOneHostChangesFewLinks(t *testing.T) {
	table := tableOf(500, 4)
	before := links(table)
	for _, lost := range []id.Host{"host-7", topology.Readers(table, "domain-1", 1)[0]} {
		after := tableOf(500, 4)
		after.Remove(lost)
		changed := 0
		for link := range links(after) {
			if !before[link] {
				changed++
			}
		}
		// 125 hosts in the ring: distances 1, 5 and 25 shift for 1+5+25 hosts;
		// a lost reader moves the links of 3 domains on each side.
		if changed > 1+5+25+2*2*3 {
			t.Fatalf("loss of %s makes %d of %d links new", lost, changed, len(before))
		}
		t.Logf("loss of %s makes %d of %d links new", lost, changed, len(before))
	}
}

// Guards against readers that are not alive, and against a failure domain
// without a reader while some host there is left.
func TestReaders(t *testing.T) {
	is := is.New(t)
	table := tableOf(40, 4)
	first := topology.Readers(table, "domain-2", 3)
	is.Equal(len(first), 3)
	entry, _ := table.Get(first[0])
	entry.State = endpoint.Suspect
	table.Merge(entry)
	is.Equal(topology.Readers(table, "domain-2", 2), first[1:])
	table.Each(func(entry *endpoint.Entry) { is.True(len(topology.Neighbors(table, entry.Host)) <= 3) })
	for _, entry := range table.All() {
		entry.State = max(entry.State, endpoint.Leaving)
		table.Merge(entry)
	}
	is.Equal(topology.Readers(table, "domain-2", 2), first[1:])
	is.Equal(len(topology.Readers(table, "no-domain", 2)), 0)
}

// Guards against the loss of some hosts that passes for the loss of a failure
// domain, and against the reverse.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	table := tableOf(60, 3)
	order := topology.Readers(table, "domain-1", 20)
	watcher := topology.Readers(table, "domain-0", 1)[0]
	for index, host := range order[:8] {
		view := topology.Compute(table, watcher)
		is.Equal(len(view.Unreachable), 0)
		is.Equal(len(view.FallbackDial) > 0, index >= 2)
		entry, _ := table.Get(host)
		entry.State = endpoint.Dead
		table.Merge(entry)
	}
	is.True(topology.Compute(table, watcher).Unreachable["domain-1"])
	is.True(!topology.Compute(table, order[9]).Unreachable["domain-1"]) // not for its own hosts
	peers := topology.DomainPeers(table, watcher)
	is.Equal(len(peers), 1)
	is.Equal(peers[0].Domain, id.Domain("domain-2"))
}

func BenchmarkOf(b *testing.B) {
	for _, size := range []struct{ hosts, domains int }{{450, 1}, {5400, 12}} {
		table := tableOf(size.hosts, size.domains)
		reader := topology.Readers(table, "domain-0", 1)[0]
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			for b.Loop() {
				topology.Compute(table, reader)
			}
		})
	}
}
