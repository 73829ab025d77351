package placement

import (
	"slices"
	"time"

	"marjoramsaddle/core/id"
)

const (
	// nearDraws and farDraws are the numbers of backend servers of the own and of
	// other failure domains that a request considers. Two are enough among equal
	// servers; a third finds the fast ones more often.
	nearDraws = 3
	farDraws  = 2
	// nearLargeDraws and farLargeDraws are those for long answers, which must not
	// leave the failure domain only because the draw holds no server of it.
	nearLargeDraws = 16
	farLargeDraws  = 4
	// looksPerDraw bounds the servers that are looked at for each one considered,
	// while some are passed over.
	looksPerDraw = 4
	// failing is the share of failed requests from which a server is not tried for
	// the sake of trying.
	failing = 0.2
	// tryInterval is the time within which each backend server without work is
	// tried by some daemon. What is never tried is never known.
	tryInterval = 2 * time.Second
	// tryDaemons is the number of daemons that try a server in each interval,
	// since some of them may not reach it.
	tryDaemons = 4
	// tryLooks bounds the servers that are looked at for one trial.
	tryLooks = 8
	// tryRequests is the least number of requests between two trials, which bounds
	// the share of requests that go where load and speed would not send them.
	tryRequests = 8
)

// group holds the backend servers of one service that take work.
type group struct {
	near, far []*state
	told      mean
	trials    trials
}

func (g *group) add(one *state, near bool) {
	one.grouped = true
	g.told.replace(0, one.report.Service)
	if near {
		g.near = append(g.near, one)
		return
	}
	g.far = append(g.far, one)
}

func (g *group) size() int { return len(g.near) + len(g.far) }

// at returns one of all servers; a number beyond them begins anew.
func (g *group) at(number uint32) *state {
	index := int(number % uint32(g.size()))
	if index < len(g.near) {
		return g.near[index]
	}
	return g.far[index-len(g.near)]
}

// trials spaces the requests that go to servers without work.
type trials struct {
	due      id.Instant
	requests int
	cursor   uint32
}

// trial returns a server without work that no request of this daemon has reached
// for a while, or nil. All daemons together try each server a few times in every
// interval, so the share of one daemon falls with the size of the fleet.
func (c *Chooser) trial(group *group, request *Request) *state {
	trials := &group.trials
	trials.requests++
	if request.Now.Before(trials.due) || trials.requests < tryRequests && trials.due > 0 {
		return nil
	}
	for range min(tryLooks, group.size()) {
		one := group.at(trials.cursor)
		trials.cursor++
		if !one.untried(request, c.heard) {
			continue
		}
		each := tryInterval * time.Duration(max(tryDaemons, len(c.servers))) / tryDaemons
		gap := each / time.Duration(group.size())
		trials.due = request.Now.Add(gap/2 + time.Duration(c.random.Int64N(int64(gap)+1)))
		trials.requests = 0
		return one
	}
	return nil
}

// untried reports whether the server has no work that would show how it is.
func (s *state) untried(request *Request, heard id.Instant) bool {
	idle := s.report.Running+s.report.Queued+s.pending == 0
	return idle && s.report.FailureRate < failing && request.Now.Sub(s.started) >= tryInterval && s.fitness(request, heard) == fit
}

// fitness says whether a server may get a request.
type fitness int

const (
	// unfit servers must not get it.
	unfit fitness = iota
	// passedOver servers are better than none.
	passedOver
	fit
)

func (s *state) fitness(request *Request, heard id.Instant) fitness {
	switch {
	case slices.Contains(request.Exclude, s.server.ID):
		return unfit
	case s.report.Leaving && s.known(request.Now):
		return unfit
	case request.Now.Before(s.passed), s.silent(heard):
		return passedOver
	default:
		return fit
	}
}

// selection keeps the best server seen so far.
type selection struct {
	fitness fitness
	choice  Choice
}

func (s *selection) add(found fitness, choice Choice) {
	if found > s.fitness || found == s.fitness && choice.Expected < s.choice.Expected {
		s.fitness, s.choice = found, choice
	}
}

// best returns the best of a few servers drawn at random.
func (c *Chooser) best(group *group, request *Request) (Choice, bool) {
	near, far := nearDraws, farDraws
	if request.Large {
		near, far = nearLargeDraws, farLargeDraws
	}
	var selected selection
	c.draw(&selected, group.near, near, request)
	c.draw(&selected, group.far, far, request)
	if selected.fitness == unfit {
		// Only where nearly all servers leave.
		c.draw(&selected, group.near, len(group.near), request)
		c.draw(&selected, group.far, len(group.far), request)
	}
	return selected.choice, selected.fitness != unfit
}

// draw adds some of the servers to the selection. It changes their order.
func (c *Chooser) draw(selected *selection, servers []*state, wanted int, request *Request) {
	looks := min(len(servers), looksPerDraw*wanted)
	for i := 0; i < looks && wanted > 0; i++ {
		j := i + c.random.IntN(len(servers)-i)
		servers[i], servers[j] = servers[j], servers[i]
		found := servers[i].fitness(request, c.heard)
		if found == unfit {
			continue
		}
		if found == fit {
			wanted--
		}
		selected.add(found, c.estimate(servers[i], request))
	}
}
