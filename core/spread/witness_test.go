package spread_test

import (
	"testing"
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/spread"
	"marjoramsaddle/core/topology"

	"github.com/matryer/is"
)

// Guards against hosts that receive no announcements of versions because links have
// the opposite direction to the topology, as links to seeds may have. Such hosts
// waited 400 ms for witnesses at each change.
func TestWitnessesDoNotDependOnTheDirectionOfLinks(t *testing.T) {
	is := is.New(t)
	n := newNetwork(17)
	n.maxDelay = time.Millisecond
	n.release(5)
	table := endpoint.NewTable()
	hosts := make([]id.Host, 0, 10)
	for index := range cap(hosts) {
		host := id.Host("a" + string(rune('0'+index)))
		hosts = append(hosts, host)
		table.Merge(n.start(host, kernel.Options{}, true).env.Self)
	}
	for index, host := range hosts {
		for _, entry := range table.All() {
			n.nodes[host].kernel.SharedState().Table.Merge(entry)
		}
		for _, dialled := range topology.Neighbors(table, host) {
			if index%2 == 0 {
				n.link(host, dialled.Host)
			} else {
				n.link(dialled.Host, host)
			}
		}
	}
	n.run(9 * time.Second)
	before := n.total(spread.CountUnwitnessed)
	for version := id.Version(6); version < 12; version++ {
		n.release(version)
		n.run(2 * time.Second)
		is.True(n.converged(version))
	}
	is.Equal(n.total(spread.CountUnwitnessed), before)
}
