package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against violated guarantees under overlapping faults. testdata/seeds says
// what each seed guards against.
func TestSeeds(t *testing.T) {
	is := is.New(t)
	program := filepath.Join(t.TempDir(), "sidecar")
	built, err := exec.Command("go", "build", "-o", program, "marjoramsaddle/cmd/marjoramsaddle-sidecar").CombinedOutput()
	if err != nil {
		t.Fatalf("build the daemon: %v\n%s", err, built)
	}
	data, err := os.ReadFile("testdata/seeds")
	is.NoErr(err)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] == "#" {
			continue
		}
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		is.NoErr(err)
		duration, err := time.ParseDuration(fields[1])
		is.NoErr(err)
		t.Run("seed "+fields[0], func(t *testing.T) {
			t.Parallel()
			report, err := Run(context.Background(), Options{Program: program, Folder: t.TempDir(), Seed: seed, Duration: duration})
			if err != nil {
				t.Fatal(err)
			}
			if len(report.Broken) > 0 {
				t.Errorf("broken: %s\nfaults: %s", strings.Join(report.Broken, "\n"), strings.Join(report.Faults, "\n"))
			}
		})
	}
}

// Guards against soak tests that pass because their checks miss violations.
func TestViolationsAreDetected(t *testing.T) {
	ok := call{id: "a", target: "/order/x", status: 200, signed: true, body: responseBody("a")}
	refused := ok
	refused.status = 503
	foreign := ok
	foreign.body = responseBody("b")
	cut := call{id: "a", target: "/order/x", err: os.ErrClosed, undisturbed: true, stopping: true}
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
		{"other target", ok, []run{{service: shop, target: "/order/y"}}, true},
		{"other service", ok, []run{{service: stock, target: "/order/x"}}, true},
		{"old version", moved, []run{ran}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(len(test.call.broken(test.runs)) > 0, test.broken)
		})
	}
}
