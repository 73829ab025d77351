package operator_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/snapshot"
	"marjoramsaddle/io/operator"
)

var rewrite = flag.Bool("rewrite", false, "rewrite the golden files")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeDaemon is a LocalDaemon with fixed responses.
type fakeDaemon struct {
	readiness kernel.Readiness
	failure   error
	trace     string
	drained   bool
	unblock   chan struct{}
}

func (d *fakeDaemon) Host() id.Host               { return "counter-reduit-1" }
func (d *fakeDaemon) Readiness() kernel.Readiness { return d.readiness }
func (d *fakeDaemon) Drain(context.Context) error {
	d.drained, d.readiness = true, kernel.Draining
	return d.failure
}
func (d *fakeDaemon) Trace(w io.Writer) error { _, err := io.WriteString(w, d.trace); return err }

func (d *fakeDaemon) Status(ctx context.Context) (operator.Status, error) {
	if d.unblock != nil {
		select {
		case <-d.unblock:
		case <-ctx.Done():
			return operator.Status{}, ctx.Err()
		}
	}
	return operator.Status{
		// AsOf of a clock that is ahead must not give a negative age.
		Held: 8, InForce: 7, AsOf: id.InstantOf(time.Now().Add(time.Hour)), IgnoredIndex: 3,
		Domains: []operator.Domain{
			{Name: "reduit", InForce: map[id.Host]id.Version{"b": 7, "a": 6, "c": 7}, Refused: map[id.Version]string{9: "no service"}},
			{Name: "ebene", Unanswered: []id.Host{"z", "y"}},
		},
	}, d.failure
}

func (d *fakeDaemon) View(host id.Host) (*snapshot.View, error) {
	set := document.NewSet()
	err := set.Add("test", []byte(`[
	 {"kind":"service","name":"counter","slots":20,"connections":130},
	 {"kind":"proxy","name":"counter-reduit-1","labels":{"role":"counter"}},
	 {"kind":"configuration","name":"base","limits":{"queue_ms":50},"routes":[
	  {"name":"stock","path_prefix":"/stock","service":"counter","timeout_ms":900,"class":"lookup","idempotent":true}]}]`))
	if err != nil {
		return nil, err
	}
	if _, ok := set.Proxies[host]; !ok {
		return nil, &operator.Error{Kind: operator.NotFound, Problem: "no proxy " + string(host), Remedy: "use a name from status"}
	}
	return snapshot.New(7, set).View(host), d.failure
}

func serve(t *testing.T, daemon operator.LocalDaemon) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := operator.New(listener, operator.Options{LocalDaemon: daemon, Metrics: http.NotFoundHandler()})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve() }()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return "http://" + listener.Addr().String()
}

// do sends a request and returns the status code, the content type and the body of
// the response.
func do(t *testing.T, method, url, host string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = host
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%d %s\n%s", response.StatusCode, response.Header.Get("Content-Type"), body)
}

// Guards against changes of the JSON format that operators' scripts parse, and
// against errors without a remedy.
func TestResponses(t *testing.T) {
	cases := []struct {
		name, method, path, host string
		fakeDaemon               fakeDaemon
	}{
		{name: "status", path: "/v1/status", fakeDaemon: fakeDaemon{readiness: kernel.Serving}},
		{name: "status_refused", path: "/v1/status", fakeDaemon: fakeDaemon{failure: refusal.New(refusal.Leaving, refusal.NotRun)}},
		{name: "status_broken", path: "/v1/status", fakeDaemon: fakeDaemon{failure: errors.New("control goroutine has ended")}},
		{name: "status_late", path: "/v1/status", fakeDaemon: fakeDaemon{unblock: make(chan struct{})}},
		{name: "view", path: "/v1/view"},
		{name: "view_unknown", path: "/v1/view?host=nobody"},
		{name: "view_too_long", path: "/v1/view?host=" + strings.Repeat("x", 300)},
		{name: "view_none", path: "/v1/view", fakeDaemon: fakeDaemon{failure: refusal.New(refusal.NoConfiguration, refusal.NotRun)}},
		{name: "drain", method: http.MethodPost, path: "/v1/drain"},
		{name: "drain_by_get", path: "/v1/drain"},
		{name: "drain_rebound", method: http.MethodPost, path: "/v1/drain", host: "page.example"},
		{name: "trace", path: "/v1/trace", fakeDaemon: fakeDaemon{trace: "{\"at\":1}\n{\"at\":2}\n"}},
		{name: "trace_too_long", path: "/v1/trace", fakeDaemon: fakeDaemon{trace: strings.Repeat("x", 17<<20)}},
		{name: "health", path: "/v1/health", fakeDaemon: fakeDaemon{readiness: kernel.Serving}},
		{name: "health_resyncing", path: "/v1/health", fakeDaemon: fakeDaemon{readiness: kernel.Resyncing}},
		{name: "no_path", path: "/v2/status"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := do(t, c.method, serve(t, &c.fakeDaemon)+c.path, c.host)
			is.Equal(c.fakeDaemon.drained, c.name == "drain") // drained by this request only
			checkGolden(t, c.name, got)
		})
	}
}

func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *rewrite {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s:\ngot  %s\nwant %s", path, got, want)
	}
}

// Guards against concurrent status requests that flood the fleet with census
// messages.
func TestStatusRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	daemon := &fakeDaemon{unblock: make(chan struct{})}
	url := serve(t, daemon) + "/v1/status"
	responses := make(chan string, 5)
	for range cap(responses) {
		go func() { responses <- do(t, http.MethodGet, url, "") }()
	}
	is.True(strings.HasPrefix(<-responses, "503")) // the fifth does not wait
	close(daemon.unblock)
	for range 4 {
		is.True(strings.HasPrefix(<-responses, "200"))
	}
}

// Guards against an operators' listener that other machines can use without a
// client certificate.
func TestNewRefusesExposedListener(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "0.0.0.0:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	_, err = operator.New(listener, operator.Options{LocalDaemon: &fakeDaemon{}})
	is.True(err != nil) // plain HTTP on all addresses
	server := httptest.NewUnstartedServer(nil)
	server.StartTLS()
	defer server.Close()
	_, err = operator.New(listener, operator.Options{LocalDaemon: &fakeDaemon{}, TLS: server.TLS})
	is.True(err != nil) // TLS without client certificates
}
