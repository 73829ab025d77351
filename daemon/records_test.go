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

// Guards against an order that runs twice when its caller retries it. The
// journals of the backend servers show what ran.
func TestKeyedOrdersRunOnce(t *testing.T) {
	f := newFleet(t, 12)
	var dead []id.Host
	kill := func(host id.Host) {
		f.kill(host)
		dead = append(dead, host)
	}
	// begin sends an order and returns the host that runs it, before the response.
	begin := func(is *is.I, key string, through id.Host) (id.Host, <-chan answer) {
		is.Helper()
		f.setServiceTime(400)
		first := make(chan answer, 1)
		go func() { first <- f.order(through, key, "nails") }()
		f.eventually("order runs", func() bool { return f.executions(key) == 1 })
		f.setServiceTime(0)
		return f.executedOn(key), first
	}
	t.Run("retry at the owner", func(t *testing.T) {
		is := is.New(t)
		key, replicas := f.key()
		checkReplay(is, f, key, f.order(replicas[0], key, "nails"), f.order(replicas[0], key, "nails"))
	})
	t.Run("retry through another daemon", func(t *testing.T) {
		is := is.New(t)
		key, replicas := f.key()
		checkReplay(is, f, key, f.order(replicas[1], key, "nails"), f.order(f.other(replicas...), key, "nails"))
	})
	t.Run("retry in progress", func(t *testing.T) {
		is := is.New(t)
		key, replicas := f.key()
		_, first := begin(is, key, f.other(replicas...))
		second := f.order(replicas[1], key, "nails")
		is.Equal(second.status, http.StatusConflict)
		is.Equal(second.reason(), "in_progress")
		is.Equal((<-first).status, http.StatusOK)
		is.Equal(f.executions(key), 1)
	})
	t.Run("key reused for another request", func(t *testing.T) {
		is := is.New(t)
		key, replicas := f.key()
		is.Equal(f.order(replicas[1], key, "nails").status, http.StatusOK)
		other := f.order(replicas[2], key, "bolts")
		is.Equal(other.reason(), "bad_request")
		is.Equal(other.outcome(), "not_run")
		is.Equal(f.executions(key), 1)
	})
	t.Run("retry after not run", func(t *testing.T) {
		is := is.New(t)
		key, replicas := f.key()
		is.NoErr(f.backends[replicas[0]].Close())
		is.Equal(f.order(replicas[1], key, "nails").outcome(), "not_run")
		f.restartBackend(replicas[0])
		f.eventually("order runs", func() bool { return f.order(replicas[1], key, "nails").status == http.StatusOK })
		is.Equal(f.executedOn(key), replicas[0])
	})
	t.Run("partner killed before the order", func(t *testing.T) {
		is := is.New(t)
		key, replicas := f.key()
		kill(replicas[1])
		through := f.other(replicas...)
		checkReplay(is, f, key, f.order(through, key, "nails"), f.order(replicas[0], key, "nails"))
	})
	t.Run("owner killed before the response", func(t *testing.T) {
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
		time.Sleep(4 * time.Second) // until the killed hosts are suspected
		checkRefused(is, f, key, through)
	})
}

// checkReplay expects that the order ran once, on the owner, and that the second
// answer is a complete replay of the first.
func checkReplay(is *is.I, f *testFleet, key string, first, second answer) {
	is.Helper()
	is.Equal(first.status, http.StatusOK)
	is.Equal(second.status, http.StatusOK)
	is.Equal(f.executions(key), 1) // runs of the order
	is.Equal(f.executedOn(key), idempotency.Replicas(key, f.counterHosts)[0])
	is.True(!first.replayed() && second.replayed())
	is.Equal(string(second.body), string(first.body))
	is.Equal(second.header.Get(backend.HeaderBodySHA256), backend.SHA256Hex(first.body))
	is.Equal(decoded(f.t, second).RequestSHA256, backend.SHA256Hex([]byte("nails")))
}

// checkRefused expects that a retry does not run the order again and reports the
// outcome "unknown", not "not run".
func checkRefused(is *is.I, f *testFleet, key string, through id.Host) {
	is.Helper()
	var repeat answer
	for range 4 {
		repeat = f.order(through, key, "nails")
	}
	is.Equal(f.executions(key), 1) // runs of the order
	is.Equal(repeat.outcome(), "unknown")
	is.Equal(repeat.reason(), "record_unavailable")
}
