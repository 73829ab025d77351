package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"marjoramsaddle/platform/platformtest"
)

const (
	// limitWindow, limitFactor and limitSlack are the documented bound for a backend
	// server with a limit: the requests in any window of this length.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitReaction is the documented time for which a host may still send what it sent
	// before it passed on the announcement of a limit.
	limitReaction = 500 * time.Millisecond
)

// limitPeriod is a time in which a backend server announces a limit.
type limitPeriod struct {
	server      string
	rate        float64
	from, until time.Time
}

// hostAndServer names a host and a backend server of which it has heard.
type hostAndServer struct{ host, server string }

// knowledge records when the hosts first passed on the announcements of backend
// servers to their clients.
type knowledge struct {
	mu      sync.Mutex
	limited map[hostAndServer]time.Time
	leaving map[hostAndServer]time.Time
}

func newKnowledge() *knowledge {
	return &knowledge{limited: map[hostAndServer]time.Time{}, leaving: map[hostAndServer]time.Time{}}
}

// record records the announcements in a response that a client got from the host.
func (k *knowledge) record(host string, reply *platformtest.Response, now time.Time) {
	if !reply.Limited && !reply.Leaving {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	pair := hostAndServer{host, strings.TrimPrefix(reply.Signature, platformtest.SignaturePrefix)}
	for _, heard := range []struct {
		announced bool
		first     map[hostAndServer]time.Time
	}{{reply.Limited, k.limited}, {reply.Leaving, k.leaving}} {
		if _, known := heard.first[pair]; heard.announced && !known {
			heard.first[pair] = now
		}
	}
}

// at returns since when the host knows that the server limits its requests, and that it
// is leaving; zero if it does not.
func (k *knowledge) at(host, server string) (limited, leaving time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	pair := hostAndServer{host, server}
	return k.limited[pair], k.leaving[pair]
}

// forgetLimits excuses a host that was cut off, and forgetAll one whose daemon was
// restarted or paused: the host is bound again by what it passes on from now on.
func (k *knowledge) forgetLimits(host string) { k.forget(host, k.limited) }

func (k *knowledge) forgetAll(host string) {
	k.forget(host, k.limited)
	k.forget(host, k.leaving)
}

func (k *knowledge) forget(host string, first map[hostAndServer]time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for pair := range first {
		if pair.host == host {
			delete(first, pair)
		}
	}
}

// recordLimit records that a backend server has announced a limit.
func (b *recorder) recordLimit(period limitPeriod) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = append(b.limits, period)
}

// checkLimits returns the violated limits. The caller holds the lock.
func (b *recorder) checkLimits() []string {
	var broken []string
	for _, period := range b.limits {
		if count, at := mostInWindow(b.boundArrivals(&period)); float64(count) > limitFactor*period.rate*limitWindow.Seconds()+limitSlack {
			broken = append(broken, fmt.Sprintf("%s got %d requests in %v at a limit of %v a second, %v after its announcement",
				period.server, count, limitWindow, period.rate, at.Sub(period.from)))
		}
	}
	return broken
}

// boundArrivals returns the times at which requests of hosts that knew the limit
// arrived, in order, from settleTime after the announcement.
func (b *recorder) boundArrivals(period *limitPeriod) []time.Time {
	var arrivals []time.Time
	for _, runs := range b.runs {
		for i := range runs {
			one := &runs[i]
			if one.server == period.server && !one.limitKnownAt.IsZero() && one.at.Sub(one.limitKnownAt) >= limitReaction &&
				one.at.After(period.from.Add(settleTime)) && one.at.Before(period.until) {
				arrivals = append(arrivals, one.at)
			}
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	return arrivals
}

// mostInWindow returns the largest number of the times in a window, and its start.
func mostInWindow(times []time.Time) (most int, at time.Time) {
	first := 0
	for last := range times {
		for times[last].Sub(times[first]) > limitWindow {
			first++
		}
		if count := last - first + 1; count > most {
			most, at = count, times[first]
		}
	}
	return most, at
}
