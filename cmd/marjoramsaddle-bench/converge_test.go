package main_test

import (
	"bytes"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"marjoramsaddle/bench/converge"
)

// Guards against runs that leave daemons unmeasured, and against a fleet that
// reverts or stays behind after a failure domain was killed while the platform
// was stale.
func TestConvergeMeasuresRealDaemons(t *testing.T) {
	for _, fault := range []string{"", "kill_domain+platform_stale"} {
		t.Run(fault, func(t *testing.T) {
			is := is.New(t)
			cmd := exec.Command(filepath.Join(folder, "marjoramsaddle-bench"), "converge", "--daemons", "9",
				"--changes", "6", "--seed", "1", "--fault", fault, "--settle", "3s", "--idle", "2s",
				"--first-port", strconv.Itoa(freePorts(is)), "--output", "json")
			var stdout, stderr bytes.Buffer
			cmd.Stdout, cmd.Stderr = &stdout, &stderr
			err := cmd.Run()
			t.Logf("%s%s", stdout.String(), stderr.String())
			is.NoErr(err)
			var report converge.Report
			is.NoErr(json.Unmarshal(stdout.Bytes(), &report))
			is.NoErr(report.Check())
			is.True(report.ConvergeMsMax > 0)
			is.True(report.ControlBytesPerDaemonPerS > 0)
			is.True(report.ControlBytesPerDaemonPerChange > 0)
			is.True(report.ControlCPUPercentOfCore > 0)
			is.True(report.RSSMBMax > 1)
		})
	}
}
