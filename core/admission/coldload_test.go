package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/coldstart"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/core/refusal"
)

// The deployment of these loads, and the platform's bound for any one second.
const (
	simulatedRate    = id.RequestRate(11)
	simulatedCold    = 3 * time.Second
	simulatedBound   = 11*1.5 + 8
	simulatedSlots   = 6
	simulatedAim     = time.Second
	simulatedTimeout = 2 * time.Second
	// coldService and warmService are service times, checkService that of a health check.
	coldService  = 200 * time.Millisecond
	warmService  = 100 * time.Millisecond
	checkService = 6 * time.Millisecond
	// entryInterval is how often entries are rewritten; they arrive up to entryDelay late.
	entryInterval  = 1500 * time.Millisecond
	entryDelay     = 1200 * time.Millisecond
	reportInterval = 200 * time.Millisecond
	step           = time.Millisecond
)

// simulatedRequest is a request of a client or a call of a running request.
type simulatedRequest struct {
	Work
	arrived                id.Instant
	attempts, coldRefusals int
	exclude                []backend.ID
	noWait                 bool
	served, rejected       bool
	endedAt                id.Instant
	retryAfter             time.Duration
}

// event is something that happens at a later instant of a simulation.
type event struct {
	at id.Instant
	do func()
}

// simulatedServer is a backend server with the daemon beside it.
type simulatedServer struct {
	world     *simulation
	listed    backend.Server
	gate      *Gate
	state     *coldstart.State
	coldUntil id.Instant
	down      bool
	// born is when the present process started; the list may not say so yet.
	born id.Instant
	// queued holds the requests and health checks that wait in the gate, arrivals when
	// requests have reached the present process.
	queued   map[*waiter]func(*Ticket, refusal.Reason)
	arrivals []id.Instant
	checks   int
}

// simulation plays a service without network or clock.
type simulation struct {
	now      id.Instant
	limited  bool
	random   *rand.Rand
	servers  []*simulatedServer
	choosers []*placement.Chooser
	events   []event
	requests []*simulatedRequest
	attempts int
}

// newSimulation returns servers that are not cold. The rate of cold ones is only limited
// if limited is set.
func newSimulation(count int, limited bool) *simulation {
	w := &simulation{now: id.Instant(time.Hour), limited: limited, random: rand.New(rand.NewPCG(7, 7))} //nolint:gosec // A fixed sequence.
	for i := range count {
		s := &simulatedServer{world: w, listed: backend.Server{ID: backend.ID(fmt.Sprint("i-", i)), Service: "counter", Slots: simulatedSlots, Born: 1}}
		if limited {
			s.listed.ColdRate = simulatedRate
		}
		s.born = s.listed.Born
		s.startDaemon()
		w.servers = append(w.servers, s)
	}
	for i := range 5 {
		w.choosers = append(w.choosers, placement.New("reduit", uint64(i)))
	}
	for _, s := range w.servers {
		s.writeEntries(s.listed.Born)
	}
	w.report()
	w.run(time.Second, 0)
	return w
}

// startDaemon starts the daemon beside the server, which knows nothing.
func (s *simulatedServer) startDaemon() {
	s.gate, s.state = NewGate(simulatedSlots, simulatedSlots), coldstart.New(simulatedCold)
	s.queued = map[*waiter]func(*Ticket, refusal.Reason){}
	s.state.Listed(s.listed.Process(), 0, s.world.now)
	s.apply()
}

func (s *simulatedServer) apply() {
	if s.world.limited {
		s.gate.SetColdStart(s.world.now, simulatedRate, s.state.Until())
	}
}

func (s *simulatedServer) left() time.Duration { return max(0, s.coldUntil.Sub(s.world.now)) }

// restart ends the process; another one starts under the same ID after the given time.
func (s *simulatedServer) restart(after time.Duration) {
	s.down = true
	s.world.after(after, func() {
		s.down, s.arrivals, s.born = false, nil, s.world.now
		s.coldUntil = s.world.now.Add(simulatedCold)
		s.writeEntries(s.born)
	})
}

// writeEntries rewrites the entry of a process until it ends.
func (s *simulatedServer) writeEntries(born id.Instant) {
	w := s.world
	left := s.left()
	w.after(time.Duration(w.random.Int64N(int64(entryDelay))), func() {
		if born < s.listed.Born {
			return
		}
		s.listed.Born, s.listed.ColdLeft, s.listed.ColdUntil = born, left, w.now.Add(left)
		s.state.Listed(s.listed.Process(), left, w.now)
		s.apply()
		w.list()
	})
	w.after(entryInterval, func() {
		if !s.down && born == s.born {
			s.writeEntries(born)
		}
	})
}

func (w *simulation) list() {
	servers := make([]backend.Server, 0, len(w.servers))
	for _, s := range w.servers {
		servers = append(servers, s.listed)
	}
	for _, chooser := range w.choosers {
		chooser.SetServers(servers)
	}
}

// report passes load reports on, as daemons do in each round.
func (w *simulation) report() {
	for _, s := range w.servers {
		running, queued := s.gate.Load()
		report := placement.Report{Server: s.listed.ID, Running: running, Queued: queued, Slots: simulatedSlots, Service: warmService, At: w.now}
		if w.limited && w.now.Before(s.state.Until()) {
			report.Slots = s.listed.ColdCapacity(report.Service)
		}
		for _, chooser := range w.choosers {
			chooser.Report(report)
		}
	}
	w.after(reportInterval, w.report)
}

func (w *simulation) after(delay time.Duration, do func()) {
	w.events = append(w.events, event{at: w.now.Add(delay), do: do})
}

// run plays the given time with the given number of new requests per second.
func (w *simulation) run(lasts time.Duration, perSecond float64) {
	for end := w.now.Add(lasts); w.now < end; w.now = w.now.Add(step) {
		due := w.events
		w.events = nil
		for _, e := range due {
			if e.at <= w.now {
				e.do()
			} else {
				w.events = append(w.events, e)
			}
		}
		for _, s := range w.servers {
			s.tick()
		}
		if w.random.Float64() < perSecond*step.Seconds() {
			w.newRequest()
		}
	}
}

// newRequest sends a request of a random priority; a tenth are calls.
func (w *simulation) newRequest() {
	priority := []int{0, 0, 1, 1, 1, 2, 2, 2, 2, 2}[w.random.IntN(10)]
	rank := RankOf(priority)
	if w.random.IntN(10) == 0 {
		rank = CallRankOf(priority)
	}
	r := &simulatedRequest{arrived: w.now, Work: Work{Rank: rank, Deadline: w.now.Add(simulatedTimeout)}}
	w.requests = append(w.requests, r)
	w.attempt(r, w.choosers[w.random.IntN(len(w.choosers))])
}

// attempt chooses a server and asks the daemon beside it, as io/ingress does.
func (w *simulation) attempt(r *simulatedRequest, chooser *placement.Chooser) {
	choice, _ := chooser.Choose(placement.Request{Service: "counter", Now: w.now, Exclude: r.exclude})
	index := slices.IndexFunc(w.servers, func(s *simulatedServer) bool { return s.listed.ID == choice.Server.ID })
	if index < 0 || r.coldRefusals >= 2 && choice.RateLimited {
		r.rejected = true
		return
	}
	s := w.servers[index]
	r.attempts++
	w.attempts++
	r.noWait = r.attempts <= 2 && !choice.RateLimited
	r.QueueDeadline = w.now
	if !r.noWait {
		r.QueueDeadline = w.now.Add(Wait{Aim: simulatedAim, Left: r.Deadline.Sub(w.now), Service: warmService}.Longest())
	}
	chooser.Started(choice.Server.ID, w.now)
	s.acquire(r.Work, func(ticket *Ticket, reason refusal.Reason) {
		if ticket != nil {
			s.serve(ticket, r, chooser)
			return
		}
		chooser.Finished(choice.Server.ID, placement.Refused, w.now)
		if reason == refusal.ServerCold {
			r.retryAfter = s.gate.retryAfter(reason, r.Work)
			chooser.RefusedCold(choice.Server.ID, w.now.Add(r.retryAfter), w.now)
			if !r.noWait {
				r.coldRefusals++
			}
		}
		if !r.noWait {
			r.exclude = append(r.exclude, choice.Server.ID)
		}
		if r.rejected = r.attempts >= 5; !r.rejected {
			w.attempt(r, chooser)
		}
	})
}

// acquire passes the result of the gate on, now or later.
func (s *simulatedServer) acquire(work Work, done func(*Ticket, refusal.Reason)) {
	ticket, queued, reason := s.gate.tryAcquireWork(s.world.now, work)
	if queued != nil {
		s.queued[queued] = done
		return
	}
	done(ticket, reason)
}

// serve runs a request at the server, which may be down.
func (s *simulatedServer) serve(ticket *Ticket, r *simulatedRequest, chooser *placement.Chooser) {
	w := s.world
	if s.down {
		ticket.Release(w.now)
		chooser.Finished(s.listed.ID, placement.Failed, w.now)
		s.state.Doubt(w.now)
		s.apply()
		r.rejected = true
		return
	}
	s.arrivals = append(s.arrivals, w.now)
	service := warmService
	if s.left() > 0 {
		service = coldService
	}
	w.after(service, func() {
		ticket.Release(w.now)
		chooser.Finished(s.listed.ID, placement.Served, w.now)
		r.served, r.endedAt = true, w.now
	})
}

// tick ends queued requests and sends health checks.
func (s *simulatedServer) tick() {
	w := s.world
	s.gate.Expire(w.now)
	for queued, done := range s.queued {
		select {
		case <-queued.done:
			delete(s.queued, queued)
			done(queued.ticket, queued.reason)
		default:
		}
	}
	if !w.limited || !s.state.NeedsCheck(w.now) {
		return
	}
	s.state.Checked(w.now)
	s.checks++
	state := s.state
	until := w.now.Add(2 * time.Second)
	s.acquire(Work{Rank: rankHealthCheck, Deadline: until, QueueDeadline: until}, func(ticket *Ticket, _ refusal.Reason) {
		if ticket == nil || s.down {
			if ticket != nil {
				ticket.Release(w.now)
			}
			state.Doubt(w.now)
			s.apply()
			return
		}
		s.arrivals = append(s.arrivals, w.now)
		w.after(checkService, func() {
			ticket.Release(w.now)
			state.Answered(s.listed.Process(), s.left(), w.now)
			s.apply()
		})
	})
}

// mostInOneSecond returns the highest number of arrivals in any one second.
func (s *simulatedServer) mostInOneSecond(from, to id.Instant) int {
	most := 0
	for i, first := range s.arrivals {
		count := 0
		for _, at := range s.arrivals[i:] {
			if first >= from && at < to && at.Sub(first) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// share returns the share of the requests of these times for which served holds.
func (w *simulation) share(from, to id.Instant, belongs, served func(*simulatedRequest) bool) float64 {
	all, good := 0, 0
	for _, r := range w.requests {
		if r.arrived >= from && r.arrived < to && belongs(r) {
			all++
			if served(r) {
				good++
			}
		}
	}
	return float64(good) / float64(max(1, all))
}

func anyRequest(*simulatedRequest) bool { return true }
func isServed(r *simulatedRequest) bool { return r.served }
func isOnTime(r *simulatedRequest) bool { return r.served && r.endedAt.Sub(r.arrived) <= simulatedAim }

func ofPriority(priority int) func(*simulatedRequest) bool {
	return func(r *simulatedRequest) bool { return r.Rank == RankOf(priority) || r.Rank == CallRankOf(priority) }
}

// Guards against a fleet that does not come back after a power loss everywhere: all
// servers start cold at once under 1.6 times the requests that they take.
func TestAllServersStartColdAtOnce(t *testing.T) {
	is := is.New(t)
	const servers = 14
	load := 1.6 * float64(simulatedRate) * servers
	w := newSimulation(servers, true)
	w.run(2*time.Second, load)
	before := w.share(0, w.now.Add(-simulatedAim), anyRequest, isOnTime)
	for _, s := range w.servers {
		s.restart(500 * time.Millisecond)
		s.startDaemon()
	}
	w.run(500*time.Millisecond, 0)
	begin, attempts, requests := w.now, w.attempts, len(w.requests)
	w.run(simulatedCold, load)
	end := w.now
	attempts, requests = w.attempts-attempts, len(w.requests)-requests
	w.run(4*time.Second, load)
	w.run(simulatedTimeout, 0)
	arrived := 0
	for _, s := range w.servers {
		most := s.mostInOneSecond(begin, end)
		if float64(most) > simulatedBound {
			t.Errorf("%s got %d requests in one second", s.listed.ID, most)
		}
		for _, at := range s.arrivals {
			if at < end {
				arrived++
			}
		}
	}
	shares := []float64{w.share(begin, end, ofPriority(0), isServed), w.share(begin, end, ofPriority(1), isServed), w.share(begin, end, ofPriority(2), isServed)}
	after := w.share(end, end.Add(4*time.Second), anyRequest, isOnTime)
	t.Logf("%d arrivals at %d servers, shares by priority %.2f, %d attempts for %d requests, on time before %.3f, after %.3f",
		arrived, servers, shares, attempts, requests, before, after)
	is.True(arrived <= int(servers*(float64(simulatedRate)*simulatedCold.Seconds()+2)))
	is.True(arrived >= int(0.8*servers*float64(simulatedRate)*simulatedCold.Seconds()))
	is.True(shares[0] >= 0.9)
	is.True(shares[0] > shares[1] && shares[1] > shares[2])
	is.True(attempts <= 3*requests)
	is.True(after >= 0.99 && before >= 0.99)
}

// Guards against requests at the full rate to a process that has restarted under its ID,
// before the list says so.
func TestServerRestartsColdUnderItsID(t *testing.T) {
	is := is.New(t)
	w := newSimulation(3, true)
	s := w.servers[0]
	w.run(time.Second, 150)
	s.restart(300 * time.Millisecond)
	w.run(300*time.Millisecond, 150)
	begin := w.now
	w.run(simulatedCold, 150)
	most := s.mostInOneSecond(begin, w.now)
	t.Logf("%d in one second, %d health checks", most, s.checks)
	is.True(float64(most) <= simulatedBound)
	is.True(most >= int(simulatedRate))
	w.run(2*time.Second, 150)
	is.True(s.mostInOneSecond(w.now.Add(-1500*time.Millisecond), w.now) > 2*int(simulatedRate))
}

// Guards against a server that returns to the cold state during traffic and gets more
// than its rate once its entry has said so.
func TestServerReturnsToCold(t *testing.T) {
	is := is.New(t)
	w := newSimulation(3, true)
	s := w.servers[0]
	w.run(time.Second, 150)
	s.coldUntil = w.now.Add(2 * simulatedCold)
	end := s.coldUntil
	w.run(entryInterval+entryDelay, 150)
	learned := w.now
	w.run(end.Sub(w.now), 150)
	most := s.mostInOneSecond(learned, end)
	t.Logf("%d in one second", most)
	is.True(float64(most) <= simulatedBound)
	is.True(most >= int(simulatedRate)-1)
	is.Equal(s.checks, 1) // at the start of the daemon
	w.run(2*time.Second, 150)
	is.True(s.mostInOneSecond(end, w.now) > 2*int(simulatedRate))
}

// Guards against a daemon that restarts beside a cold server and sends it more than its
// rate, together with what its predecessor has sent.
func TestDaemonRestartsBesideColdServer(t *testing.T) {
	is := is.New(t)
	w := newSimulation(3, true)
	s := w.servers[0]
	s.restart(0)
	w.run(2*time.Millisecond, 150)
	s.state.Doubt(w.now)
	s.apply()
	begin := w.now
	w.run(1500*time.Millisecond, 150)
	s.startDaemon()
	w.run(s.coldUntil.Sub(w.now), 150)
	most := s.mostInOneSecond(begin, w.now)
	t.Logf("%d in one second", most)
	is.True(float64(most) <= simulatedBound)
	is.True(most >= int(simulatedRate)-1)
}
