package converge_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/bench/converge"
	"marjoramsaddle/core/id"
)

func ms(n int) id.Instant { return id.Instant(0).Add(time.Duration(n) * time.Millisecond) }

func measurement() converge.Measurement {
	see := func(host id.Host, version id.Version, at int) converge.Observation {
		return converge.Observation{Host: host, Version: version, At: ms(at)}
	}
	return converge.Measurement{
		Setup:        converge.Setup{Daemons: 2, Changes: 2, Strategy: converge.StrategyDelta, Seed: 1},
		Publications: []converge.Publication{{Version: 5, Accepted: ms(100)}, {Version: 6, Accepted: ms(200)}},
		// b skips version 5, and its observations arrive out of order.
		Observations: []converge.Observation{see("b", 6, 250), see("a", 5, 130), see("a", 6, 220), see("b", 4, 50)},
		Live:         []id.Host{"a", "b"},
		Idle:         converge.Phase{Length: 10 * time.Second, Bytes: 2000},
		Changing:     converge.Phase{Length: 5 * time.Second, Bytes: 5000},
		CPU:          time.Second, Wall: 50 * time.Second,
	}
}

// Guards against convergence that counts the first daemon instead of the last,
// and bytes per change that hold idle traffic.
func TestReportOfACleanRun(t *testing.T) {
	is := is.New(t)
	report, err := converge.NewReport(measurement())
	is.NoErr(err)
	within := func(got, want float64) { is.Helper(); is.True(got > want*0.999 && got < want*1.001) }
	within(report.ConvergeMsMax, 150)
	within(report.ConvergeMsP50, 50)
	is.Equal(report.ControlBytesPerDaemonPerS, 100.0)
	is.Equal(report.ControlBytesPerDaemonPerChange, 1000.0)
	is.Equal(report.ControlCPUPercentOfCore, 1.0)
	is.Equal(report.Reverts+report.Partial+report.Dangling, 0)
}

// Guards against broken promises that the report leaves out.
func TestReportOfABrokenRun(t *testing.T) {
	is := is.New(t)
	m := measurement()
	m.Observations = append(m.Observations,
		converge.Observation{Host: "a", Version: 5, At: ms(300), Partial: true},
		converge.Observation{Host: "a", Version: 6, At: ms(301), Dangling: 3})
	report, err := converge.NewReport(m)
	is.NoErr(err)
	is.Equal(report.Reverts, 1)
	is.Equal(report.Partial, 1)
	is.Equal(report.Dangling, 3)
	m.Live = append(m.Live, "c")
	_, err = converge.NewReport(m)
	is.True(err != nil) // c never ran a version
}

// The design page's section 15 states the fields.
func TestReportHasTheStatedFields(t *testing.T) {
	is := is.New(t)
	data, err := json.Marshal(converge.Report{})
	is.NoErr(err)
	stated := "daemons, changes, strategy, fault, seed, converge_ms_p50, converge_ms_p99, converge_ms_max, " +
		"control_bytes_per_daemon_per_s, control_bytes_per_daemon_per_change, platform_calls_per_s_max, " +
		"control_cpu_percent_of_core, rss_mb_max, reverts, partial, dangling"
	fields := strings.Split(strings.Trim(string(data), "{}"), ",")
	names := make([]string, 0, len(fields))
	for _, field := range fields {
		name, _, _ := strings.Cut(field, ":")
		names = append(names, strings.Trim(name, `"`))
	}
	is.Equal(strings.Join(names, ", "), stated)
}
