package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/admission"
	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/backend"
	"marjoramsaddle/io/hop"
)

func now() id.Instant { return id.InstantOf(time.Now()) }

func newServer(address string, change func(*backend.Options)) *backend.Server {
	options := backend.Options{
		Address: address, Service: "counter", Gate: admission.NewGate(2, 2), Connections: 2, Now: now,
	}
	if change != nil {
		change(&options)
	}
	return backend.New(options)
}

func orderCall(idempotent bool) hop.Call {
	return hop.Call{
		ID: "c1", Service: "counter", Class: document.ClassOrder, Depth: 1, Key: "k1", QueueMS: 100,
		Deadline: now().Add(5 * time.Second), Idempotent: idempotent,
	}
}

func request(body string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "http://mesh/orders", strings.NewReader(body))
	r.Header.Set(hop.HeaderIdempotencyKey, "k1")
	if body == "" {
		r.Body = http.NoBody // as io/caller sends it, which net/http could retry
	}
	return r
}

// scriptedServer sends the given responses to the requests of each connection and
// closes it after the last one; an empty string closes it without a response.
func scriptedServer(t *testing.T, requests *atomic.Int64, responses ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScript(conn, requests, responses)
		}
	}()
	return listener.Addr().String()
}

func serveScript(conn net.Conn, requests *atomic.Int64, responses []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, text := range responses {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		requests.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, text)
	}
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against net/http, which retries a request with an Idempotency-Key if a
// reused connection breaks, although the request may have run.
func TestKeyedRequestIsNotRetried(t *testing.T) {
	for _, body := range []string{"", "order"} {
		is := is.New(t)
		var requests atomic.Int64
		server := newServer(scriptedServer(t, &requests, completeResponse, ""), nil)
		response, refused := server.Do(context.Background(), request(body), orderCall(false))
		is.True(refused == nil)
		_, err := io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		_, refused = server.Do(context.Background(), request(body), orderCall(false)) //nolint:bodyclose // There is no response.
		is.True(refused != nil)
		is.Equal(refused.Outcome, refusal.Unknown)
		is.Equal(requests.Load(), int64(2))
	}
}

// Guards against the outcome NotRun for a request that was sent, and against
// accepting close-delimited or malformed responses, responses of other calls and headers
// of unlimited size.
func TestInvalidResponsesAreRefused(t *testing.T) {
	cases := []struct {
		name, answer string
		reason       refusal.Reason
	}{
		{"no response", "", refusal.BackendBroken},
		{"garbage", "\x00\xff not http\r\n\r\n", refusal.BackendBroken},
		{"open end", "HTTP/1.1 200 OK\r\n\r\nok", refusal.BackendBroken},
		{"other call", "HTTP/1.1 200 OK\r\nMarjoramsaddle-Call-Id: c2\r\nContent-Length: 2\r\n\r\nok", refusal.BackendBroken},
		{"shed", "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nno", refusal.BackendShed},
		{"HTTP/1.0 with open end", "HTTP/1.0 200 OK\r\n\r\nok", refusal.BackendBroken},
		{"blank in name", "HTTP/1.1 200 OK\r\nX Bad: v\r\nContent-Length: 2\r\n\r\nok", refusal.BackendBroken},
		{"blank before name", "HTTP/1.1 200 OK\r\nX-Good: v\r\n X-Bad: v\r\nContent-Length: 2\r\n\r\nok", refusal.BackendBroken},
		{"blank before colon of encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n", refusal.BackendBroken},
		{"blank in name of interim response", "HTTP/1.1 103 Early Hints\r\nX Bad: v\r\n\r\n" + completeResponse, refusal.BackendBroken},
		{"encoding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n", refusal.BackendBroken},
		{"control byte in name", "HTTP/1.1 200 OK\r\nX-\x01Bad: v\r\nContent-Length: 2\r\n\r\nok", refusal.BackendBroken},
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", refusal.BackendBroken},
		{"status 600", "HTTP/1.1 600 Custom\r\nContent-Length: 2\r\n\r\nok", refusal.BackendBroken},
		{"other protocol", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\nok", refusal.BackendBroken},
		{"other version", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok", refusal.BackendBroken},
		{"malformed shed", "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nX Bad: v\r\nContent-Length: 2\r\n\r\nno", refusal.BackendBroken},
		{"interim responses without end", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", hop.MaxHeaderBytes), refusal.BackendBroken},
		{"long header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*hop.MaxHeaderBytes) + "\r\n\r\n", refusal.BackendBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int64
			gate := admission.NewGate(1, 1)
			server := newServer(scriptedServer(t, &requests, c.answer), func(o *backend.Options) { o.Gate = gate })
			_, refused := server.Do(context.Background(), request("order"), orderCall(false)) //nolint:bodyclose // There is no response.
			is.True(refused != nil)
			is.Equal(refused.Reason, c.reason)
			is.Equal(refused.Outcome, refusal.Unknown)
			running, _ := gate.Load()
			is.Equal(running, 0) // the slot is free again
		})
	}
}

// Guards against refused calls that reach the backend server: a call with the
// outcome NotRun must not appear in its journal.
func TestRefusedCallsAreNotSent(t *testing.T) {
	var requests atomic.Int64
	address := scriptedServer(t, &requests, completeResponse)
	cases := []struct {
		name   string
		change func(*backend.Server, *hop.Call)
		want   refusal.Reason
	}{
		{"leaving", func(s *backend.Server, _ *hop.Call) { s.SetLeaving(true) }, refusal.Leaving},
		{"other service", func(_ *backend.Server, c *hop.Call) { c.Service = "depot" }, refusal.NoEndpoint},
		{"late", func(_ *backend.Server, c *hop.Call) { c.Deadline = now().Add(-time.Second) }, refusal.DeadlinePassed},
		{"deep", func(_ *backend.Server, c *hop.Call) { c.Depth = 30 }, refusal.DepthExceeded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server, call := newServer(address, nil), orderCall(false)
			c.change(server, &call)
			r := request("order")
			call.SetHeaders(r.Header)
			recorder := httptest.NewRecorder()
			server.ServeHTTP(recorder, r)
			is.Equal(recorder.Header().Get(hop.HeaderOutcome), refusal.NotRun.String())
			is.Equal(recorder.Header().Get(hop.HeaderReason), c.want.String())
			is.Equal(requests.Load(), int64(0))
		})
	}
}

// Guards against a draining or unreachable backend server that is not reported
// through the callbacks.
func TestBackendStateCallbacks(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	draining, unreachable := 0, 0
	setCallbacks := func(o *backend.Options) {
		o.OnDraining = func() { draining++ }
		o.OnUnreachable = func() { unreachable++ }
	}
	drainingResponse := "HTTP/1.1 200 OK\r\nMarjoramsaddle-Draining: true\r\nContent-Length: 0\r\n\r\n"
	response, refused := newServer(scriptedServer(t, &requests, drainingResponse), setCallbacks).Do(context.Background(), request("order"), orderCall(false))
	is.True(refused == nil)
	is.NoErr(response.Body.Close())
	is.Equal(draining, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	unreachableServer := newServer(listener.Addr().String(), setCallbacks)
	_, refused = unreachableServer.Do(context.Background(), request("order"), orderCall(false)) //nolint:bodyclose // There is no response.
	is.Equal(refused.Outcome, refusal.NotRun)
	is.Equal(unreachable, 1)
}

// Guards against a health check whose response is malformed or cut off and that counts as
// the state of the backend server.
func TestInvalidHealthIsUnreachable(t *testing.T) {
	cases := []struct {
		name, answer string
		want         backend.Health
	}{
		{"ready", completeResponse, backend.Health{Ready: true}},
		{"draining", "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\ndraining", backend.Health{Ready: true, Draining: true}},
		{"longer than what is read", "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000), backend.Health{Ready: true}},
		{"blank in name", "HTTP/1.1 200 OK\r\nX Bad: v\r\nContent-Length: 2\r\n\r\nok", backend.Health{}},
		{"status 000", "HTTP/1.1 000 OK\r\nMarjoramsaddle-Draining: true\r\nContent-Length: 2\r\n\r\nok", backend.Health{}},
		{"cut off", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok", backend.Health{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int64
			ctx, cancel := context.WithCancel(context.Background())
			var reported backend.Health
			backend.Probe(ctx, scriptedServer(t, &requests, c.answer), "/health", func(health backend.Health) {
				reported = health
				cancel()
			})
			is.Equal(reported, c.want)
		})
	}
}
