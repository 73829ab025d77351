package callroom

import (
	"math"
	"time"

	"marjoramsaddle/core/id"
)

const (
	// toleratedShare is the share of runs that may fail for a refused call. Some calls are
	// refused also at a service that is not overloaded.
	toleratedShare = 0.05
	// startExcess is the number of recent failed runs, beyond the tolerated ones, from
	// which fewer requests are admitted. Three failures within a second are not chance
	// where one run in twenty fails; two often are. Beside a full called service two close
	// together count, or daemons with few runs would start late. With 1 instead of 1.5, 2
	// in 100 requests were refused where 2 in 100 runs failed by chance.
	startExcess     = 2.0
	startExcessFull = 1.5
	// minWindow, windowRuns and windowRunsFull are the least time and the fewest ended runs
	// from which a new share is derived. A window also lasts windowRunTimes mean run times,
	// since failed runs end sooner than the others.
	minWindow      = 250 * time.Millisecond
	windowRuns     = 5
	windowRunsFull = 4
	windowRunTimes = 1.5
	// runTimeWeight is the weight of one run in the mean run time.
	runTimeWeight = 1.0 / 8
	// settleTime is how long after a reduction new runs still meet the queues of before it.
	settleTime = 100 * time.Millisecond
	// maxStep is the least factor of one reduction. The first failures of a window
	// overstate their share, because successful runs take longer.
	maxStep = 0.5
	// minAdmitted is the least admitted share, from which it recovers in two seconds.
	minAdmitted = 0.05
	// minAdmittedWithRoom applies while the load reports show room and at most the share
	// mostlyFailed of the runs fails. Calls are then refused for another reason than the
	// load, which fewer runs need not change, and most runs are worth their start.
	minAdmittedWithRoom = 0.5
	mostlyFailed        = 0.5
	// roomBelow and fullFrom are the used shares of the slots below which a service has room
	// and from which it is full. Between them nothing is concluded, since reports are up to
	// half a second old.
	roomBelow = 0.85
	fullFrom  = 0.95
	// occupancyInterval is the time between two looks at the load reports.
	occupancyInterval = 100 * time.Millisecond
	// clearOdds and minClearRuns bound the runs in a row that show room without reports: as
	// many as would be served once in clearOdds times if there were none.
	clearOdds    = 8
	minClearRuns = 2
	// slowGrowth is the relative growth per second while nothing shows that there is room.
	// It also corrects reductions by chance.
	slowGrowth = 0.03
	// growthPerSecond is by how much the growth per second of the share increases each
	// second while there is room. A half grows to one in 1.4 s, a twentieth in 2 s.
	growthPerSecond = 0.5
	// fullGrowth is the relative growth per second while calls are served although the
	// called service is full: with requests that they precede, or, more often, with as many
	// calls as it can serve. Accelerating growth made steady overload fail 6 runs in 100.
	fullGrowth = 0.05
	// liftFactor is the multiple of the demand from which the limit is lifted. From the
	// demand itself on, all requests are admitted, but the measured demand varies.
	liftFactor = 1.25
	// recoveryTime is about how long the share takes to return once there is room.
	recoveryTime = 2 * time.Second
	// negligibleFailures is the count of recent failed runs below which a route counts as
	// one without failures, three seconds after a single one.
	negligibleFailures = 0.05
)

// routeState is the state of a route.
type routeState struct {
	// limited is set while fewer than all requests may be admitted. Then rate is the number
	// of requests per second that are, as of grownAt. It is a rate and not a share, since
	// refused clients come back and add to the demand.
	limited        bool
	rate           float64
	grownAt        id.Instant
	lastAdmittedAt id.Instant
	demand         demand
	// usedAt is when the last request arrived or the last run ended.
	usedAt id.Instant
	// loweredAt is when the rate was last lowered. Runs that began before show nothing
	// about the present one.
	loweredAt id.Instant
	// hasRoom and isFull are what the load reports said at occupancyAt; both are false if
	// they are unknown.
	hasRoom, isFull bool
	occupancyAt     id.Instant
	// clearSince is since when there has been room, as far as known.
	clearSince id.Instant
	// servedInRow is the number of runs since the last failed one, and clearRuns the number
	// from which they show that there is room.
	servedInRow, clearRuns int
	meanRunTime            time.Duration
	// recent counts the runs of the last second, and window those from which the next
	// rate is derived.
	recent recentRuns
	window window
}

// window counts the runs that ended since an instant.
type window struct {
	runs, failed int
	since        id.Instant
}

// share returns the share of the runs that failed.
func (w *window) share() float64 { return float64(w.failed) / float64(w.runs) }

// exceedsTolerated reports whether more runs failed than are tolerated, by more than one
// standard deviation of their number.
func (w *window) exceedsTolerated() bool {
	tolerated := toleratedShare * float64(w.runs)
	return float64(w.failed)-tolerated >= math.Sqrt(tolerated)
}

func newRouteState(at id.Instant) *routeState {
	return &routeState{grownAt: at, lastAdmittedAt: at, recent: recentRuns{at: at}, demand: demand{since: at, at: at}}
}

// share returns the share of the requests that are admitted.
func (s *routeState) share(at id.Instant) Share {
	if !s.limited {
		return 1
	}
	return Share(min(1, s.rate/s.demand.rate(at)))
}

// isQuiet reports whether all requests are admitted and no run has failed for a while.
func (s *routeState) isQuiet(at id.Instant) bool {
	s.recent.decay(at)
	return !s.limited && s.recent.failed < negligibleFailures
}

// isUnused reports whether there has been no request and no run for so long that the state
// says nothing.
func (s *routeState) isUnused(at id.Instant) bool {
	return at.Sub(s.usedAt) > forgetAfter
}

// setOccupancy sets the used share of the slots of the called services.
func (s *routeState) setOccupancy(used float64, known bool, at id.Instant) {
	s.occupancyAt = at
	s.hasRoom, s.isFull = known && used < roomBelow, known && used >= fullFrom
}

// grow raises the admitted rate by what the time since the last call allows.
func (s *routeState) grow(at id.Instant) {
	elapsed := at.Sub(s.grownAt).Seconds()
	if elapsed <= 0 {
		return
	}
	s.grownAt = at
	if !s.limited {
		return
	}
	demand := s.demand.rate(at)
	served := s.servedInRow >= s.clearRuns
	switch {
	case s.hasRoom && s.servedInRow > 0, served && !s.isFull:
		s.rate += growthPerSecond * at.Sub(s.clearSince).Seconds() * demand * elapsed
	case served:
		s.rate *= math.Exp(fullGrowth * elapsed)
		s.clearSince = at
	default:
		s.rate *= math.Exp(slowGrowth * elapsed)
		s.clearSince = at
	}
	if s.rate >= liftFactor*demand {
		s.limited, s.recent = false, recentRuns{at: at}
	}
}

// ended records a run.
func (s *routeState) ended(began id.Instant, callRefused bool, at id.Instant) {
	s.recent.add(callRefused, at)
	if !callRefused {
		s.recordRunTime(at.Sub(began))
	}
	if !s.limited {
		if s.recent.excess() >= s.startExcess() {
			s.lower(s.recent.share(), at)
		}
		return
	}
	if began.Before(s.loweredAt.Add(settleTime)) {
		return
	}
	s.window.runs++
	s.servedInRow++
	if callRefused {
		s.window.failed++
		s.servedInRow = 0
	}
	switch {
	case !s.windowIsComplete(at):
	case s.window.exceedsTolerated() && s.servedInRow < s.clearRuns:
		s.lower(s.window.share(), at)
	default:
		s.window = window{since: at}
	}
}

func (s *routeState) recordRunTime(took time.Duration) {
	if s.meanRunTime == 0 {
		s.meanRunTime = took
	}
	s.meanRunTime += time.Duration(runTimeWeight * float64(took-s.meanRunTime))
}

func (s *routeState) startExcess() float64 {
	if s.isFull {
		return startExcessFull
	}
	return startExcess
}

func (s *routeState) windowIsComplete(at id.Instant) bool {
	least := windowRuns
	if s.isFull {
		least = windowRunsFull
	}
	length := max(minWindow, time.Duration(windowRunTimes*float64(s.meanRunTime)))
	return s.window.runs >= least && at.Sub(s.window.since) >= length
}

// lower reduces the admitted rate to what the called services have room for, given the
// share of the runs that failed at the present one.
func (s *routeState) lower(failed float64, at id.Instant) {
	least := Share(minAdmitted)
	if s.hasRoom && failed <= mostlyFailed {
		least = minAdmittedWithRoom
	}
	former := s.share(at)
	lowered := min(former, max(least, former*Share(max(maxStep, (1-failed)/(1-toleratedShare)))))
	// The share of runs that will fail if the called services have room for no more.
	expected := max(toleratedShare, 1-(1-failed)*float64(former/lowered))
	s.clearRuns = max(minClearRuns, int(math.Log(clearOdds)/-math.Log(1-expected)))
	s.limited, s.rate = true, float64(lowered)*s.demand.rate(at)
	s.loweredAt, s.clearSince, s.servedInRow = at, at, 0
	s.window = window{since: at.Add(settleTime)}
}
