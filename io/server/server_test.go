package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/relay"
)

// dialect is a small stand-in for the headers of the platform.
type dialect struct{}

func (dialect) RequestID(header http.Header) string { return header.Get("Id") }

func (dialect) Prepare(header http.Header, left time.Duration, server backend.ID) {
	header.Set("Left", left.String())
	header.Set("Server-Id", string(server))
}

func (dialect) FromBackend(header http.Header) bool { return header.Get("Stamp") != "" }

func (dialect) Rejected(status int, header http.Header) bool {
	return header.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest
}

func newServer(t *testing.T, handler http.HandlerFunc) *Server {
	t.Helper()
	behind := httptest.NewServer(handler)
	t.Cleanup(behind.Close)
	pool := http1.NewPool(http1.PoolOptions{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBodyBytes: 1 << 20})
	t.Cleanup(pool.CloseIdle)
	start := time.Now()
	s := New(Options{
		Address: strings.TrimPrefix(behind.URL, "http://"), Pool: pool, HeaderCodec: dialect{}, Link: link.New(0),
		Now: func() id.Instant { return id.Instant(time.Since(start)) },
	})
	s.SetCurrent(backend.Server{ID: "i-1", Slots: 1}, true)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Expire(ctx)
	return s
}

func call() relay.Call {
	return relay.Call{Server: "i-1", Left: time.Second, Aim: 500 * time.Millisecond}
}

func send(s *Server, c relay.Call) (*http1.Response, *refusal.Error) {
	return s.Send(context.Background(), c, &http1.Request{Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{"Id": {"1"}}})
}

// Guards against answers of a backend server being taken for more or less than
// they prove.
func TestClassify(t *testing.T) {
	tests := []struct {
		name    string
		status  int
		header  string
		reason  refusal.Reason
		outcome refusal.Outcome
	}{
		{"served", 200, "Stamp", refusal.None, refusal.Ran},
		{"own failure", 500, "Stamp", refusal.None, refusal.Ran},
		{"shed", 503, "Not-Run", refusal.BackendShed, refusal.NotRun},
		{"failure without proof", 503, "", refusal.BackendBroken, refusal.Unknown},
		{"foreign success", 200, "", refusal.BackendBroken, refusal.Unknown},
		{"another server", 421, "", refusal.WrongIdentity, refusal.NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
				if test.header != "" {
					w.Header().Set(test.header, "1")
				}
				w.WriteHeader(test.status)
			})
			answer, refused := send(s, call())
			if test.reason == refusal.None {
				is.True(refused == nil)
				is.Equal(answer.Status, test.status)
				return
			}
			is.Equal(refused.Reason, test.reason)
			is.Equal(refused.Outcome, test.outcome)
		})
	}
}

// Guards against requests that reach a backend server which leaves, was
// replaced, or has no free slot for a request that does not wait.
func TestRefusedBeforeArrival(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}, 9), make(chan struct{})
	s := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		w.Header().Set("Stamp", "1")
	})
	first := make(chan *refusal.Error, 1)
	go func() {
		_, refused := send(s, call())
		first <- refused
	}()
	<-arrived
	eager := call()
	eager.NoWait = true
	_, refused := send(s, eager)
	is.Equal(refused.Reason, refusal.QueueDeadline)
	waiting := make(chan *refusal.Error, 1)
	go func() {
		_, refused := send(s, call())
		waiting <- refused
	}()
	for s.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	// The queued request must not reach the server that took the address.
	s.SetCurrent(backend.Server{ID: "i-2", Slots: 1}, true)
	close(release)
	is.True(<-first == nil)
	is.Equal((<-waiting).Reason, refusal.NoEndpoint)
	s.SetCurrent(backend.Server{ID: "i-1", Slots: 1, State: backend.Draining}, true)
	_, refused = send(s, call())
	is.Equal(refused.Reason, refusal.Leaving)
	is.Equal(refused.Outcome, refusal.NotRun)
	s.SetCurrent(backend.Server{}, false)
	is.True(s.Load().Leaving)
	is.Equal(len(arrived), 0)
}

// Guards against a failed run being repeated when a call of it found no room:
// the repeat would find none either; and against calls of a run that its sender
// does not learn of.
func TestCallRefusedMarksTheAnswer(t *testing.T) {
	is := is.New(t)
	var s *Server
	s = newServer(t, func(w http.ResponseWriter, r *http.Request) {
		if run := s.ParentOf(r.Header.Get("Id") + ".1"); run != nil {
			run.CallRefused()
			run.RecordCall("depot")
			run.RecordCall("depot")
		}
		w.Header().Set("Stamp", "1")
		w.WriteHeader(http.StatusInternalServerError)
	})
	answer, refused := send(s, call())
	is.True(refused == nil)
	is.True(relay.CallRefused(answer.Header))
	is.Equal(relay.Calls(answer.Header), map[id.Service]int{"depot": 2})
	is.True(s.ParentOf("1.1") == nil)
	is.True(s.ParentOf("1") == nil)
}

// Guards against a backend server that hangs on its requests, or rejects them
// with free slots, counting as well because its health endpoint says so.
func TestFailuresAreTold(t *testing.T) {
	is := is.New(t)
	hang := false
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		if hang {
			<-r.Context().Done()
			return
		}
		w.Header().Set("Stamp", "1")
	})
	for range 8 {
		_, refused := send(s, call())
		is.True(refused == nil)
	}
	is.Equal(s.Load().FailureRate, 0.0)
	hang = true
	short := call()
	short.Left = 50 * time.Millisecond
	for range 8 {
		_, refused := send(s, short)
		is.Equal(refused.Reason, refusal.DeadlinePassed)
	}
	is.True(s.Load().FailureRate > 0.3)
	s.SetCurrent(backend.Server{ID: "i-2", Slots: 1}, true)
	is.Equal(s.Load().FailureRate, 0.0)
}

// Guards against a backend server that has turned slow and gets its full share
// of requests until the first of them ends, many service times later; and
// against one that stays avoided for long after it has recovered.
func TestSlowServerIsToldBeforeItsRequestsEnd(t *testing.T) {
	is := is.New(t)
	const usual = 100 * time.Millisecond
	var times serviceTime
	var busy working
	began := id.Instant(time.Hour)
	start := func(i int) id.Instant { return began.Add(time.Duration(i) * usual / 10) }
	times.sample(usual)
	for i := range 10 {
		busy.begin(start(i))
	}
	// At the usual speed the ages stay below the service time.
	is.True(busy.meanAge(began.Add(usual)) < usual)
	// The requests do not end: their ages tell after a few service times.
	is.True(busy.meanAge(began.Add(4*usual)) > 3*usual)
	for i := range 10 {
		busy.end(start(i))
		times.sample(12 * usual)
	}
	is.Equal(busy.meanAge(began.Add(12*usual)), time.Duration(0))
	is.True(times.mean < 2*usual)
	for range 60 {
		times.sample(usual)
	}
	is.True(times.mean < 5*usual/4)
}
