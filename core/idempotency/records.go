package idempotency

import (
	"slices"
	"sync"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
)

//go:generate stringer -type=State -linecomment -output=idempotency_string.go

const (
	defaultRetention = 10 * time.Minute
	// DefaultViewLag exceeds the partitions of some minutes that regions see a
	// few times a year. It only lengthens the memory of changed host names.
	DefaultViewLag = 10 * time.Minute
	// defaultSettle is the view lag assumed for keys made after the process
	// started. It exceeds the 9 s in which a change is in force everywhere.
	defaultSettle = 10 * time.Second
	// longestCall bounds the time between the start of a request and its run.
	longestCall = time.Minute
	// defaultCount holds 80 keyed requests a second, as owner and partner, for
	// the retention.
	defaultCount = 50_000
	// defaultBytes leaves most of the daemon's 128 MB to other parts.
	defaultBytes = 16 << 20
	// MaxResultBytes is the size of the largest answer that is kept.
	MaxResultBytes = 64 << 10
	// MaxKeyBytes is the length of the longest key.
	MaxKeyBytes = 256
)

// State says what is known of a key.
type State int

// The states.
const (
	// Unavailable means that the host cannot tell.
	Unavailable State = iota // unavailable
	// Granted means that the key is recorded for the owner that asked.
	Granted // granted
	// InProgress means that a request with the key is being handled here.
	InProgress // in_progress
	// Unclear means that the request may have run.
	Unclear // unclear
	// Finished means that the request ran.
	Finished // finished
	// Released means that the request did not run here.
	Released // released
	// Mismatched means that the key belongs to another request.
	Mismatched // mismatched
)

// Fingerprint tells requests with the same key apart. It is a hash of what
// makes two requests the same one.
type Fingerprint [16]byte

// Answer tells what is known of a key.
type Answer struct {
	State State
	// Owner is the host that handled or handles the request, where known.
	Owner id.Host
	// Result is the recorded answer, or nil when only the fact is known.
	Result []byte
}

// Refusal returns the error for the caller, or nil when there is a result.
func (a Answer) Refusal() *refusal.Error {
	switch {
	case a.State == Finished && a.Result != nil:
		return nil
	case a.State == Finished:
		return refusal.New(refusal.RecordUnavailable, refusal.Ran)
	case a.State == Mismatched:
		return refusal.New(refusal.BadRequest, refusal.NotRun)
	case a.State == InProgress:
		return refusal.New(refusal.InProgress, refusal.Unknown)
	default:
		return refusal.New(refusal.RecordUnavailable, refusal.Unknown)
	}
}

// Request asks a partner to record a key.
type Request struct {
	Key         string
	Owner       id.Host
	Incarnation id.Incarnation
	Deadline    id.Instant
	Fingerprint Fingerprint
}

// Claim is an owner's attempt to run a request.
type Claim struct {
	Request Request
	// Partners lists the hosts to ask, the best first.
	Partners []id.Host
	voters   []id.Host
}

// record is what a host holds of a key. The claim is set at its owner.
type record struct {
	state       State
	owner       id.Host
	incarnation id.Incarnation
	claim       *Claim
	fingerprint Fingerprint
	result      []byte
	until       id.Instant
}

// Records holds the records of one host. It is safe for concurrent use.
type Records struct {
	mu          sync.Mutex
	self        id.Host
	incarnation id.Incarnation
	started     id.Instant
	origin      id.Instant
	retention   time.Duration
	viewLag     time.Duration
	settle      time.Duration
	hosts       membership
	store       store
}

// Option changes records at their creation.
type Option func(*Records)

// WithRetention sets how long records are kept.
func WithRetention(span time.Duration) Option { return func(r *Records) { r.retention = span } }

// WithViewLag sets the time within which a new or removed host name becomes
// known everywhere, and the same for keys made after the process started.
func WithViewLag(lag, settle time.Duration) Option {
	return func(r *Records) { r.viewLag, r.settle = lag, settle }
}

// WithOrigin states that no key was used before the given instant. Keys are
// refused until then. A host vouches at once for keys of any form when it
// started, and knew the hosts, the settle time before the origin.
func WithOrigin(at id.Instant) Option { return func(r *Records) { r.origin = at } }

// WithBounds bounds the records, and the bytes of the recorded answers.
func WithBounds(count, bytes int) Option {
	return func(r *Records) { r.store.maxCount, r.store.maxBytes = count, bytes }
}

// NewRecords returns the empty records of a process that started at the given
// instant.
func NewRecords(self id.Host, started id.Instant, options ...Option) *Records {
	records := &Records{
		self: self, incarnation: id.Incarnation(started), started: started,
		retention: defaultRetention, viewLag: DefaultViewLag, settle: defaultSettle,
		store: store{records: map[string]*record{}, maxCount: defaultCount, maxBytes: defaultBytes},
	}
	for _, option := range options {
		option(records)
	}
	return records
}

// SetHosts replaces the known hosts of the service, whatever their state.
func (r *Records) SetHosts(now id.Instant, hosts []id.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts.set(now, now.Add(-r.window()), hosts)
}

// Begin starts a request at its owner. Without a claim, the answer is final.
func (r *Records) Begin(key string, fingerprint Fingerprint, now, deadline id.Instant) (*Claim, Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.store.get(key, now)
	if known != nil && known.state != Released {
		return nil, known.answerTo(fingerprint)
	}
	sets := r.replicas(key, now)
	if !now.Before(deadline) || !containsHost(sets, r.self) {
		return nil, Answer{}
	}
	deadline = min(deadline, now.Add(longestCall))
	claim := &Claim{Request: Request{Key: key, Owner: r.self, Incarnation: r.incarnation, Deadline: deadline, Fingerprint: fingerprint}}
	claim.Partners = r.partners(key, sets)
	if r.vouches(key, now) {
		claim.voters = append(claim.voters, r.self)
	}
	made := record{state: InProgress, owner: r.self, incarnation: r.incarnation, claim: claim, fingerprint: fingerprint, until: deadline.Add(r.retention)}
	if !r.store.put(key, known, made) {
		return nil, Answer{}
	}
	return claim, Answer{State: Granted, Owner: r.self}
}

// CanRun reports whether the claim may run without a partner, as it can where
// the service has a single host.
func (r *Records) CanRun(claim *Claim, now id.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready(claim, now)
}

// Granted takes in that a partner has recorded the key for this claim, and
// reports whether the request may run now.
func (r *Records) Granted(claim *Claim, partner id.Host, now id.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(claim.voters, partner) {
		claim.voters = append(claim.voters, partner)
	}
	return r.ready(claim, now)
}

// RecordForOwner records the key for the owner that asks, or tells why not.
func (r *Records) RecordForOwner(request Request, now id.Instant) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.store.get(request.Key, now)
	if known != nil && known.state != Released {
		if known.claim == nil && known.owner == request.Owner && known.incarnation == request.Incarnation {
			// The owner starts a key anew only when its former request did not run.
			known.fingerprint = request.Fingerprint
			return Answer{State: Granted, Owner: request.Owner}
		}
		return known.answerTo(request.Fingerprint)
	}
	made := record{
		state: Unclear, owner: request.Owner, incarnation: request.Incarnation, fingerprint: request.Fingerprint,
		until: max(now, request.Deadline).Add(r.retention),
	}
	if !r.vouches(request.Key, now) || !r.store.put(request.Key, known, made) {
		return Answer{}
	}
	return Answer{State: Granted, Owner: request.Owner}
}

// Finish ends a claim. NotRun allows a later request with the key to run. A
// nil result records only the fact that the request ran.
func (r *Records) Finish(claim *Claim, now id.Instant, outcome refusal.Outcome, result []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.store.get(claim.Request.Key, now)
	if known == nil || known.claim != claim || known.state != InProgress {
		return
	}
	switch outcome {
	case refusal.NotRun:
		known.state, known.claim = Released, nil
		return
	case refusal.Unknown:
		known.state = Unclear
	case refusal.Ran:
		known.state = Finished
	}
	known.until = max(known.until, now.Add(r.retention))
	if outcome == refusal.Ran && len(result) <= MaxResultBytes {
		r.store.keep(known, result)
	}
}

// Lookup tells what this host knows of a key.
func (r *Records) Lookup(key string, now id.Instant) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.store.get(key, now); known != nil {
		return known.answer()
	}
	return Answer{}
}

func (k *record) answer() Answer { return Answer{State: k.state, Owner: k.owner, Result: k.result} }

// answerTo is the answer to a request that may differ from the recorded one.
func (k *record) answerTo(fingerprint Fingerprint) Answer {
	if k.fingerprint != fingerprint {
		return Answer{State: Mismatched, Owner: k.owner}
	}
	return k.answer()
}

func (r *Records) ready(claim *Claim, now id.Instant) bool {
	known := r.store.get(claim.Request.Key, now)
	if known == nil || known.claim != claim || known.state != InProgress {
		return false
	}
	return now.Before(claim.Request.Deadline) && majority(r.replicas(claim.Request.Key, now), claim.voters)
}

// born returns the earliest instant at which the key may have been used. The
// second result is false for a key whose records may be forgotten already, and
// before the origin, when no key is used.
func (r *Records) born(key string, now id.Instant) (id.Instant, bool) {
	if now.Before(r.origin) {
		return 0, false
	}
	created, dated := CreatedAt(key)
	if !dated || created > now.Add(r.settle) {
		return r.origin, len(key) <= MaxKeyBytes
	}
	return max(created, r.origin), now.Before(created.Add(r.retention))
}

// vouches reports whether this process would remember the key.
func (r *Records) vouches(key string, now id.Instant) bool {
	born, usable := r.born(key, now)
	if !usable {
		return false
	}
	// A partner can be lost between its record and the run, so the longest
	// call is added.
	return born >= r.started.Add(r.settle) || now >= r.started.Add(r.retention+longestCall)
}

// replicas returns the sets of replicas that a run of the key has to satisfy.
func (r *Records) replicas(key string, now id.Instant) [][]id.Host {
	born, usable := r.born(key, now)
	if !usable {
		return nil
	}
	return r.hosts.replicas(key, max(born.Add(-r.settle), now.Add(-r.window())))
}

// window is how long a changed set of hosts matters.
func (r *Records) window() time.Duration { return r.retention + r.viewLag }

func (r *Records) partners(key string, sets [][]id.Host) []id.Host {
	var hosts []id.Host
	for _, set := range sets {
		for _, host := range set {
			if host != r.self && !slices.Contains(hosts, host) {
				hosts = append(hosts, host)
			}
		}
	}
	return RankOwners(key, hosts)
}

func containsHost(sets [][]id.Host, host id.Host) bool {
	return slices.ContainsFunc(sets, func(set []id.Host) bool { return slices.Contains(set, host) })
}
