package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
)

const (
	minSlowStartShare          = 0.05
	consecutiveFailuresToEject = 5
	firstEjection              = time.Second
	maxEjectionDoublings       = 6
	// ejectionForgetInterval is how long a returned host must serve calls before one
	// earlier ejection no longer counts.
	ejectionForgetInterval = 30 * time.Second
	// observationHalfLife is the time in which an observation loses half of its
	// weight, so that a host that gets no calls is tried again.
	observationHalfLife = time.Second
	latencyWeight       = 0.125
	// maxSampleInMeans limits a latency sample to a multiple of the mean, so that one
	// large file does not look like an overload.
	maxSampleInMeans = 4
	// latencyRiseAtFullLoad is the rise of the mean latency, in multiples of the
	// floor, that counts as a load of 1. Service times alone commonly spread over
	// twice the floor.
	latencyRiseAtFullLoad = 2
	// loadPerRefusal is the load that one refusal adds. It exceeds spilloverLoad,
	// because a host that refuses is full.
	loadPerRefusal  = 1.5
	maxObservedLoad = 8.0
	// latencyFloorRise lets the latency floor follow a lasting rise within some
	// thousand calls.
	latencyFloorRise = 0.001
)

// Result is the outcome of a call as far as host selection is concerned.
type Result int

// The results of a call.
const (
	// Served means that the backend server answered.
	Served Result = iota // served
	// Refused means that the call was refused for lack of capacity.
	Refused // refused
	// Failed means a fault of the host, its backend server or the connection to it.
	Failed // failed
	// Neutral says nothing about the host, for example when the caller disconnected.
	Neutral // neutral
)

// ResultOf returns the result for the refusal that ended a call; nil means that the
// backend server answered.
func ResultOf(refused *refusal.Error) Result {
	if refused == nil {
		return Served
	}
	switch refused.Reason {
	case refusal.QueueFull, refusal.QueueDeadline, refusal.BackendShed, refusal.Busy:
		return Refused
	case refusal.ConnectFailed, refusal.BackendBroken, refusal.HopBroken:
		return Failed
	default:
		return Neutral
	}
}

// hostStats holds what this daemon has observed of one host. The atomic fields are
// read without the lock.
type hostStats struct {
	outstanding  atomic.Int64
	ejectedUntil atomic.Int64
	// observedLoadBits is the load at observedLoadAt, as the bits of a float64.
	observedLoadBits atomic.Uint64
	observedLoadAt   atomic.Int64

	mu                  sync.Mutex
	meanLatency         float64
	latencyFloor        float64
	refusalLoad         float64
	updatedAt           id.Instant
	consecutiveFailures int
	ejections           int
	ejectionsReducedAt  id.Instant
}

// callFinished decrements the number of outstanding calls, but not below zero: a host
// can be replaced in the table between the start and the end of a call.
func (s *hostStats) callFinished() {
	for {
		count := s.outstanding.Load()
		if count <= 0 || s.outstanding.CompareAndSwap(count, count-1) {
			return
		}
	}
}

func (s *hostStats) ejected(now id.Instant) bool { return int64(now) < s.ejectedUntil.Load() }

// observedLoad returns the load observed in latency and refusals, decayed by its age.
// The two fields may come from adjacent results, which changes the load very little.
func (s *hostStats) observedLoad(now id.Instant) float64 {
	observedLoad := math.Float64frombits(s.observedLoadBits.Load())
	if observedLoad == 0 {
		return 0
	}
	return observedLoad * decay(now.Sub(id.Instant(s.observedLoadAt.Load())))
}

func decay(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(observationHalfLife))
}

// record updates the statistics with a result and reports whether the host should be
// ejected.
func (s *hostStats) record(now id.Instant, latency time.Duration, result Result) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusalLoad *= decay(now.Sub(s.updatedAt))
	s.updatedAt = max(s.updatedAt, now)
	switch result {
	case Served:
		s.consecutiveFailures = 0
		s.recordLatency(float64(latency))
		s.reduceEjections(now)
	case Refused:
		s.refusalLoad += loadPerRefusal
	case Failed:
		return s.recordFailure(now, latency)
	case Neutral:
		return false
	}
	s.storeObservedLoad()
	return false
}

func (s *hostStats) recordLatency(latency float64) {
	if s.meanLatency == 0 {
		s.meanLatency, s.latencyFloor = latency, latency
		return
	}
	s.meanLatency += latencyWeight * (min(latency, maxSampleInMeans*s.meanLatency) - s.meanLatency)
	s.latencyFloor = min(latency, s.latencyFloor+latencyFloorRise*(s.meanLatency-s.latencyFloor))
}

func (s *hostStats) storeObservedLoad() {
	load := s.refusalLoad
	if s.latencyFloor > 0 {
		load += max(0, s.meanLatency/s.latencyFloor-1) / latencyRiseAtFullLoad
	}
	s.observedLoadAt.Store(int64(s.updatedAt))
	s.observedLoadBits.Store(math.Float64bits(min(load, maxObservedLoad)))
}

// recordFailure counts a failure and reports whether the host should be ejected.
// Calls that began before the last ejection ended say nothing about the host's state
// after it.
func (s *hostStats) recordFailure(now id.Instant, latency time.Duration) bool {
	if int64(now.Add(-latency)) < s.ejectedUntil.Load() {
		return false
	}
	s.consecutiveFailures++
	return s.consecutiveFailures >= consecutiveFailuresToEject
}

// reduceEjections halves the duration of the next ejection for each interval served
// without one.
func (s *hostStats) reduceEjections(now id.Instant) {
	since := max(s.ejectionsReducedAt, id.Instant(s.ejectedUntil.Load()))
	if s.ejections > 0 && now.Sub(since) >= ejectionForgetInterval {
		s.ejections--
		s.ejectionsReducedAt = now
	}
}

// eject excludes the host until its ejection ends. After that, one failure is enough
// for the next ejection.
func (s *hostStats) eject(now id.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ejected(now) {
		return
	}
	duration := firstEjection << min(s.ejections, maxEjectionDoublings)
	s.ejections++
	s.consecutiveFailures = consecutiveFailuresToEject - 1
	s.ejectedUntil.Store(int64(now.Add(duration)))
}
