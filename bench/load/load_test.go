package load_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/bench/load"
	"marjoramsaddle/standin/backend"
)

// Guards against schedules that depend on anything but the plan, and against
// rates or mixtures that are not those of the plan.
func TestScheduleFollowsThePlan(t *testing.T) {
	for _, name := range []string{load.Counter, load.Storefront} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			workload, err := load.Find(name)
			is.NoErr(err)
			plan := load.Plan{Rate: 2000, Duration: 10 * time.Second, Seed: 3}
			calls := workload.Schedule(plan)
			is.True(reflect.DeepEqual(calls, workload.Schedule(plan)))
			plan.Seed++
			is.True(!reflect.DeepEqual(calls, workload.Schedule(plan)))
			twins, keys, last := 0, map[string]int{}, time.Duration(0)
			ids := map[string]load.Call{}
			for _, call := range calls {
				is.True(call.At >= last)
				last = call.At
				is.Equal(call.Key != "", call.Method == http.MethodPost)
				ids[call.ID] = call
				if call.Key != "" {
					keys[call.Key]++
				}
			}
			is.Equal(len(ids), len(calls))
			for _, call := range calls {
				if call.TwinID != "" {
					twins++
					is.Equal(ids[call.TwinID].TwinID, call.ID)
					is.Equal(ids[call.TwinID].Key, call.Key)
				}
			}
			first := float64(len(calls) - twins/2)
			// Six standard deviations of a Poisson count.
			is.True(math.Abs(first-20_000) < 6*math.Sqrt(20_000))
			share := float64(twins/2) / float64(len(keys))
			is.True(share > 0.03 && share < 0.07)
		})
	}
}

// Guards against late answers that delay the calls after them, and latencies
// that leave out the wait before the send.
func TestArrivalsAreOpenLoop(t *testing.T) {
	is := is.New(t)
	server, err := backend.Start(backend.Options{Slots: 1000, ServiceTime: 300 * time.Millisecond})
	is.NoErr(err)
	defer func() { is.NoErr(server.Close()) }()
	workload, err := load.Find(load.Storefront)
	is.NoErr(err)
	calls := workload.Schedule(load.Plan{Rate: 100, Duration: 500 * time.Millisecond, Seed: 1})
	caller := load.NewCaller([]string{server.Address()})
	defer caller.Close()
	began := time.Now()
	records := load.Run(context.Background(), calls, caller)
	is.True(time.Since(began) < 3*time.Second) // one after the other they take 15 s
	for _, record := range records {
		is.Equal(record.Verdict, load.OK)
		is.True(record.Latency >= 300*time.Millisecond)
	}
}

// Guards against a verification that takes another call's answer, a damaged or a
// shortened one for a good one.
func TestCallerSeesWrongAnswers(t *testing.T) {
	server, err := backend.Start(backend.Options{})
	is.New(t).NoErr(err)
	defer func() { _ = server.Close() }()
	order := load.Call{ID: "c1", Token: "t1", Key: "k1", Method: "POST", Path: "/orders", Body: "body", Timeout: time.Second}
	file := load.Call{ID: "c2", Token: "t2", Method: "GET", Path: "/files/100000", Timeout: time.Second}
	refusing := func(outcome string) func(*http.Request, *httptest.ResponseRecorder) {
		return func(_ *http.Request, w *httptest.ResponseRecorder) {
			w.Code = http.StatusBadGateway
			w.Header().Set("Marjoramsaddle-Outcome", outcome)
		}
	}
	cases := []struct {
		name   string
		call   load.Call
		before func(*http.Request)
		after  func(*http.Request, *httptest.ResponseRecorder)
		want   load.Verdict
	}{
		{"true order", order, nil, nil, load.OK},
		{"true file", file, nil, nil, load.OK},
		{"other token", order, func(r *http.Request) { r.Header.Set(backend.HeaderToken, "t9") }, nil, load.Wrong},
		{"other id", order, func(r *http.Request) { r.Header.Set(backend.HeaderCallID, "c9") }, nil, load.Wrong},
		{"other key", order, func(r *http.Request) { r.Header.Set(backend.HeaderIdempotencyKey, "k9") }, nil, load.Wrong},
		{"other path", order, func(r *http.Request) { r.URL.Path = "/reservations" }, nil, load.Wrong},
		{"other file", file, func(r *http.Request) { r.URL.Path = "/files/100001" }, nil, load.Wrong},
		{"crossed files", file, func(r *http.Request) { r.Header.Set(backend.HeaderToken, "t9") }, restoreToken("t2"), load.Wrong},
		{"changed byte", file, nil, change(50_000), load.Wrong},
		{"changed order", order, nil, change(5), load.Wrong},
		{"short file", file, nil, shorten(70_000), load.Truncated},
		{"short order", order, nil, shorten(40), load.Truncated},
		{"refused", order, nil, refusing("not_run"), load.RefusedNotRun},
		{"unknown", order, nil, refusing("unknown"), load.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			mesh := httptest.NewServer(distort(server.Handler(), c.before, c.after))
			defer mesh.Close()
			caller := load.NewCaller([]string{mesh.Listener.Addr().String()})
			defer caller.Close()
			record := caller.Do(context.Background(), c.call, time.Now())
			if record.Verdict != c.want {
				t.Fatalf("got %v (%s), want %v", record.Verdict, record.Detail, c.want)
			}
		})
	}
}

// distort changes requests before and answers after a handler.
func distort(next http.Handler, before func(*http.Request), after func(*http.Request, *httptest.ResponseRecorder)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if before != nil {
			before(r)
		}
		recorder := httptest.NewRecorder()
		next.ServeHTTP(recorder, r)
		if after != nil {
			after(r, recorder)
		}
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.Header().Del("Content-Length")
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	})
}

func restoreToken(token string) func(*http.Request, *httptest.ResponseRecorder) {
	return func(_ *http.Request, w *httptest.ResponseRecorder) { w.Header().Set(backend.HeaderToken, token) }
}

func change(offset int) func(*http.Request, *httptest.ResponseRecorder) {
	return func(_ *http.Request, w *httptest.ResponseRecorder) { w.Body.Bytes()[offset] ^= 1 }
}

func shorten(size int) func(*http.Request, *httptest.ResponseRecorder) {
	return func(_ *http.Request, w *httptest.ResponseRecorder) { w.Body.Truncate(size) }
}

// Guards against a connection that breaks being taken for an answer, or being
// tried again behind the experiment's back.
func TestBrokenConnectionIsUnknown(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	accepted := make(chan int, 1)
	go func() { accepted <- answerFirst(listener) }()
	caller := load.NewCaller([]string{listener.Addr().String()})
	defer caller.Close()
	order := load.Call{ID: "c", Token: "t", Key: "k", Method: "POST", Path: "/orders", Body: "b", Timeout: time.Second}
	lookup := load.Call{ID: "c", Token: "t", Method: "GET", Path: "/stock/x", Timeout: time.Second}
	for _, call := range []load.Call{order, lookup} {
		// The first answer is empty, and it leaves the connection open for reuse.
		is.Equal(caller.Do(context.Background(), call, time.Now()).Verdict, load.Wrong)
		record := caller.Do(context.Background(), call, time.Now())
		is.Equal(record.Verdict, load.Unknown)
		is.Equal(record.Resent, 0)
	}
	is.NoErr(listener.Close())
	is.Equal(<-accepted, 4)
}

// answerFirst answers the first request of each connection and closes it at the
// second. It returns the number of requests.
func answerFirst(listener net.Listener) int {
	requests := 0
	for {
		conn, err := listener.Accept()
		if err != nil {
			return requests
		}
		reader := bufio.NewReader(conn)
		for i := range 2 {
			request, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, request.Body)
			requests++
			if i == 0 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}
		_ = conn.Close()
	}
}

// Guards against a refused connection, by which nothing ran, being counted as an
// unknown outcome.
func TestRefusedConnectionGoesElsewhere(t *testing.T) {
	is := is.New(t)
	server, err := backend.Start(backend.Options{})
	is.NoErr(err)
	defer func() { is.NoErr(server.Close()) }()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(gone.Close())
	caller := load.NewCaller([]string{gone.Addr().String(), server.Address()})
	defer caller.Close()
	call := load.Call{ID: "c", Token: "t", Key: "k", Method: "POST", Path: "/orders", Body: "b", Timeout: time.Second}
	record := caller.Do(context.Background(), call, time.Now())
	is.Equal(record.Verdict, load.OK)
	is.Equal(record.Resent, 1)
}

// Guards against violations of the promises that the comparison overlooks.
func TestCompareFindsEachViolation(t *testing.T) {
	row := func(id, key string, ran bool, start, end int64) backend.Row {
		return backend.Row{CallID: id, IdempotencyKey: key, Ran: ran, StartUnixNs: start, EndUnixNs: end, Result: backend.ResultFinished}
	}
	journals := []backend.Journal{
		{Rows: []backend.Row{
			row("good", "k1", true, 10, 30),
			row("double", "k2", true, 10, 20),
			row("refused", "k3", true, 10, 20),
			row("failed", "", true, 10, 20),
			row("shed", "", false, 10, 20),
			row("again", "k6", true, 10, 20),
			row("again", "k6", true, 30, 40),
		}},
		{DrainUnixNs: 100, Rows: []backend.Row{
			row("double-twin", "k2", true, 40, 50),
			row("shed", "", true, 50, 60),
			row("cut", "k4", true, 90, 0),
			row("late", "k5", true, 130, 140),
		}},
	}
	record := func(id, key string, verdict load.Verdict) load.Record {
		return load.Record{Call: load.Call{ID: id, Key: key}, Verdict: verdict, Reason: "r", Latency: time.Millisecond + 20}
	}
	records := []load.Record{
		record("good", "k1", load.OK),
		record("good-twin", "k1", load.OK),
		record("double", "k2", load.OK),
		record("double-twin", "k2", load.Unknown),
		record("refused", "k3", load.RefusedNotRun),
		record("never", "k9", load.OK),
		record("failed", "", load.Unknown),
		record("again", "k6", load.OK),
		record("shed", "", load.OK),
		record("cut", "k4", load.Unknown),
		record("late", "k5", load.OK),
		record("short", "", load.Truncated),
	}
	is := is.New(t)
	got := load.Compare(records, journals)
	is.Equal(got.Doubled, 2)
	is.Equal(got.DoubledByMesh, 1)
	is.Equal(got.Lost, 1)
	is.Equal(got.RanThoughRefused, 1)
	is.Equal(got.LostInStop, 1)
	is.Equal(got.ExtraAttempts, 2)
	is.Equal(got.NewWorkAfterLeave, 30*time.Nanosecond)
	is.Equal(got.ServiceTimes["good"], 20*time.Nanosecond)
	_, several := got.ServiceTimes["shed"]
	is.True(!several)
	report := load.NewReport(records, got, 5, load.Plan{Duration: 2 * time.Second})
	is.Equal(report.WrongAnswers, 2)
	is.Equal(report.Truncated, 1)
	is.Equal(report.GoodputShare, 0.7)
	is.Equal(report.AddedMsP99, 1.0)
	is.Equal(report.Refusals, map[string]int{"r": 1})
}

// The design page's section 15 states the fields.
func TestReportHasTheStatedFields(t *testing.T) {
	is := is.New(t)
	data, err := json.Marshal(load.Report{})
	is.NoErr(err)
	stated := "calls, ok, refused_not_run, unknown_outcome, wrong_answers, truncated, doubled, lost_in_stop, " +
		"added_ms_p50, added_ms_p99, goodput_share, retries_share, new_work_after_leave_ms_max, refusals"
	fields := strings.Split(strings.Trim(string(data), "{}"), ",")
	names := make([]string, 0, len(fields))
	for _, field := range fields {
		name, _, _ := strings.Cut(field, ":")
		names = append(names, strings.Trim(name, `"`))
	}
	is.Equal(strings.Join(names, ", "), stated)
}
