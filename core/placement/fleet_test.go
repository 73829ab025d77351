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

// fleet returns the backend servers of one service, spread over five failure
// domains.
func fleet(count int) []backend.Server {
	servers := make([]backend.Server, 0, count)
	for i := range count {
		servers = append(servers, server(backend.ID(fmt.Sprintf("i-%05d", i)), id.Domain(fmt.Sprintf("d%d", i%5))))
	}
	return servers
}

func toldAll(c *Chooser, servers []backend.Server, running int, now id.Instant) {
	for i := range servers {
		c.Report(Report{
			Server: servers[i].ID, Running: running, Slots: servers[i].Slots,
			Service: time.Duration(500+i%7*100) * time.Millisecond, At: now,
		})
	}
}

// Guards against the first seconds of a large fleet: many daemons that know
// nothing of any server yet must not try the servers in the same order, which
// queued their first requests at a few of them.
func TestFirstRequestsOfALargeFleetSpread(t *testing.T) {
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
	// Even shares are six requests for each server, whose slots are ten.
	is.True(most <= 2*10)
}

// Guards against a daemon of a large fleet that has few requests for each server
// sending nearly all of them to servers only because it has not used them
// lately, whatever their speed, load and failure domain.
func TestTrialsTakeAShareOfRequests(t *testing.T) {
	for _, count := range []int{10, 160, 5000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			servers := fleet(count)
			c := New("d0", 1)
			c.SetServers(servers)
			now := id.Instant(time.Hour)
			tried := 0
			const requests = 1000
			for range requests {
				now = now.Add(100 * time.Millisecond)
				toldAll(c, servers[:min(count, 200)], 0, now)
				cursor := c.services[service].trials.cursor
				choice, found := c.Choose(Request{Service: service, Now: now})
				is.True(found)
				c.Started(choice.Server.ID, now)
				c.Finished(choice.Server.ID, Served, now)
				if c.services[service].trials.cursor != cursor {
					tried++
				}
			}
			is.True(tried > 0)
			is.True(tried <= requests/tryRequests)
		})
	}
}

// Guards against requests that leave the failure domain although its own servers
// are as fast and as free as others.
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
	// A rush in one failure domain goes to the others.
	for i := range servers {
		if servers[i].Domain == "d0" {
			c.Report(Report{Server: servers[i].ID, Running: 10, Queued: 10, Slots: 10, Service: 500 * time.Millisecond, At: now})
		}
	}
	for server := range choose(t, c, Request{Now: now}, 100) {
		is.True(c.servers[server].server.Domain != "d0")
	}
}

// Guards against a mean service time that drifts while servers come, go and
// tell new values.
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
		var want mean
		for _, one := range c.servers {
			if one.server.State == backend.Ready {
				want.replace(0, one.report.Service)
			}
		}
		if group := c.services[service]; group != nil {
			is.Equal(group.told, want)
		}
	}
}

// BenchmarkChoose measures one choice among servers that are all known.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{10, 200, 1000, 5000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			servers := fleet(count)
			now := id.Instant(time.Hour)
			c := New("d0", 1)
			c.SetServers(servers)
			toldAll(c, servers, 5, now)
			for b.Loop() {
				if _, found := c.Choose(Request{Service: service, Now: now}); !found {
					b.Fatal("no backend server")
				}
			}
		})
	}
}
