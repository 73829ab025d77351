package placement

import (
	"math"
	"time"

	"marjoramsaddle/core/id"
)

const (
	// defaultServiceTime applies while no backend server of a service has reported
	// a service time. It only has to be identical for all servers of a service.
	defaultServiceTime = 100 * time.Millisecond
	// farPenalty is added for another failure domain, whose network is slower.
	farPenalty = 5 * time.Millisecond
	// farLargePenalty is added for large responses on top, because the links between
	// failure domains are the scarce resource.
	farLargePenalty = 400 * time.Millisecond
	// fullLoadWaitShare is the expected wait, as a share of the service time, at a
	// server whose slots are all in use. While slots are free, it is multiplied by
	// the used share of the slots to the power of loadExponent.
	fullLoadWaitShare = 0.5
	loadExponent      = 4
	// failureCost is the cost of a failed attempt as a multiple of the service time.
	// A failure costs at least a retry, and all time up to the client's deadline if
	// the server hangs.
	failureCost = 8
	// coldStartFactor is how much slower a backend server is right after its start.
	coldStartFactor = 2.0
	// A daemon counts as unreachable after silenceTimeout or silencePeriods of its
	// report periods without a report, whichever is longer. A single lost report
	// must not have this effect.
	silenceTimeout = time.Second
	silencePeriods = 3
	// domainSilenceTimeout is silenceTimeout for a whole failure domain. A report
	// from one of its servers reaches every daemon within half a second.
	domainSilenceTimeout = 1500 * time.Millisecond
	// A load report expires after reportTTL or reportTTLPeriods periods, whichever
	// is longer.
	reportTTL        = 2 * time.Second
	reportTTLPeriods = 4
)

// meanDuration is the mean of the service times reported by the servers of a group.
type meanDuration struct {
	sum   time.Duration
	count int
}

// replace replaces the value of one server; zero means that it has none.
func (m *meanDuration) replace(former, latest time.Duration) {
	if former > 0 {
		m.sum -= former
		m.count--
	}
	if latest > 0 {
		m.sum += latest
		m.count++
	}
}

// serviceTime returns the service time that the server has reported, or else the mean
// of its group.
func (c *Chooser) serviceTime(state *serverState) time.Duration {
	if state.report.Service > 0 {
		return state.report.Service
	}
	if group := c.services[state.server.Service]; group != nil && group.serviceTimes.count > 0 {
		return group.serviceTimes.sum / time.Duration(group.serviceTimes.count)
	}
	return defaultServiceTime
}

// silent reports whether the daemon of the server, or its failure domain, has stopped
// reporting while other daemons still report. It measures up to the latest report of
// any daemon rather than up to now: if no reports arrive at all, their absence does
// not distinguish the servers.
func (s *serverState) silent(latestReport id.Instant) bool {
	if s.report.At == 0 {
		return false
	}
	return latestReport.Sub(s.report.At) > max(silenceTimeout, silencePeriods*s.report.Period) ||
		latestReport.Sub(*s.domainLatestReport) > domainSilenceTimeout
}

// hasCurrentReport reports whether the latest report has not expired.
func (s *serverState) hasCurrentReport(now id.Instant) bool {
	return s.report.At > 0 && now.Sub(s.report.At) < max(reportTTL, reportTTLPeriods*s.report.Period)
}

// failureCost returns the expected delay due to failures: the service time times the
// constant failureCost and the reported failure rate. It is zero without a current
// report.
func (s *serverState) failureCost(service time.Duration, now id.Instant) time.Duration {
	if !s.hasCurrentReport(now) {
		return 0
	}
	return time.Duration(failureCost * s.report.FailureRate * float64(service))
}

// rateLimited reports whether the server is probably cold. The daemon beside it knows best,
// and reports fewer slots than the server has.
func (s *serverState) rateLimited(now id.Instant) bool {
	switch {
	case s.server.ColdRate <= 0:
		return false
	case now.Before(s.rateLimitedUntil):
		return true
	case s.hasCurrentReport(now):
		return s.report.Slots < s.server.Slots
	default:
		return now.Before(s.server.ColdUntil)
	}
}

// estimate returns the expected latency of a request at the backend server.
func (c *Chooser) estimate(state *serverState, request *Request) Choice {
	service := c.serviceTime(state)
	load, slots := state.inFlight, max(1, state.server.Slots)
	if state.hasCurrentReport(request.Now) {
		load = max(state.report.Running+state.report.Queued+len(state.sentSinceReport), state.inFlight)
		slots = max(1, state.report.Slots)
	} else if state.server.ColdRate > 0 && request.Now.Before(state.server.ColdUntil) {
		// The daemon beside the server has not reported yet what the rate allows.
		slots = state.server.ColdCapacity(service)
	}
	if request.Now.Before(state.server.ColdUntil) {
		service = time.Duration(coldStartFactor * float64(service))
	}
	var wait time.Duration
	if over := load + 1 - slots; over > 0 {
		wait = time.Duration(float64(over) / float64(slots) * float64(service))
	}
	// Reports are slightly stale, so the last free slots may already be in use.
	used := float64(min(load, slots)) / float64(slots)
	busy := time.Duration(fullLoadWaitShare * math.Pow(used, loadExponent) * float64(service))
	expected := wait + service + busy + state.failureCost(service, request.Now)
	if request.Large && state.server.ID != request.Local {
		expected = max(expected, state.report.LinkWait+time.Duration(len(state.sentSinceReport))*state.report.TransferTime) + state.report.TransferTime
	}
	if state.server.Domain != c.domain {
		expected += farPenalty
		if request.Large {
			expected += farLargePenalty
		}
	}
	return Choice{
		Server: state.server, Expected: expected, QueueWait: wait,
		RateLimited: state.rateLimited(request.Now),
	}
}
