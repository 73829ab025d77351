package placement

import (
	"slices"
	"time"

	"marjoramsaddle/core/id"
)

const (
	// nearSamples and farSamples are the numbers of backend servers sampled for a
	// request in the local and in other failure domains. Two samples suffice among
	// equal servers; a third finds the fast ones more often.
	nearSamples = 3
	farSamples  = 2
	// nearLargeSamples and farLargeSamples apply to large responses, which must not
	// leave the failure domain only because the sample contains no local server.
	nearLargeSamples = 16
	farLargeSamples  = 4
	// inspectedPerSample bounds the servers inspected for each eligible server
	// wanted, since some of them are ineligible or ejected.
	inspectedPerSample = 4
	// maxProbedFailureRate is the failure rate at and above which a server is not
	// probed.
	maxProbedFailureRate = 0.2
	// probeInterval is the time within which each idle backend server is probed by
	// some daemon. Without probes the state of an idle server stays unknown.
	probeInterval = 2 * time.Second
	// probingDaemons is the number of daemons that probe a server in each interval,
	// since some of them may not reach it.
	probingDaemons = 4
	// probeInspections bounds the servers inspected to find one to probe.
	probeInspections = 8
	// minRequestsBetweenProbes bounds the share of requests that ignore load and
	// speed.
	minRequestsBetweenProbes = 8
)

// group holds the ready backend servers of one service, by locality.
type group struct {
	near, far    []*serverState
	serviceTimes meanDuration
	probes       probes
}

func (g *group) add(state *serverState, near bool) {
	state.inGroup = true
	g.serviceTimes.replace(0, state.report.Service)
	if near {
		g.near = append(g.near, state)
		return
	}
	g.far = append(g.far, state)
}

func (g *group) size() int { return len(g.near) + len(g.far) }

// at returns the server at the given index, modulo the size of the group.
func (g *group) at(number uint32) *serverState {
	index := int(number % uint32(g.size()))
	if index < len(g.near) {
		return g.near[index]
	}
	return g.far[index-len(g.near)]
}

// probes schedules the requests that are sent to idle servers.
type probes struct {
	// dueAt is the earliest time of the next probe, or zero before the first.
	dueAt id.Instant
	// requests is the number of requests since the last probe.
	requests int
	// cursor selects the server to inspect next, modulo the size of the group.
	cursor uint32
}

// nextProbe returns an idle server to which this daemon has sent no request within
// the probe interval, or nil. The interval between the probes of one daemon grows
// with the number of servers, because all daemons share the probes.
func (c *Chooser) nextProbe(group *group, request *Request) *serverState {
	probes := &group.probes
	probes.requests++
	if request.Now.Before(probes.dueAt) || probes.requests < minRequestsBetweenProbes && probes.dueAt > 0 {
		return nil
	}
	for range min(probeInspections, group.size()) {
		state := group.at(probes.cursor)
		probes.cursor++
		if !state.needsProbe(request, c.latestReport) {
			continue
		}
		each := probeInterval * time.Duration(max(probingDaemons, len(c.servers))) / probingDaemons
		gap := each / time.Duration(group.size())
		probes.dueAt = request.Now.Add(gap/2 + time.Duration(c.random.Int64N(int64(gap)+1)))
		probes.requests = 0
		return state
	}
	return nil
}

// needsProbe reports whether a probe is needed to learn the state of the server: it is
// idle and eligible, its failure rate is below maxProbedFailureRate, and this daemon
// has sent it no request within probeInterval.
func (s *serverState) needsProbe(request *Request, latestReport id.Instant) bool {
	idle := s.report.Running+s.report.Queued+s.inFlight == 0
	return idle && s.report.FailureRate < maxProbedFailureRate && request.Now.Sub(s.lastRequestAt) >= probeInterval && s.eligibility(request, latestReport) == eligible
}

// eligibility says whether a server may receive a request. Higher values are better.
type eligibility int

const (
	// ineligible servers must not receive it.
	ineligible eligibility = iota
	// lastResort servers receive it only if the sample holds no eligible server.
	lastResort
	eligible
)

func (s *serverState) eligibility(request *Request, latestReport id.Instant) eligibility {
	switch {
	case slices.Contains(request.Exclude, s.server.ID):
		return ineligible
	case s.report.Leaving && s.hasCurrentReport(request.Now):
		return ineligible
	case request.Now.Before(s.ejectedUntil), s.silent(latestReport):
		return lastResort
	default:
		return eligible
	}
}

// selection keeps the best server inspected so far.
type selection struct {
	eligibility eligibility
	choice      Choice
}

func (s *selection) add(candidate eligibility, choice Choice) {
	if candidate > s.eligibility || candidate == s.eligibility && choice.Expected < s.choice.Expected {
		s.eligibility, s.choice = candidate, choice
	}
}

// bestOfSample returns the best server of a small random sample.
func (c *Chooser) bestOfSample(group *group, request *Request) (Choice, bool) {
	near, far := nearSamples, farSamples
	if request.Large {
		near, far = nearLargeSamples, farLargeSamples
	}
	var selected selection
	c.sample(&selected, group.near, near, request)
	c.sample(&selected, group.far, far, request)
	if selected.eligibility == ineligible {
		// No sampled server may receive the request, so inspect all of them.
		c.sample(&selected, group.near, len(group.near), request)
		c.sample(&selected, group.far, len(group.far), request)
	}
	return selected.choice, selected.eligibility != ineligible
}

// sample adds up to count eligible servers to the selection, drawn at random without
// replacement. It reorders servers.
func (c *Chooser) sample(selected *selection, servers []*serverState, count int, request *Request) {
	limit := min(len(servers), inspectedPerSample*count)
	for i := 0; i < limit && count > 0; i++ {
		j := i + c.random.IntN(len(servers)-i)
		servers[i], servers[j] = servers[j], servers[i]
		candidate := servers[i].eligibility(request, c.latestReport)
		if candidate == ineligible {
			continue
		}
		if candidate == eligible {
			count--
		}
		selected.add(candidate, c.estimate(servers[i], request))
	}
}
