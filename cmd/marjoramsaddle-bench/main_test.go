package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"marjoramsaddle/bench/load"
)

// folder holds the programs under test, which find each other beside themselves.
var folder string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	var err error
	if folder, err = os.MkdirTemp("", "bench-test-"); err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	build := exec.Command("go", "build", "-o", folder+"/", "marjoramsaddle/cmd/marjoramsaddle-bench",
		"marjoramsaddle/cmd/standin-backend", "marjoramsaddle/cmd/standin-platform", "marjoramsaddle/cmd/marjoramsaddled")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// Guards against an experiment that can't see the faults it plays. Without
// daemons nothing holds back repeated orders, so they must show as doubled.
func TestLoadSeesWhatTheFaultDoes(t *testing.T) {
	cases := []struct {
		fault string
		sees  func(load.Report) bool
	}{
		{"none", func(r load.Report) bool { return r.OK == r.Calls && r.WrongAnswers == 0 }},
		{"kill_backend", func(r load.Report) bool { return r.Resent > 0 && r.WrongAnswers == 0 && r.Truncated == 0 }},
		{"stop_backend", func(r load.Report) bool { return r.Resent > 0 && r.LostInStop == 0 && r.WrongAnswers == 0 }},
		{"stall_backend", func(r load.Report) bool { return r.UnknownResult > 0 && r.Truncated == 0 }},
		{"garbage_backend", func(r load.Report) bool { return r.WrongAnswers > 0 }},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			is := is.New(t)
			report := runLoad(is, c.fault)
			t.Logf("%+v", report)
			is.True(report.Calls > 300)
			is.True(report.Doubled > 0)
			is.True(c.sees(report))
			is.Equal(report.OK+report.UnknownResult+report.WrongAnswers+report.Truncated+report.RefusedNotRun, report.Calls)
		})
	}
}

// The ports of a run lie below the system's range of ephemeral ports.
const (
	portsFrom   = 23_000
	portsTo     = 25_900
	portsPerRun = 70
)

// freePorts returns the first of a block of free ports. Blocks start at another
// place in each process, as several test runs may share the machine.
func freePorts(is *is.I) int {
	is.Helper()
	blocks := (portsTo - portsFrom) / portsPerRun
	for i := range blocks {
		first := portsFrom + (os.Getpid()+i)%blocks*portsPerRun
		if allFree(first) {
			return first
		}
	}
	is.Fail()
	return 0
}

func allFree(first int) bool {
	for port := first; port < first+portsPerRun; port++ {
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func runLoad(is *is.I, fault string) load.Report {
	is.Helper()
	cmd := exec.Command(filepath.Join(folder, "marjoramsaddle-bench"), "load", "--workload", "storefront",
		"--rate", "400", "--duration", "1500ms", "--seed", "1", "--policy", "direct", "--fault", fault,
		"--first-port", strconv.Itoa(freePorts(is)), "--output", "json")
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	if err != nil {
		_, _ = os.Stderr.Write(stderr.Bytes())
	}
	is.NoErr(err)
	var report load.Report
	decoder := json.NewDecoder(&stdout)
	decoder.DisallowUnknownFields()
	is.NoErr(decoder.Decode(&report))
	is.True(!decoder.More())
	for line := range strings.Lines(stderr.String()) {
		_, _ = fmt.Sscanf(line, "load: %d calls went to another address", &report.Resent)
	}
	return report
}
