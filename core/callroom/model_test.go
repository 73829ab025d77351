package callroom

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/retry"
)

const (
	// callsPerRun and callTime are the calls of each run and how long one occupies a slot.
	callsPerRun = 2
	callTime    = 50 * time.Millisecond
	// ownWork is how long a run works before its first call.
	ownWork = 30 * time.Millisecond
	// maxQueueWait is how long a request or call waits for a slot.
	maxQueueWait = 60 * time.Millisecond
	// callRank is the rank of calls in the queue of the called service.
	callRank = 1
	// reportDelay is the age of the load reports that daemons see.
	reportDelay = 300 * time.Millisecond
)

// load is what a model of a caller service and a called service is subjected to. Times are
// in seconds from the start.
type load struct {
	// daemons share the clients' requests, of which there are requests per second.
	daemons  int
	requests func(second float64) float64
	// callerSlots and calledSlots are the slots of the two services.
	callerSlots, calledSlots func(second float64) int
	// direct is the rate of direct requests at the called service. They precede calls, or
	// follow them if directLast is set.
	direct     func(second float64) float64
	directLast bool
	// failing is the share of calls that are refused whatever the load.
	failing float64
	// returns is how often a refused client comes back after the time that it was told.
	returns int
	// seconds is the length of the run, and reports whether daemons see load reports.
	seconds int
	reports bool
	// admitAll turns the admission off.
	admitAll bool
}

// counts are the requests that arrived within one second, by what became of them. Refused
// ones were refused before they started, failed ones for a refused call.
type counts struct{ offered, refused, served, failed int }

func (c counts) failedShare() float64 { return share(c.failed, c.failed+c.served) }

func (c counts) refusedShare() float64 { return share(c.refused, c.offered) }

func share(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }

// result has the counts of each second.
type result []counts

// between returns the sum over the seconds from the first up to the last, exclusive.
func (r result) between(first, last int) (sum counts) {
	for _, second := range r[first:last] {
		sum.offered += second.offered
		sum.refused += second.refused
		sum.served += second.served
		sum.failed += second.failed
	}
	return sum
}

// event is something that happens at an instant of the model.
type event struct {
	at id.Instant
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model runs a load.
type model struct {
	load
	now            id.Instant
	pending        events
	random         *rand.Rand
	caller, called *service
	tables         []*Table
	result         result
	// used is the occupancy of the called service in steps of 10 ms, for the reports.
	used []float64
}

// play returns what becomes of the requests under the load.
func play(l load, seed uint64) result {
	m := &model{load: l, random: rand.New(rand.NewPCG(seed, seed)), result: make(result, l.seconds)} //nolint:gosec // A model.
	m.caller = &service{model: m, slots: l.callerSlots}
	m.called = &service{model: m, slots: l.calledSlots}
	for range l.daemons {
		m.tables = append(m.tables, NewTable(m.occupancy))
	}
	m.arrive(l.requests, func() { m.request(l.returns) })
	directRank := callRank - 1
	if l.directLast {
		directRank = callRank + 1
	}
	m.arrive(l.direct, func() { m.called.enter(directRank, callTime, func() {}, func() {}) })
	m.tick()
	for len(m.pending) > 0 {
		next := heap.Pop(&m.pending).(event)
		m.now = next.at
		next.do()
	}
	return m.result
}

func (m *model) after(wait time.Duration, do func()) {
	heap.Push(&m.pending, event{m.now.Add(wait), do})
}

func (m *model) second() float64 { return time.Duration(m.now).Seconds() }

// arrive calls do at random instants with the rate per second.
func (m *model) arrive(rate func(second float64) float64, do func()) {
	if rate == nil || m.second() >= float64(m.seconds) {
		return
	}
	// A rate of zero is looked at again after 10 ms.
	perSecond := rate(m.second())
	wait := 10 * time.Millisecond
	if perSecond > 0 {
		wait = time.Duration(m.random.ExpFloat64() / perSecond * float64(time.Second))
	}
	m.after(wait, func() {
		if perSecond > 0 && m.second() < float64(m.seconds) {
			do()
		}
		m.arrive(rate, do)
	})
}

// tick records the occupancy every 10 ms and uses slots that have been added.
func (m *model) tick() {
	m.used = append(m.used, float64(m.called.running+len(m.called.queue))/float64(max(1, m.called.slots(m.second()))))
	m.caller.grant()
	m.called.grant()
	if m.second() < float64(m.seconds) {
		m.after(10*time.Millisecond, m.tick)
	}
}

// occupancy is the Occupancy of all daemons.
func (m *model) occupancy(_ string, at id.Instant) (float64, bool) {
	then := int(time.Duration(at)-reportDelay) / int(10*time.Millisecond)
	if !m.reports || then < 0 || then >= len(m.used) {
		return 0, false
	}
	return m.used[then], true
}

// request is one request of a client, at a random daemon, that comes back as often if it is
// refused.
func (m *model) request(returns int) {
	if m.second() >= float64(m.seconds) {
		return
	}
	table := m.tables[m.random.IntN(len(m.tables))]
	count := &m.result[int(m.second())]
	count.offered++
	if decision := table.Admit("orders", m.random.Uint64(), m.now); !m.admitAll && !decision.Admitted {
		count.refused++
		if returns > 0 {
			m.after(retry.After(decision.RetryAfter, m.random.Uint64()), func() { m.request(returns - 1) })
		}
		return
	}
	run := table.Begun("orders", m.now)
	// The caller's slot is held until the last call has ended.
	m.caller.enter(callRank, 0, func() {
		m.after(ownWork, func() {
			m.call(callsPerRun, func(callRefused bool) {
				m.caller.leave()
				table.Ended(run, callRefused, m.now)
				if callRefused {
					count.failed++
				} else {
					count.served++
				}
			})
		})
	}, func() { count.refused++ })
}

// call makes the remaining calls of a run one after the other.
func (m *model) call(remaining int, end func(callRefused bool)) {
	if remaining == 0 {
		end(false)
		return
	}
	refused := func() { end(true) }
	if m.random.Float64() < m.failing {
		refused()
		return
	}
	m.called.enter(callRank, callTime, func() { m.after(callTime, func() { m.call(remaining-1, end) }) }, refused)
}

// service has slots and a queue in order of rank and arrival.
type service struct {
	model   *model
	slots   func(second float64) int
	running int
	queue   []*waiting
}

type waiting struct {
	rank    int
	hold    time.Duration
	granted func()
}

// enter waits for a slot and calls granted, or refused after maxQueueWait. The slot is held
// for the given time, or until leave is called if that is zero.
func (s *service) enter(rank int, hold time.Duration, granted, refused func()) {
	entry := &waiting{rank: rank, hold: hold, granted: granted}
	position := len(s.queue)
	for position > 0 && s.queue[position-1].rank > rank {
		position--
	}
	s.queue = append(s.queue[:position], append([]*waiting{entry}, s.queue[position:]...)...)
	s.grant()
	s.model.after(maxQueueWait, func() {
		for i, other := range s.queue {
			if other == entry {
				s.queue = append(s.queue[:i], s.queue[i+1:]...)
				refused()
				return
			}
		}
	})
}

func (s *service) grant() {
	for len(s.queue) > 0 && s.running < s.slots(s.model.second()) {
		first := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		if first.hold > 0 {
			s.model.after(first.hold, s.leave)
		}
		first.granted()
	}
}

func (s *service) leave() {
	s.running--
	s.grant()
}
