package daemon

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/idempotency"
	"marjoramsaddle/standin/backend"
)

// Guards against an order that runs twice when its caller repeats it. The
// journals of the backend servers decide.
func TestKeyedOrdersRunOnce(t *testing.T) {
	f := newFleet(t, 12)
	var dead []id.Host
	kill := func(host id.Host) {
		f.kill(host)
		dead = append(dead, host)
	}
	// begin sends an order and returns the host that runs it before it answers.
	begin := func(is *is.I, key string, through id.Host) (id.Host, <-chan answer) {
		is.Helper()
		f.slow(400)
		first := make(chan answer, 1)
		go func() { first <- f.order(through, key, "nails") }()
		f.eventually("order runs", func() bool { return f.ran(key) == 1 })
		f.slow(0)
		return f.runner(key), first
	}
	t.Run("repeat at the owner", func(t *testing.T) {
		is := is.New(t)
		key, replicas := f.key()
		checkReplay(is, f, key, f.order(replicas[0], key, "nails"), f.order(replicas[0], key, "nails"))
	})
	t.Run("repeat through another daemon", func(t *testing.T) {
		is := is.New(t)
		key, replicas := f.key()
		checkReplay(is, f, key, f.order(replicas[1], key, "nails"), f.order(f.other(replicas...), key, "nails"))
	})
	t.Run("repeat while it runs", func(t *testing.T) {
		is := is.New(t)
		key, replicas := f.key()
		_, first := begin(is, key, f.other(replicas...))
		second := f.order(replicas[1], key, "nails")
		is.Equal(second.status, http.StatusConflict)
		is.Equal(second.reason(), "in_progress")
		is.Equal((<-first).status, http.StatusOK)
		is.Equal(f.ran(key), 1)
	})
	t.Run("another request with the key", func(t *testing.T) {
		is := is.New(t)
		key, replicas := f.key()
		is.Equal(f.order(replicas[1], key, "nails").status, http.StatusOK)
		other := f.order(replicas[2], key, "bolts")
		is.Equal(other.reason(), "bad_request")
		is.Equal(other.outcome(), "not_run")
		is.Equal(f.ran(key), 1)
	})
	t.Run("repeat after it did not run", func(t *testing.T) {
		is := is.New(t)
		key, replicas := f.key()
		is.NoErr(f.backends[replicas[0]].Close())
		is.Equal(f.order(replicas[1], key, "nails").outcome(), "not_run")
		f.restartBackend(replicas[0])
		f.eventually("order runs", func() bool { return f.order(replicas[1], key, "nails").status == http.StatusOK })
		is.Equal(f.runner(key), replicas[0])
	})
	t.Run("partner killed before", func(t *testing.T) {
		is := is.New(t)
		key, replicas := f.key()
		kill(replicas[1])
		through := f.other(replicas...)
		checkReplay(is, f, key, f.order(through, key, "nails"), f.order(replicas[0], key, "nails"))
	})
	t.Run("owner killed before the answer", func(t *testing.T) {
		is := is.New(t)
		key, replicas := f.key(dead...)
		through := f.other(append(replicas, dead...)...)
		owner, first := begin(is, key, through)
		kill(owner)
		is.Equal((<-first).outcome(), "unknown")
		checkRefused(is, f, key, through)
		checkRefused(is, f, key, replicas[1])
	})
	t.Run("owner and partner killed", func(t *testing.T) {
		is := is.New(t)
		key, replicas := f.key(dead...)
		through := f.other(append(replicas, dead...)...)
		owner, first := begin(is, key, through)
		kill(owner)
		for _, host := range replicas[1:] {
			if state := f.daemons[host].records.Lookup(key, now()).State; state != idempotency.Unavailable {
				kill(host)
			}
		}
		is.Equal((<-first).outcome(), "unknown")
		checkRefused(is, f, key, through)
		time.Sleep(4 * time.Second) // the killed hosts are suspect
		checkRefused(is, f, key, through)
	})
}

// checkReplay expects that the second answer is the first one, whole.
func checkReplay(is *is.I, f *testFleet, key string, first, second answer) {
	is.Helper()
	is.Equal(first.status, http.StatusOK)
	is.Equal(second.status, http.StatusOK)
	is.Equal(f.ran(key), 1) // runs of the order
	is.Equal(f.runner(key), idempotency.Replicas(key, f.counters)[0])
	is.True(!first.replayed() && second.replayed())
	is.Equal(string(second.body), string(first.body))
	is.Equal(second.header.Get(backend.HeaderBodySum), backend.SumHex(first.body))
	is.Equal(decoded(f.t, second).RequestSHA256, backend.SumHex([]byte("nails")))
}

// checkRefused expects that repeats neither run nor claim that they did not.
func checkRefused(is *is.I, f *testFleet, key string, through id.Host) {
	is.Helper()
	var repeat answer
	for range 4 {
		repeat = f.order(through, key, "nails")
	}
	is.Equal(f.ran(key), 1) // runs of the order
	is.Equal(repeat.outcome(), "unknown")
	is.Equal(repeat.reason(), "record_unavailable")
}
