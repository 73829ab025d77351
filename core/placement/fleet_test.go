package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
)

// fleet returns the backend servers of one service, spread over five failure domains.
func fleet(count int) []backend.Server {
	servers := make([]backend.Server, 0, count)
	for i := range count {
		servers = append(servers, server(backend.ID(fmt.Sprintf("i-%05d", i)), id.Domain(fmt.Sprintf("d%d", i%5))))
	}
	return servers
}

func reportAll(c *Chooser, servers []backend.Server, running int, now id.Instant) {
	for i := range servers {
		c.Report(Report{
			Server: servers[i].ID, Running: running, Slots: servers[i].Slots,
			Service: time.Duration(500+i%7*100) * time.Millisecond, At: now,
		})
	}
}

// Guards against overload at the start of a large fleet: daemons without any reports
// must not try the servers in the same order, which queued their first requests at a
// few of them.
func TestFirstRequestsOfALargeFleetAreSpread(t *testing.T) {
	is := is.New(t)
	servers := fleet(160)
	now := id.Instant(time.Hour)
	counts := map[backend.ID]int{}
	const daemons, requests = 195, 5
	for daemon := range daemons {
		c := New(id.Domain(fmt.Sprintf("d%d", daemon%5)), uint64(daemon))
		c.SetServers(servers)
		for i := range requests {
			choice, found := c.Choose(Request{Service: service, Now: now.Add(time.Duration(i) * 100 * time.Millisecond)})
			is.True(found)
			c.Started(choice.Server.ID, now)
			counts[choice.Server.ID]++
		}
	}
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	// An even distribution gives each server six requests; each has ten slots.
	is.True(most <= 2*10)
}

// Guards against a daemon of a large fleet, which has few requests for each server,
// using nearly all of them as probes and thereby ignoring speed, load and locality.
func TestProbesAreAShareOfRequests(t *testing.T) {
	for _, count := range []int{10, 160, 5000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			servers := fleet(count)
			c := New("d0", 1)
			c.SetServers(servers)
			now := id.Instant(time.Hour)
			probed := 0
			const requests = 1000
			for range requests {
				now = now.Add(100 * time.Millisecond)
				reportAll(c, servers[:min(count, 200)], 0, now)
				cursor := c.services[service].probes.cursor
				choice, found := c.Choose(Request{Service: service, Now: now})
				is.True(found)
				c.Started(choice.Server.ID, now)
				c.Finished(choice.Server.ID, Served, now)
				if c.services[service].probes.cursor != cursor {
					probed++
				}
			}
			is.True(probed > 0)
			is.True(probed <= requests/minRequestsBetweenProbes)
		})
	}
}

// Guards against requests that leave the failure domain although its servers are as
// fast and as idle as others.
func TestLargeFleetStaysInTheDomain(t *testing.T) {
	is := is.New(t)
	servers := fleet(160)
	now := id.Instant(time.Hour)
	c := New("d0", 1)
	c.SetServers(servers)
	for i := range servers {
		c.Report(Report{Server: servers[i].ID, Running: 5, Slots: 10, Service: 500 * time.Millisecond, At: now})
	}
	for server, count := range choose(t, c, Request{Now: now}, 100) {
		is.True(c.servers[server].server.Domain == "d0" || count == 0)
	}
	// An overload of the local failure domain spills over to the others.
	for i := range servers {
		if servers[i].Domain == "d0" {
			c.Report(Report{Server: servers[i].ID, Running: 10, Queued: 10, Slots: 10, Service: 500 * time.Millisecond, At: now})
		}
	}
	for server := range choose(t, c, Request{Now: now}, 100) {
		is.True(c.servers[server].server.Domain != "d0")
	}
}

// Guards against a mean service time that drifts while servers are added, removed and
// report new values.
func TestMeanServiceTime(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // A fixed sequence.
	now := id.Instant(time.Hour)
	c := New("d0", 1)
	all := fleet(20)
	for range 200 {
		random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		listed := all[:1+random.IntN(len(all))]
		listed[0].State = backend.State(random.IntN(2))
		c.SetServers(listed)
		for i := range listed {
			now++
			c.Report(Report{Server: listed[i].ID, Service: time.Duration(random.IntN(3)) * time.Second, Slots: 1, At: now})
		}
		var want meanDuration
		for _, state := range c.servers {
			if state.server.State == backend.Ready {
				want.replace(0, state.report.Service)
			}
		}
		if group := c.services[service]; group != nil {
			is.Equal(group.serviceTimes, want)
		}
	}
}

// BenchmarkChoose measures one choice among servers that have all reported.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{10, 200, 1000, 5000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			servers := fleet(count)
			now := id.Instant(time.Hour)
			c := New("d0", 1)
			c.SetServers(servers)
			reportAll(c, servers, 5, now)
			for b.Loop() {
				if _, found := c.Choose(Request{Service: service, Now: now}); !found {
					b.Fatal("no backend server")
				}
			}
		})
	}
}
