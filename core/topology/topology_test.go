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

type directedLink struct{ from, to id.Host }

// allLinks returns the links that all live hosts dial.
func allLinks(table *endpoint.Table) map[directedLink]bool {
	links := map[directedLink]bool{}
	table.Each(func(entry *endpoint.Entry) {
		if entry.Live() {
			for _, peer := range topology.Compute(table, entry.Host).Dial {
				links[directedLink{entry.Host, peer.Host}] = true
			}
		}
	})
	return links
}

// countConnected returns the number of hosts in the connected component of first.
func countConnected(links map[directedLink]bool, first id.Host) int {
	adjacent := map[id.Host][]id.Host{}
	for link := range links {
		adjacent[link.from] = append(adjacent[link.from], link.to)
		adjacent[link.to] = append(adjacent[link.to], link.from)
	}
	seen := map[id.Host]bool{first: true}
	for queue := []id.Host{first}; len(queue) > 0; queue = queue[1:] {
		for _, host := range adjacent[queue[0]] {
			if !seen[host] {
				seen[host] = true
				queue = append(queue, host)
			}
		}
	}
	return len(seen)
}

// Guards against a disconnected topology, more links than the limit, and two ends
// that disagree about a link.
func TestEveryHostIsReachable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 12).Draw(t, "domains")
		hosts := rapid.IntRange(1, 500).Draw(t, "hosts")
		table := tableOf(hosts, domains)
		links := allLinks(table)
		if count := countConnected(links, "host-0"); count != hosts {
			t.Fatalf("%d of %d hosts are connected", count, hosts)
		}
		probe := id.Host(fmt.Sprintf("host-%d", rapid.IntRange(0, hosts-1).Draw(t, "probe")))
		view := topology.Compute(table, probe)
		if len(view.Dial)+len(view.Accept) > 16 {
			t.Fatalf("%d links", len(view.Dial)+len(view.Accept))
		}
		for link := range links {
			if link.to == probe && !slices.Contains(view.Accept, link.from) {
				t.Fatalf("%s does not accept the link from %s", probe, link.from)
			}
		}
	})
}

// Guards against a topology that changes most links when one host joins or leaves. A
// host dials at most 3 hosts within its failure domain. The loss of a host shifts the
// positions of its neighbours at the cube root and its square, so the bound grows
// with these distances.
func TestOneHostChangesFewLinks(t *testing.T) {
	table := tableOf(500, 4)
	before := allLinks(table)
	for _, lost := range []id.Host{"host-7", topology.Readers(table, "domain-1", 1)[0]} {
		after := tableOf(500, 4)
		after.Remove(lost)
		changed := 0
		for link := range allLinks(after) {
			if !before[link] {
				changed++
			}
		}
		// 125 hosts in the ring: distances 1, 5 and 25 shift for 1+5+25 hosts; a lost
		// reader changes the links of 3 domains on each side.
		if changed > 1+5+25+2*2*3 {
			t.Fatalf("loss of %s makes %d of %d links new", lost, changed, len(before))
		}
		t.Logf("loss of %s makes %d of %d links new", lost, changed, len(before))
	}
}

// Guards against readers that are not alive, and against a failure domain that has
// hosts but no reader.
func TestReaders(t *testing.T) {
	is := is.New(t)
	table := tableOf(40, 4)
	readers := topology.Readers(table, "domain-2", 3)
	is.Equal(len(readers), 3)
	entry, _ := table.Get(readers[0])
	entry.State = endpoint.Suspect
	table.Merge(entry)
	is.Equal(topology.Readers(table, "domain-2", 2), readers[1:])
	table.Each(func(entry *endpoint.Entry) { is.True(len(topology.Neighbors(table, entry.Host)) <= 3) })
	for _, entry := range table.All() {
		entry.State = max(entry.State, endpoint.Leaving)
		table.Merge(entry)
	}
	is.Equal(topology.Readers(table, "domain-2", 2), readers[1:])
	is.Equal(len(topology.Readers(table, "no-domain", 2)), 0)
}

// Guards against a failure domain that counts as unreachable after the loss of some
// hosts, or as reachable after the loss of all of the first ones.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	table := tableOf(60, 3)
	ranked := topology.Readers(table, "domain-1", 20)
	observer := topology.Readers(table, "domain-0", 1)[0]
	for index, host := range ranked[:8] {
		view := topology.Compute(table, observer)
		is.Equal(len(view.Unreachable), 0)
		is.Equal(len(view.FallbackDial) > 0, index >= 2)
		entry, _ := table.Get(host)
		entry.State = endpoint.Dead
		table.Merge(entry)
	}
	is.True(topology.Compute(table, observer).Unreachable["domain-1"])
	is.True(!topology.Compute(table, ranked[9]).Unreachable["domain-1"]) // its own hosts do not list it
	peers := topology.DomainPeers(table, observer)
	is.Equal(len(peers), 1)
	is.Equal(peers[0].Domain, id.Domain("domain-2"))
}

func BenchmarkCompute(b *testing.B) {
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
