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
	// DefaultViewLag exceeds the partitions of several minutes that regions experience
	// a few times a year. It only affects how long changed host names are remembered.
	DefaultViewLag = 10 * time.Minute
	// defaultSettle is the view lag assumed for keys created after the process started.
	// It exceeds the 9 s in which a change takes effect everywhere.
	defaultSettle = 10 * time.Second
	// maxCallDuration bounds the time from the start of a request until it runs.
	maxCallDuration = time.Minute
	// defaultMaxRecords holds 80 keyed requests a second, as owner and partner, for the
	// retention.
	defaultMaxRecords = 50_000
	// defaultMaxResultBytes leaves most of the daemon's 128 MB to other components.
	defaultMaxResultBytes = 16 << 20
	// MaxResultBytes is the maximum size of a recorded response.
	MaxResultBytes = 64 << 10
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 256
)

// State is what a host knows about a key.
type State int

// The states.
const (
	// Unavailable means that the host cannot tell whether the request ran.
	Unavailable State = iota // unavailable
	// Granted means that the key is recorded for the owner that asked.
	Granted // granted
	// InProgress means that this host is handling a request with the key.
	InProgress // in_progress
	// Unclear means that the request may have run.
	Unclear // unclear
	// Finished means that the request ran.
	Finished // finished
	// Released means that the request did not run on this host.
	Released // released
	// Mismatched means that the key was used for a different request.
	Mismatched // mismatched
)

// Fingerprint distinguishes requests with the same key. It is a hash of the parts that
// identify a request.
type Fingerprint [16]byte

// Answer is what a host knows about a key.
type Answer struct {
	State State
	// Owner is the host that handled or is handling the request, if known.
	Owner id.Host
	// Result is the recorded response, or nil if only the fact that it ran is known.
	Result []byte
}

// Refusal returns the error for the caller, or nil if there is a recorded response.
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

// Claim is an owner's attempt to run a request. It is passed to Granted and Finish.
type Claim struct {
	Request Request
	// Partners lists the hosts to ask, in order of preference.
	Partners []id.Host
	voters   []id.Host
}

// record is what a host stores about a key. The claim is set only on its owner.
type record struct {
	state       State
	owner       id.Host
	incarnation id.Incarnation
	claim       *Claim
	fingerprint Fingerprint
	result      []byte
	expiresAt   id.Instant
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

// Option configures records.
type Option func(*Records)

// WithRetention sets how long records are kept.
func WithRetention(span time.Duration) Option { return func(r *Records) { r.retention = span } }

// WithViewLag sets the time within which a new or removed host name becomes known
// everywhere, and the same for keys created after the process started.
func WithViewLag(lag, settle time.Duration) Option {
	return func(r *Records) { r.viewLag, r.settle = lag, settle }
}

// WithOrigin declares that no key was used before the given instant. Keys are refused
// until then. The records of a host count at once for keys of any form if it started,
// and knew the hosts, at least the settle time before the origin.
func WithOrigin(at id.Instant) Option { return func(r *Records) { r.origin = at } }

// WithBounds sets the maximum number of records and the total bytes of their responses.
func WithBounds(count, bytes int) Option {
	return func(r *Records) { r.store.maxCount, r.store.maxBytes = count, bytes }
}

// NewRecords returns the empty records of a process that started at the given instant.
func NewRecords(self id.Host, started id.Instant, options ...Option) *Records {
	records := &Records{
		self: self, incarnation: id.Incarnation(started), started: started,
		retention: defaultRetention, viewLag: DefaultViewLag, settle: defaultSettle,
		store: store{records: map[string]*record{}, maxCount: defaultMaxRecords, maxBytes: defaultMaxResultBytes},
	}
	for _, option := range options {
		option(records)
	}
	return records
}

// SetHosts replaces the known hosts of the service, regardless of their state.
func (r *Records) SetHosts(now id.Instant, hosts []id.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts.set(now, now.Add(-r.window()), hosts)
}

// Begin starts a request on its owner. If it returns no claim, the answer is final.
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
	deadline = min(deadline, now.Add(maxCallDuration))
	claim := &Claim{Request: Request{Key: key, Owner: r.self, Incarnation: r.incarnation, Deadline: deadline, Fingerprint: fingerprint}}
	claim.Partners = r.partners(key, sets)
	if r.wouldRemember(key, now) {
		claim.voters = append(claim.voters, r.self)
	}
	fresh := record{state: InProgress, owner: r.self, incarnation: r.incarnation, claim: claim, fingerprint: fingerprint, expiresAt: deadline.Add(r.retention)}
	if !r.store.put(key, known, fresh) {
		return nil, Answer{}
	}
	return claim, Answer{State: Granted, Owner: r.self}
}

// CanRun reports whether the claim may run without a partner, as in a service with a
// single host.
func (r *Records) CanRun(claim *Claim, now id.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayRun(claim, now)
}

// Granted notes that a partner has recorded the key for this claim, and reports whether
// the request may run now.
func (r *Records) Granted(claim *Claim, partner id.Host, now id.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(claim.voters, partner) {
		claim.voters = append(claim.voters, partner)
	}
	return r.mayRun(claim, now)
}

// RecordForOwner records the key for the owner that asks, or returns why it does not.
func (r *Records) RecordForOwner(request Request, now id.Instant) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.store.get(request.Key, now)
	if known != nil && known.state != Released {
		if known.claim == nil && known.owner == request.Owner && known.incarnation == request.Incarnation {
			// The owner restarts a key only if its previous request did not run.
			known.fingerprint = request.Fingerprint
			return Answer{State: Granted, Owner: request.Owner}
		}
		return known.answerTo(request.Fingerprint)
	}
	fresh := record{
		state: Unclear, owner: request.Owner, incarnation: request.Incarnation, fingerprint: request.Fingerprint,
		expiresAt: max(now, request.Deadline).Add(r.retention),
	}
	if !r.wouldRemember(request.Key, now) || !r.store.put(request.Key, known, fresh) {
		return Answer{}
	}
	return Answer{State: Granted, Owner: request.Owner}
}

// Finish ends a claim. The outcome NotRun allows a later request with the key to run. A
// nil result records only that the request ran.
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
	known.expiresAt = max(known.expiresAt, now.Add(r.retention))
	if outcome == refusal.Ran && len(result) <= MaxResultBytes {
		r.store.keepResult(known, result)
	}
}

// Lookup returns what this host knows about a key.
func (r *Records) Lookup(key string, now id.Instant) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.store.get(key, now); known != nil {
		return known.answer()
	}
	return Answer{}
}

func (k *record) answer() Answer { return Answer{State: k.state, Owner: k.owner, Result: k.result} }

// answerTo returns the answer to a request that may differ from the recorded one.
func (k *record) answerTo(fingerprint Fingerprint) Answer {
	if k.fingerprint != fingerprint {
		return Answer{State: Mismatched, Owner: k.owner}
	}
	return k.answer()
}

func (r *Records) mayRun(claim *Claim, now id.Instant) bool {
	known := r.store.get(claim.Request.Key, now)
	if known == nil || known.claim != claim || known.state != InProgress {
		return false
	}
	return now.Before(claim.Request.Deadline) && isMajorityOfEach(r.replicas(claim.Request.Key, now), claim.voters)
}

// earliestUse returns the earliest instant at which the key may have been used. It is
// false for a key whose records may have expired already, and before the origin, when no
// key may be used.
func (r *Records) earliestUse(key string, now id.Instant) (id.Instant, bool) {
	if now.Before(r.origin) {
		return 0, false
	}
	created, dated := CreatedAt(key)
	if !dated || created > now.Add(r.settle) {
		return r.origin, len(key) <= MaxKeyBytes
	}
	return max(created, r.origin), now.Before(created.Add(r.retention))
}

// wouldRemember reports whether this process would have a record of a key that has run.
func (r *Records) wouldRemember(key string, now id.Instant) bool {
	earliestUse, usable := r.earliestUse(key, now)
	if !usable {
		return false
	}
	// A partner can be lost between its record and the run, so add the longest call.
	return earliestUse >= r.started.Add(r.settle) || now >= r.started.Add(r.retention+maxCallDuration)
}

// replicas returns the sets of replicas of which a run of the key needs majorities.
func (r *Records) replicas(key string, now id.Instant) [][]id.Host {
	earliestUse, usable := r.earliestUse(key, now)
	if !usable {
		return nil
	}
	return r.hosts.replicas(key, max(earliestUse.Add(-r.settle), now.Add(-r.window())))
}

// window is how long a change of the set of hosts is relevant.
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
