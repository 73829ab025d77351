package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/announcement"
	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/shutdown"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/relay"
)

// fakeHeaderCodec is a HeaderCodec that uses the headers Id, Left, Server-Id, Stamp
// and Not-Run.
type fakeHeaderCodec struct{}

func (fakeHeaderCodec) RequestID(header http.Header) string { return header.Get("Id") }

func (fakeHeaderCodec) Prepare(header http.Header, left time.Duration, server backend.ID) {
	header.Set("Left", left.String())
	header.Set("Server-Id", string(server))
}

func (fakeHeaderCodec) FromBackend(header http.Header) bool { return header.Get("Stamp") != "" }

func (fakeHeaderCodec) Rejected(status int, header http.Header) bool {
	return header.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest
}

func newServer(t *testing.T, handler http.HandlerFunc) *Server {
	t.Helper()
	backendServer := httptest.NewServer(handler)
	t.Cleanup(backendServer.Close)
	pool := http1.NewPool(http1.PoolOptions{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBodyBytes: 1 << 20})
	t.Cleanup(pool.CloseIdle)
	start := time.Now()
	s := New(Options{
		Address: strings.TrimPrefix(backendServer.URL, "http://"), Pool: pool, HeaderCodec: fakeHeaderCodec{}, Link: link.New(0),
		Now:   func() id.Instant { return id.Instant(time.Since(start)) },
		Admit: func(work shutdown.Work) (id.Instant, bool) { return work.Deadline, true },
	})
	s.SetCurrent(backend.Server{ID: "i-1", Slots: 1}, true)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Expire(ctx)
	return s
}

func newCall() relay.Call {
	return relay.Call{Server: "i-1", Left: time.Second, Aim: 500 * time.Millisecond}
}

func sendGet(s *Server, c relay.Call) (*http1.Response, *refusal.Error) {
	return s.Send(context.Background(), c, &http1.Request{Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{"Id": {"1"}}})
}

// Guards against a health check whose response is malformed or cut off and that counts as
// the state of the backend server.
func TestInvalidHealthChecksFail(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX Bad: v\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no",
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(conn, text)
				_ = conn.Close()
			})
			_, err := s.CheckHealth(context.Background(), "/", http.Header{})
			var sendErr *http1.SendError
			is.True(errors.As(err, &sendErr))
			is.True(sendErr.Sent)
		})
	}
}

// Guards against a call of a running request that waits behind a new request of the same
// priority which came before it.
func TestQueuedCallPrecedesNewRequest(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan string, 3), make(chan struct{})
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.Header.Get("Id")
		<-release
		w.Header().Set("Stamp", "1")
	})
	send := func(requestID string, onBehalf bool, queued int) {
		call := newCall()
		call.Rank, call.OfRequest, call.Left, call.Aim = 1, onBehalf, time.Minute, 0
		go func() {
			_, _ = s.Send(context.Background(), call, &http1.Request{Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{"Id": {requestID}}})
		}()
		for s.Load().Queued < queued {
			time.Sleep(time.Millisecond)
		}
	}
	send("running", false, 0)
	is.Equal(<-arrived, "running")
	send("new", false, 1)
	send("call", true, 2)
	close(release)
	is.Equal(<-arrived, "call")
	is.Equal(<-arrived, "new")
}

// Guards against responses that are forwarded or refused with an outcome they do
// not prove.
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
			response, refused := sendGet(s, newCall())
			if test.reason == refusal.None {
				is.True(refused == nil)
				is.Equal(response.Status, test.status)
				return
			}
			is.Equal(refused.Reason, test.reason)
			is.Equal(refused.Outcome, test.outcome)
		})
	}
}

// Guards against sending a request to a backend server that is draining, has been
// replaced, or has no free slot for a NoWait request.
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
		_, refused := sendGet(s, newCall())
		first <- refused
	}()
	<-arrived
	noWait := newCall()
	noWait.NoWait = true
	_, refused := sendGet(s, noWait)
	is.Equal(refused.Reason, refusal.QueueDeadline)
	queued := make(chan *refusal.Error, 1)
	go func() {
		_, refused := sendGet(s, newCall())
		queued <- refused
	}()
	for s.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	// The queued request must not reach the server that now uses the address.
	s.SetCurrent(backend.Server{ID: "i-2", Slots: 1}, true)
	close(release)
	is.True(<-first == nil)
	is.Equal((<-queued).Reason, refusal.NoEndpoint)
	s.SetCurrent(backend.Server{ID: "i-1", Slots: 1, State: backend.Draining}, true)
	_, refused = sendGet(s, newCall())
	is.Equal(refused.Reason, refusal.Leaving)
	is.Equal(refused.Outcome, refusal.NotRun)
	s.SetCurrent(backend.Server{}, false)
	is.True(s.Load().Leaving)
	is.Equal(len(arrived), 0)
}

// Guards against retrying a request that failed because a call on its behalf was
// refused, since the retry would meet the same lack of capacity; and against calls
// that are not reported to the sender.
func TestCallRefusedMarksTheAnswer(t *testing.T) {
	is := is.New(t)
	var s *Server
	s = newServer(t, func(w http.ResponseWriter, r *http.Request) {
		if parent := s.ParentOf(r.Header.Get("Id") + ".1"); parent != nil {
			parent.CallRefused()
			parent.RecordCall("depot")
			parent.RecordCall("depot")
		}
		w.Header().Set("Stamp", "1")
		w.WriteHeader(http.StatusInternalServerError)
	})
	response, refused := sendGet(s, newCall())
	is.True(refused == nil)
	is.True(relay.CallRefused(response.Header))
	is.Equal(relay.Calls(response.Header), map[id.Service]int{"depot": 2})
}

// Guards against treating a backend server as healthy because its health endpoint
// says so, although its requests hang or it rejects them with free slots.
func TestFailuresAreReported(t *testing.T) {
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
		_, refused := sendGet(s, newCall())
		is.True(refused == nil)
	}
	is.Equal(s.Load().FailureRate, 0.0)
	hang = true
	short := newCall()
	short.Left = 50 * time.Millisecond
	for range 8 {
		_, refused := sendGet(s, short)
		is.Equal(refused.Reason, refusal.DeadlinePassed)
	}
	is.True(s.Load().FailureRate > 0.3)
	s.SetCurrent(backend.Server{ID: "i-2", Slots: 1}, true)
	is.Equal(s.Load().FailureRate, 0.0)
}

// Guards against a slow backend server that keeps its full share of requests until
// the first of them ends, many service times later; and against avoiding a backend
// server long after it has recovered.
func TestSlowServerIsDetectedBeforeItsRequestsEnd(t *testing.T) {
	is := is.New(t)
	const normal = 100 * time.Millisecond
	var times serviceTime
	var active inProgress
	base := id.Instant(time.Hour)
	start := func(i int) id.Instant { return base.Add(time.Duration(i) * normal / 10) }
	times.record(normal)
	for i := range 10 {
		active.begin(start(i))
	}
	// At normal speed the mean age stays below the service time.
	is.True(active.meanAge(base.Add(normal)) < normal)
	// The requests do not end, and their ages show it after a few service times.
	is.True(active.meanAge(base.Add(4*normal)) > 3*normal)
	for i := range 10 {
		active.end(start(i))
		times.record(12 * normal)
	}
	is.Equal(active.meanAge(base.Add(12*normal)), time.Duration(0))
	is.True(times.mean < 2*normal)
	for range 60 {
		times.record(normal)
	}
	is.True(times.mean < 5*normal/4)
}

// Guards against other daemons taking all slots of a limited backend server for free,
// and against a limit that outlasts its end.
func TestLoadReportsSlotsUsableAtLimit(t *testing.T) {
	is := is.New(t)
	s := newServer(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Stamp", "1") })
	s.SetCurrent(backend.Server{ID: "i-1", Slots: 20}, true)
	setLimit := func(rate announcement.RequestRate) {
		s.SetLimit(announcement.Limit{Announced: true, Rate: rate})
	}
	setLimit(5)
	// The service time is unknown until the first response.
	is.Equal(s.Load().Slots, 20)
	s.service.mean = 500 * time.Millisecond
	is.Equal(s.Load().Slots, 3)
	setLimit(0)
	is.Equal(s.Load().Slots, 1)
	setLimit(1000)
	is.Equal(s.Load().Slots, 20)
	setLimit(5)
	_, refused := sendGet(s, relay.Call{Server: "i-1", Left: time.Second, Aim: time.Second, NoWait: true})
	is.Equal(refused.Reason, refusal.ServerLimited)
	is.Equal(refused.Outcome, refusal.NotRun)
	s.SetLimit(announcement.Limit{})
	is.Equal(s.Load().Slots, 20)
	_, refused = sendGet(s, newCall())
	is.True(refused == nil)
}

// Guards against a rejection that names no limit being taken for the end of the limit,
// as the responses to requests that have run would be.
func TestRejectionLiftsNoLimit(t *testing.T) {
	is := is.New(t)
	shed := false
	s := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		if shed {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Stamp", "1")
	})
	table := announcement.NewTable()
	process := s.Current().Process()
	limited := announcement.Announcement{Limit: announcement.Limit{Announced: true, Rate: 5}}
	table.Record(process, limited, s.options.Now(), s.options.Now())
	s.options.Responded = func(server *backend.Server, _ http.Header, sentAt id.Instant) {
		table.Record(server.Process(), announcement.Announcement{}, sentAt, s.options.Now())
	}
	shed = true
	_, refused := sendGet(s, newCall())
	is.Equal(refused.Reason, refusal.BackendShed)
	is.Equal(table.Get(process), limited)
	shed = false
	_, refused = sendGet(s, newCall())
	is.True(refused == nil)
	is.Equal(table.Get(process), announcement.Announcement{})
}

// Guards against the announcements of another server at the address, or of something
// that is no backend server, being taken for those of the expected one.
func TestOnlyExpectedServerAnnounces(t *testing.T) {
	for _, test := range []struct {
		name      string
		status    int
		header    string
		announces bool
	}{
		{"served", 200, "Stamp", true},
		{"own failure", 500, "Stamp", true},
		{"shed", 503, "Not-Run", true},
		{"another server", 421, "", false},
		{"no backend server", 200, "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
				if test.header != "" {
					w.Header().Set(test.header, "1")
				}
				w.WriteHeader(test.status)
			})
			responses := 0
			s.options.Responded = func(server *backend.Server, _ http.Header, _ id.Instant) {
				is.Equal(server.ID, backend.ID("i-1"))
				responses++
			}
			_, _ = sendGet(s, newCall())
			is.Equal(responses == 1, test.announces)
		})
	}
}

// Guards against requests to a cold backend server at which nothing listens that wait for
// its rate, and against such a loss of the process that is not reported.
func TestNothingListensAtColdServer(t *testing.T) {
	is := is.New(t)
	s := newServer(t, func(http.ResponseWriter, *http.Request) {})
	s.options.Address = "127.0.0.1:1"
	lost := 0
	s.options.ConnectionLost = func() { lost++ }
	s.SetColdStart(20, s.options.Now().Add(time.Minute))
	_, refused := sendGet(s, newCall())
	is.Equal(refused.Reason, refusal.ConnectFailed)
	is.Equal(lost, 1)
	// No token comes within the wait of the next request.
	s.SetColdStart(0.5, s.options.Now().Add(time.Minute))
	_, refused = sendGet(s, newCall())
	is.Equal(refused.Reason, refusal.ConnectFailed)
	is.Equal(refused.Outcome, refusal.NotRun)
	is.Equal(lost, 1)
}

// Guards against a load report that states the slots of a cold server as its capacity.
func TestLoadOfColdServer(t *testing.T) {
	is := is.New(t)
	s := newServer(t, func(http.ResponseWriter, *http.Request) {})
	s.SetCurrent(backend.Server{ID: "i-1", Slots: 6, ColdRate: 11}, true)
	is.Equal(s.Load().Slots, 6)
	s.SetColdStart(11, s.options.Now().Add(time.Minute))
	is.Equal(s.Load().Slots, 1)
	s.service.mean = 250 * time.Millisecond
	is.Equal(s.Load().Slots, 2)
	s.SetColdStart(11, s.options.Now())
	is.Equal(s.Load().Slots, 6)
}
