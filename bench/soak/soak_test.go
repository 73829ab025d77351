package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/platform/platformtest"
)

// buildDaemon builds the daemon's program and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "sidecar")
	built, err := exec.Command("go", "build", "-o", program, "marjoramsaddle/cmd/marjoramsaddle-sidecar").CombinedOutput()
	if err != nil {
		t.Fatalf("build the daemon: %v\n%s", err, built)
	}
	return program
}

// The third field of a seed has versionsMark for runs for versions, and drillsMark for
// runs with drills of the store, or both, with marksSeparator between them. The fleets of
// runs for versions have versionHosts hosts, and their configurations versionIdleRoutes
// unused routes.
const (
	versionsMark      = "versions"
	drillsMark        = "drills"
	marksSeparator    = "+"
	versionHosts      = 13
	versionIdleRoutes = 300
)

// Guards against violated guarantees under overlapping faults. testdata/seeds says
// what each seed guards against.
func TestSeeds(t *testing.T) { playSeeds(t, false) }

// Guards against versions that come late or go back while control connections are silent,
// readers are lost and the store is in trouble, as TestSeeds does for all faults. The
// larger fleets of these runs are played on their own.
func TestVersionSeeds(t *testing.T) { playSeeds(t, true) }

// playSeeds plays the seeds of testdata/seeds that are or are not runs for versions.
func playSeeds(t *testing.T, versions bool) {
	t.Helper()
	is := is.New(t)
	program := buildDaemon(t)
	data, err := os.ReadFile("testdata/seeds")
	is.NoErr(err)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 3 || fields[0] == "#" {
			continue
		}
		marks := strings.Split(fields[2], marksSeparator)
		if slices.Contains(marks, versionsMark) != versions {
			continue
		}
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		is.NoErr(err)
		duration, err := time.ParseDuration(fields[1])
		is.NoErr(err)
		options := Options{Program: program, Seed: seed, Duration: duration, Drills: slices.Contains(marks, drillsMark)}
		if versions {
			options.Versions, options.Hosts, options.IdleRoutes = true, versionHosts, versionIdleRoutes
		}
		t.Run(fmt.Sprintf("seed %s %s", fields[0], fields[2]), func(t *testing.T) {
			t.Parallel()
			options.Folder = logFolder(t)
			report, err := Run(context.Background(), options)
			if err != nil {
				t.Fatal(err)
			}
			if len(report.Broken) > 0 {
				t.Errorf("broken: %s\nfaults: %s", strings.Join(report.Broken, "\n"), strings.Join(report.Faults, "\n"))
			}
		})
	}
}

// logFolder returns a folder for the logs of a run. It is kept if the test fails.
func logFolder(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp("", "marjoramsaddle-seed-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the logs of the daemons are in %s", folder)
			return
		}
		if err := os.RemoveAll(folder); err != nil {
			t.Error(err)
		}
	})
	return folder
}

// Guards against soak tests that pass because their checks miss violations.
func TestViolationsAreDetected(t *testing.T) {
	ok := call{id: "a", target: "/order/x", status: 200, signed: true, body: responseBody("a")}
	refused := ok
	refused.status = 503
	foreign := ok
	foreign.body = responseBody("b")
	cut := call{id: "a", target: "/order/x", err: os.ErrClosed, undisturbed: true, stopping: true}
	crossing := call{id: "a", target: "/lookup/x", err: io.EOF, idempotent: true, undisturbed: true, duringStop: true}
	unread := crossing
	unread.duration = 2 * lossSlack
	began := crossing
	began.stopping, began.duringStop = true, false
	refusedConnection := unread
	refusedConnection.err = &net.OpError{Op: "dial", Err: os.ErrClosed}
	stoppedAt := time.Unix(1_700_000_000, 0)
	atWork := []run{{service: shop, target: "/order/x"}}
	early := call{id: "a", target: "/order/x", err: io.EOF, undisturbed: true, duringStop: true, stoppedAt: stoppedAt, began: stoppedAt.Add(2900 * time.Millisecond), duration: 2900 * time.Millisecond}
	late := early
	late.began, late.duration = stoppedAt.Add(3100*time.Millisecond), 2700*time.Millisecond
	soon := early
	soon.duration = time.Second
	replaced := late
	replaced.err, replaced.status, replaced.timeout = nil, http.StatusBadGateway, longTimeout
	expired := replaced
	expired.duration = longTimeout
	failed := replaced
	failed.signed = true
	ended := []run{{service: shop, target: "/order/x", ended: stoppedAt.Add(4 * time.Second)}}
	moved := ok
	moved.moved = map[string]bool{stock: true}
	ran := run{service: shop, target: "/order/x"}
	shed := run{service: shop, target: "/order/x", rejected: true}
	for _, test := range []struct {
		name   string
		call   call
		runs   []run
		broken bool
	}{
		{"served", ok, []run{ran}, false},
		{"rejected, then served", ok, []run{shed, ran}, false},
		{"refused", refused, []run{shed}, false},
		{"ran twice", ok, []run{ran, ran}, true},
		{"refused and ran", refused, []run{ran}, true},
		{"foreign answer", foreign, []run{ran}, true},
		{"answer without a run", ok, nil, true},
		{"cut off by a stop", cut, []run{ran}, true},
		{"request that crosses the close of its connection", crossing, nil, false},
		{"request passed on and cut off", crossing, []run{{service: shop, target: "/lookup/x"}}, true},
		{"request left without a response", unread, nil, true},
		{"request from before the stop", began, nil, true},
		{"connection refused", refusedConnection, nil, false},
		{"at work at the end of the grace, sent early", early, atWork, false},
		{"at work at the end of the grace, sent late", late, atWork, true},
		{"cut off before the end of the grace", soon, atWork, true},
		{"answer of the daemon in place of that of a server at work", replaced, atWork, true},
		{"answer of the daemon after the server had ended", replaced, ended, false},
		{"answer of the daemon at the deadline", expired, atWork, false},
		{"failure of the server", failed, atWork, false},
		{"other target", ok, []run{{service: shop, target: "/order/y"}}, true},
		{"other service", ok, []run{{service: stock, target: "/order/x"}}, true},
		{"old version", moved, []run{ran}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(len(test.call.broken(test.runs)) > 0, test.broken)
		})
	}
}

// Guards against a soak that blames a planned stop for a connection that is refused since
// the daemon restarted by an earlier stop does not listen yet.
func TestHostIsStoppingUntilItsDaemonListens(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	slowStart := filepath.Join(folder, "slow-start")
	script := "#!/bin/sh\nsleep 0.5\nexec " + buildDaemon(t) + ` "$@"` + "\n"
	is.NoErr(os.WriteFile(slowStart, []byte(script), 0o700)) //nolint:gosec // It has to be executable.
	w, err := newWorld(&Options{Program: slowStart, Folder: folder, Seed: 150})
	is.NoErr(err)
	defer w.close()
	is.NoErr(w.start(context.Background()))
	h := w.hosts[0]
	c := &faultInjector{w: w, began: time.Now()}
	stopDaemon(c, h)()
	is.True(h.stoppingSince().IsZero())
	conn, err := net.Dial("tcp", w.address(h.localIP, portCaller))
	is.NoErr(err)
	is.NoErr(conn.Close())
}

// Guards against a soak that overlooks a host that handles requests by an old version,
// or that expects a version of hosts that are out of touch.
func TestOldVersionsAreDetected(t *testing.T) {
	// Version 5 adds route 5 and drops route 2. Versions 4 and 5 may be in force.
	const added, dropped = addedRoute(5), addedRoute(2)
	probe := func(route addedRoute, status int) call {
		return call{id: "a", target: route.prefix() + "x", idempotent: true, status: status, signed: true, body: responseBody("a"), probe: route, versions: span{4, 6}, inTouch: true}
	}
	with := func(one call, change func(*call)) call {
		change(&one)
		return one
	}
	for _, test := range []struct {
		name   string
		call   call
		runs   int
		broken bool
	}{
		{"route added in time", probe(added, 404), 0, false},
		{"route added before", probe(4, 404), 0, true},
		{"route dropped in time", probe(dropped, 200), 1, false},
		{"route dropped before", probe(1, 200), 1, true},
		{"route dropped before, refused", probe(1, 404), 0, false},
		{"out of touch", with(probe(4, 404), func(c *call) { c.inTouch = false }), 0, false},
		{"not handled", probe(4, 503), 0, false},
		{"shown before", with(probe(added, 404), func(c *call) { c.shown = 5 }), 0, true},
		{"shown before, out of touch", with(probe(added, 404), func(c *call) { c.shown, c.inTouch = 5, false }), 0, true},
		{"dropped by a version shown before", with(probe(dropped, 200), func(c *call) { c.shown = 5 }), 1, true},
		{"an older one shown before", with(probe(added, 404), func(c *call) { c.shown = 4 }), 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			runs := []run{{service: shop, target: test.call.target}}[:test.runs]
			is.New(t).Equal(len(test.call.broken(runs)) > 0, test.broken)
		})
	}
}

// Guards against a soak that overlooks a server that gets more requests than it has
// announced to take, or that counts the requests of hosts that do not know the limit.
func TestExceededLimitsAreDetected(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	// The bound for a limit of five a second is 35 requests in four seconds.
	period := limitPeriod{server: "i-1", rate: 5, from: start, until: start.Add(time.Minute)}
	known := start.Add(time.Second)
	for _, test := range []struct {
		name     string
		requests int
		interval time.Duration
		from     time.Time
		knownAt  time.Time
		broken   bool
	}{
		{"at the bound", 35, 100 * time.Millisecond, start.Add(10 * time.Second), known, false},
		{"above the bound", 36, 100 * time.Millisecond, start.Add(10 * time.Second), known, true},
		{"spread over more than a window", 36, 200 * time.Millisecond, start.Add(10 * time.Second), known, false},
		{"hosts that do not know", 36, 100 * time.Millisecond, start.Add(10 * time.Second), time.Time{}, false},
		{"hosts that have just heard", 36, 10 * time.Millisecond, start.Add(10 * time.Second), start.Add(10 * time.Second), false},
		{"before the limit must be kept", 36, 10 * time.Millisecond, start.Add(2 * time.Second), known, false},
		{"after the limit", 36, 100 * time.Millisecond, start.Add(2 * time.Minute), known, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newRecorder()
			b.recordLimit(period)
			for i := range test.requests {
				b.recordRun(fmt.Sprint(i), run{server: "i-1", limitKnownAt: test.knownAt, at: test.from.Add(time.Duration(i) * test.interval)})
			}
			is.New(t).Equal(len(b.checkLimits()) > 0, test.broken)
		})
	}
}

// Guards against a soak that excuses a host for good, or that never excuses one.
func TestKnowledgeOfHosts(t *testing.T) {
	is := is.New(t)
	k := newKnowledge()
	now := time.Unix(1_700_000_000, 0)
	reply := platformtest.Response{Signature: platformtest.SignaturePrefix + "i-1", Limited: true, Leaving: true}
	k.record("host-1", &reply, now)
	k.record("host-1", &reply, now.Add(time.Second))
	limited, leaving := k.at("host-1", "i-1")
	is.Equal(limited, now)
	is.Equal(leaving, now)
	k.forgetLimits("host-1")
	limited, leaving = k.at("host-1", "i-1")
	is.True(limited.IsZero() && leaving.Equal(now))
	k.forgetAll("host-1")
	_, leaving = k.at("host-1", "i-1")
	is.True(leaving.IsZero())
	k.record("host-1", &reply, now.Add(time.Second))
	limited, _ = k.at("host-1", "i-1")
	is.Equal(limited, now.Add(time.Second))
}
