package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
)

const service id.Service = "counter"

func server(name backend.ID, domain id.Domain) backend.Server {
	return backend.Server{ID: name, Service: service, Domain: domain, Slots: 10}
}

func choose(t *testing.T, c *Chooser, request Request, count int) map[backend.ID]int {
	t.Helper()
	counts := map[backend.ID]int{}
	request.Service = service
	for _, state := range c.servers {
		state.lastRequestAt = request.Now
	}
	for range count {
		choice, found := c.Choose(request)
		if !found {
			t.Fatal("no backend server")
		}
		counts[choice.Server.ID]++
	}
	return counts
}

// Guards against requests to slow or full backend servers while a fast one has free
// slots.
func TestChooseByExpectedTime(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	c := New("reduit", 1)
	c.SetServers([]backend.Server{server("fast", "reduit"), server("slow", "reduit"), server("full", "reduit")})
	c.Report(Report{Server: "fast", Running: 5, Slots: 10, Service: 100 * time.Millisecond, At: now})
	c.Report(Report{Server: "slow", Slots: 10, Service: 300 * time.Millisecond, At: now})
	c.Report(Report{Server: "full", Running: 10, Queued: 30, Slots: 10, Service: 100 * time.Millisecond, At: now})
	is.Equal(choose(t, c, Request{Now: now}, 50)["fast"], 50)
	// Requests sent by this daemon count until the next report.
	for range 40 {
		c.Started("fast", now)
	}
	is.Equal(choose(t, c, Request{Now: now}, 50)["slow"], 50)
	c.Report(Report{Server: "fast", Running: 5, Slots: 10, Service: 100 * time.Millisecond, At: now + 1})
	// This daemon still has forty requests in flight there.
	is.Equal(choose(t, c, Request{Now: now}, 50)["slow"], 50)
}

// Guards against large responses that leave the failure domain to save a few
// milliseconds, and against failing them when only other domains have capacity.
func TestLargeResponsesStayInTheDomain(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	c := New("reduit", 1)
	c.SetServers([]backend.Server{server("near", "reduit"), server("far", "ebene")})
	c.Report(Report{Server: "near", Running: 9, Slots: 10, Service: 200 * time.Millisecond, At: now})
	c.Report(Report{Server: "far", Slots: 10, Service: 100 * time.Millisecond, At: now})
	is.Equal(choose(t, c, Request{Now: now, Large: true}, 20)["near"], 20)
	is.Equal(choose(t, c, Request{Now: now}, 20)["far"], 20)
	c.Report(Report{Server: "near", Running: 10, Queued: 40, Slots: 10, Service: 200 * time.Millisecond, At: now})
	is.Equal(choose(t, c, Request{Now: now, Large: true}, 20)["far"], 20)
}

// Guards against requests to a backend server that is leaving, fails repeatedly or has
// just refused one, and against refusing every request when all servers have failed.
func TestFailingServersAreEjected(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	c := New("reduit", 1)
	servers := []backend.Server{server("a", "reduit"), server("b", "reduit")}
	c.SetServers(servers)
	for range ejectionThreshold {
		c.Started("a", now)
		c.Finished("a", Failed, now)
	}
	is.Equal(choose(t, c, Request{Now: now}, 20)["b"], 20)
	is.True(choose(t, c, Request{Now: now.Add(firstEjection)}, 50)["a"] > 0)
	c.Finished("b", Refused, now)
	is.Equal(len(choose(t, c, Request{Now: now}, 50)), 2)
	c.Report(Report{Server: "b", Leaving: true, At: now})
	is.Equal(choose(t, c, Request{Now: now}, 20)["a"], 20)
	servers[0].State = backend.Draining
	c.SetServers(servers)
	_, found := c.Choose(Request{Service: service, Now: now})
	is.True(!found)
	// A new process with the same id starts with a clean record.
	servers[0].State, servers[0].Born = backend.Ready, 5
	c.SetServers(servers)
	is.Equal(choose(t, c, Request{Now: now}, 20)["a"], 20)
	_, found = c.Choose(Request{Service: service, Now: now, Exclude: []backend.ID{"a", "b"}})
	is.True(!found)
}

// Guards against a backend server that joins a fleet and receives no requests because
// its state is unknown or because it is slower than the others.
func TestJoinedServerGetsWork(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	c := New("reduit", 1)
	c.SetServers([]backend.Server{server("a", "reduit"), server("b", "reduit"), server("new", "ebene")})
	for _, name := range []backend.ID{"a", "b"} {
		c.Report(Report{Server: name, Slots: 10, Service: 20 * time.Millisecond, At: now})
		c.Started(name, now)
	}
	c.Report(Report{Server: "new", Slots: 10, Service: 60 * time.Millisecond, At: now})
	got := 0
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		choice, found := c.Choose(Request{Service: service, Now: now})
		is.True(found)
		c.Started(choice.Server.ID, now)
		c.Finished(choice.Server.ID, Served, now)
		if choice.Server.ID == "new" {
			got++
		}
	}
	is.Equal(got, 3)
}

// Guards against requests that hang at a daemon behind a network partition, where
// connections are not reset, while other daemons respond.
func TestSilentDaemonIsAvoided(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	c := New("reduit", 1)
	c.SetServers([]backend.Server{server("cut", "reduit"), server("slow", "ebene")})
	c.Report(Report{Server: "cut", Slots: 10, Service: 20 * time.Millisecond, At: now})
	now = now.Add(silenceTimeout + 1)
	c.Report(Report{Server: "slow", Slots: 10, Service: 200 * time.Millisecond, At: now})
	is.Equal(choose(t, c, Request{Now: now}, 20)["slow"], 20)
	choice, found := c.Choose(Request{Service: service, Now: now, Exclude: []backend.ID{"slow"}})
	is.True(found)
	is.Equal(choice.Server.ID, backend.ID("cut"))
}

// Guards against large responses from a host whose link is busy for a second although
// its slots are free, and against charging the local host for a link.
func TestLargeResponsesAvoidBusyLinks(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	c := New("reduit", 1)
	c.SetServers([]backend.Server{server("busy", "reduit"), server("free", "reduit")})
	busy := Report{
		Server: "busy", Slots: 10, Service: 100 * time.Millisecond,
		LinkWait: time.Second, TransferTime: 120 * time.Millisecond, At: now,
	}
	free := Report{
		Server: "free", Running: 9, Slots: 10, Service: 200 * time.Millisecond,
		TransferTime: 120 * time.Millisecond, At: now,
	}
	c.Report(busy)
	c.Report(free)
	is.Equal(choose(t, c, Request{Now: now, Large: true}, 20)["free"], 20)
	is.Equal(choose(t, c, Request{Now: now}, 20)["busy"], 20)
	is.Equal(choose(t, c, Request{Now: now, Large: true, Local: "busy"}, 20)["busy"], 20)
	// Large responses requested since the report occupy the link as well.
	for range 20 {
		c.Started("free", now)
		c.Finished("free", Served, now)
	}
	is.Equal(choose(t, c, Request{Now: now, Large: true}, 20)["busy"], 20)
}

// Guards against a backend server that hangs on a third of its requests while each
// daemon sends too few to detect it. Its own daemon reports the failure rate, so that
// other servers take the load and it is not probed. It still serves when the others
// are overloaded.
func TestFailingServersGetLess(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	c := New("reduit", 1)
	c.SetServers([]backend.Server{server("grey", "reduit"), server("sound", "reduit")})
	grey := Report{Server: "grey", Slots: 10, Service: 100 * time.Millisecond, FailureRate: 0.34, At: now}
	sound := Report{Server: "sound", Running: 10, Queued: 5, Slots: 10, Service: 100 * time.Millisecond, At: now}
	c.Report(grey)
	c.Report(sound)
	is.Equal(choose(t, c, Request{Now: now}, 20)["sound"], 20)
	is.True(!c.servers["grey"].needsProbe(&Request{Now: now.Add(probeInterval)}, now))
	sound.Queued = 40
	c.Report(sound)
	is.Equal(choose(t, c, Request{Now: now}, 20)["grey"], 20)
	is.Equal(c.servers["grey"].failureCost(100*time.Millisecond, now.Add(reportTTL)), time.Duration(0))
}

// Guards against many times the rate of a cold server being sent to it, before its daemon
// has reported and after it has refused a request.
func TestColdServerHasLittleCapacity(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	c := New("reduit", 1)
	cold, warm := server("cold", "reduit"), server("warm", "reduit")
	cold.ColdRate, warm.ColdRate, cold.ColdUntil = 11, 11, now.Add(3*time.Second)
	c.SetServers([]backend.Server{cold, warm})
	for range 2 {
		c.Started("cold", now)
		c.Started("warm", now)
	}
	// Each has ten slots, of which the rate of the cold server fills one.
	is.Equal(choose(t, c, Request{Now: now}, 50)["warm"], 50)
	later := now.Add(4 * time.Second)
	is.True(choose(t, c, Request{Now: later}, 50)["cold"] > 0)
	c.RefusedCold("cold", later.Add(100*time.Millisecond), later)
	is.Equal(choose(t, c, Request{Now: later}, 50)["warm"], 50)
	is.True(choose(t, c, Request{Now: later.Add(200 * time.Millisecond)}, 50)["cold"] > 0)
}

// Guards against requests that look for a free slot at a server whose daemon says that it
// is cold, and against requests that wait at one that the daemon knows to be warm.
func TestRateLimitedChoice(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	limited := func(listed backend.Server, reportedSlots int) bool {
		c := New("reduit", 1)
		c.SetServers([]backend.Server{listed})
		if reportedSlots > 0 {
			c.Report(Report{Server: listed.ID, Slots: reportedSlots, At: now})
		}
		choice, _ := c.Choose(Request{Service: service, Now: now})
		return choice.RateLimited
	}
	cold := server("i-1", "reduit")
	cold.ColdUntil = now.Add(time.Second)
	is.True(!limited(cold, 0)) // without a rate
	is.True(!limited(cold, 1))
	cold.ColdRate = 11
	is.True(limited(cold, 0))
	is.True(!limited(cold, cold.Slots))
	is.True(limited(cold, 1))
}
