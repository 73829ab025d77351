package placement

import (
	"math"
	"time"

	"marjoramsaddle/core/id"
)

const (
	// assumedService is the service time while no backend server of a service has
	// told its own. It only has to be alike for all.
	assumedService = 100 * time.Millisecond
	// farPenalty is added for another failure domain, whose network is slower.
	farPenalty = 5 * time.Millisecond
	// farLargePenalty is added for long answers instead, because the links
	// between failure domains are the scarce ones.
	farLargePenalty = 400 * time.Millisecond
	// busyShare is the wait expected of a server whose slots are all in use, as a
	// part of its service time; busyPower lets it fall off with free slots.
	busyShare = 0.5
	busyPower = 4
	// failureCost is what a failed attempt costs, in service times: it takes a
	// repeat at best, and the rest of the client's time when the server hangs.
	failureCost = 8
	// coldFactor is how much slower a backend server is right after its start.
	coldFactor = 2.0
	// silentAfter is the least time without a report after which a daemon may be
	// cut off, silentPeriods the number of its periods; single reports are lost.
	silentAfter   = time.Second
	silentPeriods = 3
	// domainSilentAfter is silentAfter for a whole failure domain. News of one of
	// its servers reaches every daemon within half a second.
	domainSilentAfter = 1500 * time.Millisecond
	// reportLife is how long a report of a load counts, at least and in periods.
	reportLife        = 2 * time.Second
	reportLifePeriods = 4
)

// mean is the mean of the service times that the servers of a group have told.
type mean struct {
	sum   time.Duration
	count int
}

// replace exchanges the value of one server; zero stands for none.
func (m *mean) replace(former, latest time.Duration) {
	if former > 0 {
		m.sum -= former
		m.count--
	}
	if latest > 0 {
		m.sum += latest
		m.count++
	}
}

// serviceTime returns the service time that the server has told, or the mean of
// its group.
func (c *Chooser) serviceTime(one *state) time.Duration {
	if one.report.Service > 0 {
		return one.report.Service
	}
	if group := c.services[one.server.Service]; group != nil && group.told.count > 0 {
		return group.told.sum / time.Duration(group.told.count)
	}
	return assumedService
}

// silent reports whether the daemon beside the server has told nothing for a
// while before the latest report of any, though it did earlier. Where nothing at
// all is heard, silence does not tell one server from another.
func (s *state) silent(heard id.Instant) bool {
	if s.report.At == 0 {
		return false
	}
	return heard.Sub(s.report.At) > max(silentAfter, silentPeriods*s.report.Period) ||
		heard.Sub(*s.domainHeard) > domainSilentAfter
}

// known reports whether the latest report still counts.
func (s *state) known(now id.Instant) bool {
	return s.report.At > 0 && now.Sub(s.report.At) < max(reportLife, reportLifePeriods*s.report.Period)
}

// failureCost returns what the failures of the server add to the time of a good
// answer.
func (s *state) failureCost(service time.Duration, now id.Instant) time.Duration {
	if !s.known(now) {
		return 0
	}
	return time.Duration(failureCost * s.report.FailureRate * float64(service))
}

// estimate returns when the backend server would answer.
func (c *Chooser) estimate(one *state, request *Request) Choice {
	service := c.serviceTime(one)
	load, slots := one.pending, max(1, one.server.Slots)
	if one.known(request.Now) {
		load = max(one.report.Running+one.report.Queued+len(one.sent), one.pending)
		slots = max(1, one.report.Slots)
	}
	if request.Now.Before(one.server.ColdUntil) {
		service = time.Duration(coldFactor * float64(service))
	}
	var wait time.Duration
	if over := load + 1 - slots; over > 0 {
		wait = time.Duration(float64(over) / float64(slots) * float64(service))
	}
	// Reports are a little old, so the last slots of a server may be taken.
	used := float64(min(load, slots)) / float64(slots)
	busy := time.Duration(busyShare * math.Pow(used, busyPower) * float64(service))
	expected := wait + service + busy + one.failureCost(service, request.Now)
	if request.Large && one.server.ID != request.Local {
		expected = max(expected, one.report.LinkWait+time.Duration(len(one.sent))*one.report.TransferTime) + one.report.TransferTime
	}
	if one.server.Domain != c.domain {
		expected += farPenalty
		if request.Large {
			expected += farLargePenalty
		}
	}
	return Choice{Server: one.server, Expected: expected, QueueWait: wait}
}
