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
	minimumShare     = 0.05
	failuresToEject  = 5
	firstEjection    = time.Second
	maximumDoublings = 6
	// forgetEjections is how long a returned host must serve before one
	// earlier ejection no longer counts.
	forgetEjections = 30 * time.Second
	// halfLife is the time in which an observation loses half of its weight,
	// so that a host which gets no calls is tried again.
	halfLife      = time.Second
	latencyWeight = 0.125
	// longestSample bounds a latency in means, so that one large file does not
	// look like an overload.
	longestSample = 4
	// riseToFull is the rise of the mean latency, in floors, that counts as a
	// load of one. Service times alone commonly spread over twice the floor.
	riseToFull = 2
	// refusalStrain is the load that one refusal adds. It exceeds the spill
	// load, because a host that refuses is full.
	refusalStrain = 1.5
	strainLimit   = 8.0
	// floorRise lets the latency floor follow a lasting rise within some
	// thousand calls.
	floorRise = 0.001
)

// Result is how a call ended, as far as the selection is concerned.
type Result int

// The results.
const (
	// Served is an answer of the backend server.
	Served Result = iota // served
	// Refused is a refusal for want of capacity.
	Refused // refused
	// Failed is a fault of the host, its backend server or the way there.
	Failed // failed
	// Neutral says nothing about the host, such as a caller that went away.
	Neutral // neutral
)

// ResultOf classifies the refusal that ended a call; nil means an answer.
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

// observed is what this daemon has seen of one host. The atomic fields are
// read without the lock.
type observed struct {
	outstanding  atomic.Int64
	ejectedUntil atomic.Int64
	// strainBits is the strain as of strainAt, as the bits of a float64.
	strainBits atomic.Uint64
	strainAt   atomic.Int64

	mu        sync.Mutex
	mean      float64
	floor     float64
	pressure  float64
	last      id.Instant
	failures  int
	ejections int
	forgiven  id.Instant
}

// finish counts a call down. The count stays at zero or above, because a host
// can be replaced in the table between the start and the end of a call.
func (o *observed) finish() {
	for {
		count := o.outstanding.Load()
		if count <= 0 || o.outstanding.CompareAndSwap(count, count-1) {
			return
		}
	}
}

func (o *observed) ejected(now id.Instant) bool { return int64(now) < o.ejectedUntil.Load() }

// strain is the load seen in latency and refusals, weakened by its age. The two
// fields may stem from adjacent results, which changes the load very little.
func (o *observed) strain(now id.Instant) float64 {
	strain := math.Float64frombits(o.strainBits.Load())
	if strain == 0 {
		return 0
	}
	return strain * decay(now.Sub(id.Instant(o.strainAt.Load())))
}

func decay(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// record takes in a result and reports whether the host should be ejected.
func (o *observed) record(now id.Instant, latency time.Duration, result Result) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pressure *= decay(now.Sub(o.last))
	o.last = max(o.last, now)
	switch result {
	case Served:
		o.failures = 0
		o.measure(float64(latency))
		o.forgive(now)
	case Refused:
		o.pressure += refusalStrain
	case Failed:
		return o.fail(now, latency)
	case Neutral:
		return false
	}
	o.publish()
	return false
}

func (o *observed) measure(latency float64) {
	if o.mean == 0 {
		o.mean, o.floor = latency, latency
		return
	}
	o.mean += latencyWeight * (min(latency, longestSample*o.mean) - o.mean)
	o.floor = min(latency, o.floor+floorRise*(o.mean-o.floor))
}

func (o *observed) publish() {
	strain := o.pressure
	if o.floor > 0 {
		strain += max(0, o.mean/o.floor-1) / riseToFull
	}
	o.strainAt.Store(int64(o.last))
	o.strainBits.Store(math.Float64bits(min(strain, strainLimit)))
}

// fail counts a failure. Calls that began before the last ejection ended say
// nothing about the host's state after it.
func (o *observed) fail(now id.Instant, latency time.Duration) bool {
	if int64(now.Add(-latency)) < o.ejectedUntil.Load() {
		return false
	}
	o.failures++
	return o.failures >= failuresToEject
}

// forgive halves the next ejection for each span served without one.
func (o *observed) forgive(now id.Instant) {
	since := max(o.forgiven, id.Instant(o.ejectedUntil.Load()))
	if o.ejections > 0 && now.Sub(since) >= forgetEjections {
		o.ejections--
		o.forgiven = now
	}
}

// eject takes the host out of use. After the return, one failure is enough for
// the next ejection.
func (o *observed) eject(now id.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ejected(now) {
		return
	}
	span := firstEjection << min(o.ejections, maximumDoublings)
	o.ejections++
	o.failures = failuresToEject - 1
	o.ejectedUntil.Store(int64(now.Add(span)))
}
