package balance

import (
	"fmt"
	"testing"
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const epoch = id.Instant(time.Hour)

func newEntries(domains, perDomain int) []endpoint.Entry {
	entries := make([]endpoint.Entry, 0, domains*perDomain)
	for domain := range domains {
		for host := range perDomain {
			entries = append(entries, endpoint.Entry{
				Host:    id.Host(fmt.Sprintf("host-%d-%d", domain, host)),
				Domain:  id.Domain(fmt.Sprintf("domain-%d", domain)),
				Service: "counter",
				Slots:   20,
			})
		}
	}
	return entries
}

// Guards against choosing leaving, dead or excluded hosts, or suspect hosts while
// another host is available, under any order of changes and results.
func TestChooserStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{LeastLoaded, RoundRobin, Random}).Draw(t, "policy")
		chooser := NewChooser("host-0-0", "domain-0", rapid.Uint64().Draw(t, "seed"), WithPolicy(policy), WithSubsetSize(2))
		entries, now := newEntries(2, 2), epoch
		chooser.SetEndpoints(entries)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				entry := &entries[rapid.IntRange(0, len(entries)-1).Draw(t, "host")]
				entry.State = endpoint.State(rapid.IntRange(0, 3).Draw(t, "state"))
				entry.Incarnation += id.Incarnation(rapid.IntRange(0, 1).Draw(t, "restart"))
				chooser.SetEndpoints(entries)
			},
			"call": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				exclude := []id.Host{entries[rapid.IntRange(0, len(entries)-1).Draw(t, "exclude")].Host}
				usable := map[endpoint.State]int{}
				for _, entry := range entries {
					if entry.Host != exclude[0] {
						usable[entry.State]++
					}
				}
				chosen, refused := chooser.Choose("counter", now, exclude)
				switch {
				case refused != nil && (refused.Reason != refusal.NoEndpoint || usable[endpoint.Alive]+usable[endpoint.Suspect] > 0):
					t.Fatalf("refused %v with usable hosts %v", refused, usable)
				case refused != nil:
					return
				case chosen.Host == exclude[0]:
					t.Fatal("chose an excluded host")
				case chosen.State == endpoint.Leaving || chosen.State == endpoint.Dead:
					t.Fatalf("chose a %v host", chosen.State)
				case chosen.State == endpoint.Suspect && usable[endpoint.Alive] > 0:
					t.Fatal("chose a suspect host while others are alive")
				}
				result := Result(rapid.IntRange(0, 3).Draw(t, "result"))
				for range consecutiveFailuresToEject {
					chooser.Started(chosen.Host)
					chooser.Finished(chosen.Host, now, 0, result)
				}
			},
		})
	})
}

// sendCalls sends calls and returns the number that each host received. With hold
// set, the calls stay outstanding.
func sendCalls(chooser *Chooser, now id.Instant, calls int, hold bool) map[id.Host]int {
	received := map[id.Host]int{}
	for range calls {
		chosen, refused := chooser.Choose("counter", now, nil)
		if refused != nil {
			continue
		}
		received[chosen.Host]++
		chooser.Started(chosen.Host)
		if !hold {
			chooser.Finished(chosen.Host, now, 5*time.Millisecond, Served)
		}
	}
	return received
}

// Guards against calls that leave the local failure domain needlessly, and against
// calls kept there when it is full or gone.
func TestSpillover(t *testing.T) {
	is := is.New(t)
	chooser := NewChooser("host-0-0", "domain-0", 1)
	entries := newEntries(2, 3)
	chooser.SetEndpoints(entries)
	localCalls := func(got map[id.Host]int) int { return got["host-0-0"] + got["host-0-1"] + got["host-0-2"] }
	is.Equal(localCalls(sendCalls(chooser, epoch, 300, false)), 300) // idle: all calls stay local
	held := sendCalls(chooser, epoch, 120, true)
	is.True(localCalls(held) >= 57 && localCalls(held) <= 70) // 60 local slots
	for host, calls := range held {
		is.True(calls <= 24) // none is overloaded
		for range calls {
			chooser.Finished(host, epoch, 5*time.Millisecond, Served)
		}
	}
	for _, host := range []id.Host{"host-0-0", "host-0-1", "host-0-2"} {
		chooser.Started(host)
		chooser.Finished(host, epoch, time.Millisecond, Refused)
	}
	is.Equal(localCalls(sendCalls(chooser, epoch, 100, false)), 0)                      // local hosts refuse
	is.Equal(localCalls(sendCalls(chooser, epoch.Add(5*time.Second), 100, false)), 100) // and recover
	chooser.SetEndpoints(entries[3:])
	is.Equal(localCalls(sendCalls(chooser, epoch, 100, false)), 0) // no local host is left
}

// Guards against all daemons sending to a host that has just started or returned from
// an ejection, and against the host getting too few calls afterwards.
func TestSlowStartPreventsHerd(t *testing.T) {
	for _, reason := range []string{"started", "returned"} {
		t.Run(reason, func(t *testing.T) {
			is := is.New(t)
			entries, at := newEntries(1, 10), epoch
			if reason == "started" {
				entries[0].Started = epoch
			}
			total := map[time.Duration]int{}
			for daemon := range 100 {
				chooser := NewChooser(id.Host(fmt.Sprint("caller-", daemon)), "domain-0", 7)
				chooser.SetEndpoints(entries)
				if reason == "returned" {
					for range consecutiveFailuresToEject {
						chooser.Started(entries[0].Host)
						chooser.Finished(entries[0].Host, epoch.Add(-firstEjection), 0, Failed)
					}
					is.Equal(sendCalls(chooser, epoch.Add(-1), 100, false)[entries[0].Host], 0) // ejected
				}
				for _, age := range []time.Duration{0, 5 * time.Second, 20 * time.Second} {
					total[age] += sendCalls(chooser, at.Add(age), 20, false)[entries[0].Host]
				}
			}
			t.Logf("calls of 2000 by age: %v", total)
			is.True(total[0] < 60)                                              // a tenth would be 200
			is.True(total[5*time.Second] > 50 && total[5*time.Second] < 220)    // about half
			is.True(total[20*time.Second] > 150 && total[20*time.Second] < 250) // full share
		})
	}
}

// Guards against the ejection of a whole subset when every call fails, and against
// ejections whose duration does not grow.
func TestEjection(t *testing.T) {
	is := is.New(t)
	chooser := NewChooser("host-0-0", "domain-0", 1)
	entries := newEntries(1, 6)
	chooser.SetEndpoints(entries)
	fail := func(now id.Instant, host id.Host, count int) {
		for range count {
			chooser.Started(host)
			chooser.Finished(host, now, 0, Failed)
		}
	}
	for _, entry := range entries {
		fail(epoch, entry.Host, 20)
	}
	is.Equal(len(sendCalls(chooser, epoch, 200, false)), 3) // half stay
	now, host := epoch.Add(firstEjection), entries[0].Host
	for doubling := 1; doubling < 9; doubling++ {
		fail(now, host, 1)
		duration := firstEjection << min(doubling, maxEjectionDoublings)
		is.True(chooser.table.Load().hosts[host].stats.ejected(now.Add(duration - 1)))
		now = now.Add(duration)
		is.True(!chooser.table.Load().hosts[host].stats.ejected(now))
	}
	entries[0].Incarnation = id.Incarnation(now) + 1 // a new process
	chooser.SetEndpoints(entries)
	fail(now, host, 20) // calls to the old one end
	is.True(!chooser.table.Load().hosts[host].stats.ejected(now))
}

func BenchmarkChoose(b *testing.B) {
	chooser := NewChooser("host-0-0", "domain-0", 1)
	chooser.SetEndpoints(newEntries(4, 250))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, _ = chooser.Choose("counter", epoch, nil)
		}
	})
}

func BenchmarkCall(b *testing.B) {
	for _, policy := range []Policy{LeastLoaded, RoundRobin, Random} {
		b.Run(policy.String(), func(b *testing.B) {
			chooser := NewChooser("host-0-0", "domain-0", 1, WithPolicy(policy))
			chooser.SetEndpoints(newEntries(4, 250))
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					chosen, _ := chooser.Choose("counter", epoch, nil)
					chooser.Started(chosen.Host)
					chooser.Finished(chosen.Host, epoch, time.Millisecond, Served)
				}
			})
		})
	}
}

func BenchmarkSetEndpoints(b *testing.B) {
	chooser, entries := NewChooser("host-0-0", "domain-0", 1), newEntries(4, 250)
	b.ReportAllocs()
	for b.Loop() {
		chooser.SetEndpoints(entries)
	}
}
