package idempotency

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	epoch     = id.Instant(1_800_000_000 * time.Second)
	retention = 5 * time.Minute
	lag       = 10 * time.Second
)

var hostNames = []id.Host{"a", "b", "c", "d", "e"}

func dated(at id.Instant, tail int) string {
	millis := fmt.Sprintf("%012x", int64(at)/int64(time.Millisecond))
	return fmt.Sprintf("%s-%s-7000-8000-%012d", millis[:8], millis[8:], tail)
}

// attempt is a request that its owner is handling.
type attempt struct {
	records *Records
	claim   *Claim
	grants  []id.Host
	ran     bool
}

// change is a new set of hosts that a daemon has not received yet.
type change struct {
	at    id.Instant
	hosts []id.Host
}

type simulation struct {
	now       id.Instant
	daemons   map[id.Host]*Records
	pending   map[id.Host][]change
	seen      map[id.Host][]id.Host
	members   []id.Host
	toggledAt map[id.Host]id.Instant
	keys      []string
	attempts  []*attempt
	runs      map[string][]id.Instant
}

func (w *simulation) start(host id.Host) {
	w.daemons[host] = NewRecords(host, w.now, WithRetention(retention), WithViewLag(lag, lag))
	w.daemons[host].SetHosts(w.now, w.seen[host])
}

// deliver delivers the first pending change to a daemon.
func (w *simulation) deliver(host id.Host) {
	if len(w.pending[host]) > 0 {
		w.seen[host] = w.pending[host][0].hosts
		w.pending[host] = w.pending[host][1:]
		w.daemons[host].SetHosts(w.now, w.seen[host])
	}
}

// advance moves the clock and delivers every change within the view lag.
func (w *simulation) advance(span time.Duration) {
	for _, host := range hostNames {
		for len(w.pending[host]) > 0 && w.pending[host][0].at.Add(lag) <= w.now.Add(span) {
			w.deliver(host)
		}
	}
	w.now = w.now.Add(span)
}

func (w *simulation) toggleMember(host id.Host) {
	at := slices.Index(w.members, host)
	if w.now.Sub(w.toggledAt[host]) <= lag || at >= 0 && len(w.members) == 1 {
		return
	}
	w.toggledAt[host] = w.now
	w.members = slices.Clone(w.members)
	if at >= 0 {
		w.members = slices.Delete(w.members, at, at+1)
	} else {
		w.members = append(w.members, host)
	}
	for _, daemon := range hostNames {
		w.pending[daemon] = append(w.pending[daemon], change{w.now, w.members})
	}
}

func (w *simulation) run(t *rapid.T, a *attempt, ready bool) {
	// A crashed process takes no further steps.
	if !ready || a.ran || w.daemons[a.claim.Request.Owner] != a.records {
		return
	}
	a.ran = true
	key := a.claim.Request.Key
	for _, earlier := range w.runs[key] {
		if _, isDated := CreatedAt(key); isDated || w.now.Sub(earlier) < retention {
			t.Fatalf("key %s ran at %d and %d", key, earlier, w.now)
		}
	}
	w.runs[key] = append(w.runs[key], w.now)
}

// Guards against a key that runs twice, whatever crashes occur, whichever messages are
// lost or delayed, and whichever hosts each daemon knows.
func TestNoKeyRunsTwice(t *testing.T) {
	total := 0
	// Some faults require a rare order of steps, which a hundred runs do not find.
	for range 50 {
		rapid.Check(t, func(t *rapid.T) { total += runMachine(t) })
	}
	t.Logf("%d runs", total)
	is.New(t).True(total > 1000) // the machine gets requests to run at all
}

// runMachine simulates one cluster and returns how many requests ran.
func runMachine(t *rapid.T) int {
	w := &simulation{
		now: epoch.Add(-time.Hour), daemons: map[id.Host]*Records{}, pending: map[id.Host][]change{}, seen: map[id.Host][]id.Host{},
		members: hostNames[:rapid.IntRange(1, 4).Draw(t, "members")], toggledAt: map[id.Host]id.Instant{}, runs: map[string][]id.Instant{},
	}
	for _, host := range hostNames {
		w.seen[host] = w.members
		w.start(host)
	}
	w.now = epoch
	w.keys = []string{"plain", dated(epoch, 0)}
	host := func(t *rapid.T) id.Host { return rapid.SampledFrom(hostNames).Draw(t, "host") }
	pick := func(t *rapid.T) *attempt {
		if len(w.attempts) == 0 {
			t.Skip()
		}
		return rapid.SampledFrom(w.attempts).Draw(t, "attempt")
	}
	ask := func(t *rapid.T, a *attempt, partner id.Host) {
		if answer := w.daemons[partner].RecordForOwner(a.claim.Request, w.now); answer.State == Granted {
			a.grants = append(a.grants, partner)
		}
		if len(a.grants) > 0 && rapid.IntRange(0, 3).Draw(t, "arrives") > 0 {
			w.run(t, a, a.records.Granted(a.claim, a.grants[0], w.now))
			a.grants = a.grants[1:]
		}
	}
	begin := func(t *rapid.T) *attempt {
		records := w.daemons[host(t)]
		claim, _ := records.Begin(rapid.SampledFrom(w.keys).Draw(t, "key"), Fingerprint{}, w.now, w.now.Add(20*time.Second))
		if claim == nil {
			return nil
		}
		a := &attempt{records: records, claim: claim}
		w.attempts = append(w.attempts, a)
		w.run(t, a, records.CanRun(claim, w.now))
		return a
	}
	whole := func(t *rapid.T) {
		if a := begin(t); a != nil {
			for _, partner := range a.claim.Partners {
				ask(t, a, partner)
			}
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"begin":       func(t *rapid.T) { begin(t) },
		"whole":       whole,
		"whole again": whole,
		"ask":         func(t *rapid.T) { ask(t, pick(t), host(t)) },
		"finish": func(t *rapid.T) {
			a, outcome := pick(t), refusal.NotRun
			if a.ran {
				outcome = rapid.SampledFrom([]refusal.Outcome{refusal.Ran, refusal.Unknown}).Draw(t, "outcome")
			}
			a.records.Finish(a.claim, w.now, outcome, []byte("x"))
		},
		"crash": func(t *rapid.T) {
			crashed := host(t)
			if rapid.Bool().Draw(t, "newest view") {
				w.pending[crashed], w.seen[crashed] = nil, w.members
			}
			w.start(crashed)
		},
		"toggle":  func(t *rapid.T) { w.toggleMember(host(t)) },
		"deliver": func(t *rapid.T) { w.deliver(host(t)) },
		"new key": func(*rapid.T) { w.keys = append(w.keys, dated(w.now, len(w.keys))) },
		"step":    func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(0, 12).Draw(t, "s")) * time.Second) },
		"leap":    func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 8).Draw(t, "min")) * time.Minute) },
	})
	total := 0
	for _, runs := range w.runs {
		total += len(runs)
	}
	return total
}

// Guards against a wrong decision in any case of the table in the package comment.
func TestDecisionTable(t *testing.T) {
	key := dated(epoch, 1)
	deadline := epoch.Add(time.Second)
	setup := func() (map[id.Host]*Records, []id.Host) {
		w := &simulation{now: epoch.Add(-time.Minute), daemons: map[id.Host]*Records{}, seen: map[id.Host][]id.Host{}}
		for _, host := range hostNames {
			w.seen[host] = hostNames
			w.start(host)
		}
		return w.daemons, Replicas(key, hostNames)
	}
	first := func(is *is.I, daemons map[id.Host]*Records, order []id.Host) *Claim {
		claim, _ := daemons[order[0]].Begin(key, Fingerprint{}, epoch, deadline)
		is.Equal(claim.Partners, order[1:])
		is.True(!daemons[order[0]].CanRun(claim, epoch)) // not without a partner
		is.Equal(daemons[order[1]].RecordForOwner(claim.Request, epoch).State, Granted)
		is.True(daemons[order[0]].Granted(claim, order[1], epoch))
		return claim
	}
	ends := []struct {
		name    string
		outcome refusal.Outcome
		size    int
		state   State
		kept    bool
		refused refusal.Reason
	}{
		{"small answer", refusal.Ran, 10, Finished, true, refusal.None},
		{"large answer", refusal.Ran, MaxResultBytes + 1, Finished, false, refusal.RecordUnavailable},
		{"unknown", refusal.Unknown, 0, Unclear, false, refusal.RecordUnavailable},
		{"not run", refusal.NotRun, 0, Released, false, refusal.RecordUnavailable},
	}
	for _, end := range ends {
		t.Run(end.name, func(t *testing.T) {
			is := is.New(t)
			daemons, order := setup()
			owner := daemons[order[0]]
			claim := first(is, daemons, order)
			_, answer := owner.Begin(key, Fingerprint{}, epoch, deadline)
			is.Equal(answer.Refusal().Reason, refusal.InProgress)
			owner.Finish(claim, epoch, end.outcome, []byte(strings.Repeat("x", end.size)))
			answer = owner.Lookup(key, epoch)
			is.Equal(answer.State, end.state)
			is.Equal(answer.Result != nil, end.kept)
			if refused := answer.Refusal(); refused != nil {
				is.Equal(refused.Reason, end.refused)
			}
			again, _ := owner.Begin(key, Fingerprint{}, epoch, deadline)
			is.Equal(again != nil, end.outcome == refusal.NotRun)
		})
	}
	is := is.New(t)
	daemons, order := setup()
	first(is, daemons, order)
	_, answer := daemons[order[1]].Begin(key, Fingerprint{}, epoch, deadline) // the owner died or is out of view
	is.Equal(answer, Answer{State: Unclear, Owner: order[0]})
	_, answer = daemons[order[1]].Begin(key, Fingerprint{1}, epoch, deadline) // another request with the key
	is.Equal(answer.Refusal(), refusal.New(refusal.BadRequest, refusal.NotRun))
	claim, _ := daemons[order[2]].Begin(key, Fingerprint{}, epoch, deadline)
	is.Equal(daemons[order[1]].RecordForOwner(claim.Request, epoch).State, Unclear)
	is.Equal(daemons[order[0]].RecordForOwner(claim.Request, epoch).State, InProgress)
	for _, host := range order[:2] { // both died and came back
		daemons[host] = NewRecords(host, epoch, WithRetention(retention))
		daemons[host].SetHosts(epoch, hostNames)
		is.Equal(daemons[host].RecordForOwner(claim.Request, epoch).State, Unavailable)
		claim, answer := daemons[host].Begin(key, Fingerprint{}, epoch, deadline)
		is.True(claim == nil)
		is.Equal(answer.Refusal(), refusal.New(refusal.RecordUnavailable, refusal.Unknown))
	}
	_, answer = daemons[order[2]].Begin(dated(epoch.Add(-retention), 2), Fingerprint{}, epoch, deadline)
	is.Equal(answer.State, Unavailable) // older than the retention
	for _, host := range hostNames {
		daemons[host] = NewRecords(host, epoch, WithOrigin(epoch.Add(time.Minute)))
		daemons[host].SetHosts(epoch, hostNames)
	}
	early, _ := daemons[order[0]].Begin("plain", Fingerprint{}, epoch, deadline)
	is.True(early == nil) // hosts may not know each other before the origin
	later := epoch.Add(time.Minute)
	owner := Replicas("plain", hostNames)[0]
	granted, _ := daemons[owner].Begin("plain", Fingerprint{}, later, later.Add(time.Second))
	is.True(granted != nil)
	is.Equal(daemons[granted.Partners[0]].RecordForOwner(granted.Request, later).State, Granted)
}

// Guards against unbounded growth of the records, and against dropping a record early to
// make room.
func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	records := NewRecords("a", 0, WithBounds(3, 100))
	records.SetHosts(0, []id.Host{"a"})
	for call := range 5 {
		claim, _ := records.Begin(fmt.Sprint(call), Fingerprint{}, epoch, epoch.Add(time.Second))
		is.Equal(claim != nil, call < 3)
		if claim != nil {
			is.True(records.CanRun(claim, epoch))
			records.Finish(claim, epoch, refusal.Ran, make([]byte, 60))
		}
	}
	is.Equal(records.Lookup("0", epoch), Answer{State: Finished, Owner: "a"}) // its answer made room
	is.Equal(len(records.Lookup("2", epoch).Result), 60)
	later := epoch.Add(defaultRetention + time.Second)
	is.Equal(records.Lookup("2", later), Answer{})
	is.Equal(len(records.store.records)+len(records.store.expiry)+records.store.bytes, 0)
}

func BenchmarkBegin(b *testing.B) {
	hosts := make([]id.Host, 1000)
	for index := range hosts {
		hosts[index] = id.Host(fmt.Sprint("host-", index))
	}
	records := NewRecords("host-0", 0)
	records.SetHosts(0, hosts)
	key := "0"
	for try := 1; Replicas(key, hosts)[0] != "host-0"; try++ {
		key = fmt.Sprint(try)
	}
	b.ReportAllocs()
	for b.Loop() {
		claim, _ := records.Begin(key, Fingerprint{}, epoch, epoch+1000)
		records.Granted(claim, claim.Partners[0], epoch)
		records.Finish(claim, epoch, refusal.NotRun, nil)
	}
}
