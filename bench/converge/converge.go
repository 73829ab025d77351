// Package converge measures how fast and at what cost configuration changes come
// into force on a fleet.
//
// # Usage
//
//	report, err := converge.NewReport(converge.Measurement{
//		Setup:        setup,
//		Publications: publications, // when the platform accepted each version
//		Observations: observations, // when each daemon put a version into force
//		Live:         hosts,        // the daemons that have to run every version
//	})
//
// A change has converged when the last live daemon runs its version or a later
// one.
package converge

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"marjoramsaddle/core/id"
)

// The strategies of distribution.
const (
	StrategyPoll  = "poll"
	StrategyFull  = "full"
	StrategyDelta = "delta"
)

// ErrDaemonMissing reports that the experiment can't start daemons yet.
var ErrDaemonMissing = errors.New("converge needs daemons, which this build can't start; build with marjoramsaddled")

// Setup is what a run was asked for.
type Setup struct {
	Daemons  int
	Changes  int
	Strategy string
	Fault    string
	Seed     uint64
}

// Check reports a setup that can't run.
func (s Setup) Check() error {
	if s.Daemons < 1 || s.Changes < 1 {
		return errors.New("daemons and changes must be at least 1")
	}
	if !slices.Contains([]string{StrategyPoll, StrategyFull, StrategyDelta}, s.Strategy) {
		return fmt.Errorf("unknown strategy %q; use %s, %s or %s", s.Strategy, StrategyPoll, StrategyFull, StrategyDelta)
	}
	return nil
}

// Run starts a fleet, publishes the changes and measures their convergence.
func Run(setup Setup) (Report, error) {
	if err := setup.Check(); err != nil {
		return Report{}, err
	}
	return Report{}, ErrDaemonMissing
}

// Publication is a version that the platform accepted.
type Publication struct {
	Version  id.Version
	Accepted id.Instant
}

// Observation is one version coming into force on one daemon.
type Observation struct {
	Host    id.Host
	Version id.Version
	At      id.Instant
	// Partial is set when the daemon's content is not that of the version.
	Partial bool
	// Dangling is the number of routes to services that the daemon lacks.
	Dangling int
}

// Phase is a span of the run with the control bytes of all daemons in it.
type Phase struct {
	Length time.Duration
	Bytes  int64
}

// Measurement is what was collected in a run.
type Measurement struct {
	Setup        Setup
	Publications []Publication
	Observations []Observation
	Live         []id.Host
	Idle         Phase // without changes
	Changing     Phase // with all changes
	// CPU is the CPU time of all daemons over Wall, without traffic.
	CPU              time.Duration
	Wall             time.Duration
	RSSBytesMax      int64
	PlatformCallsMax int
}

// Report is the JSON object that the converge experiment prints.
type Report struct {
	Daemons                        int     `json:"daemons"`
	Changes                        int     `json:"changes"`
	Strategy                       string  `json:"strategy"`
	Fault                          string  `json:"fault"`
	Seed                           uint64  `json:"seed"`
	ConvergeMsP50                  float64 `json:"converge_ms_p50"`
	ConvergeMsP99                  float64 `json:"converge_ms_p99"`
	ConvergeMsMax                  float64 `json:"converge_ms_max"`
	ControlBytesPerDaemonPerS      float64 `json:"control_bytes_per_daemon_per_s"`
	ControlBytesPerDaemonPerChange float64 `json:"control_bytes_per_daemon_per_change"`
	PlatformCallsPerSMax           int     `json:"platform_calls_per_s_max"`
	ControlCPUPercentOfCore        float64 `json:"control_cpu_percent_of_core"`
	RSSMBMax                       float64 `json:"rss_mb_max"`
	Reverts                        int     `json:"reverts"`
	Partial                        int     `json:"partial"`
	Dangling                       int     `json:"dangling"`
}

const (
	// The histogram covers 1 µs to 10 min.
	histogramMaxMicros = int64(10 * time.Minute / time.Microsecond)
	histogramFigures   = 3
	p50, p99           = 50, 99
	microsPerMs        = 1000
	bytesPerMB         = 1_000_000
	percent            = 100
)

// NewReport sums up a run. It fails if a change has not converged, as its time
// would be missing from the result.
func NewReport(m Measurement) (Report, error) {
	report := Report{
		Daemons:              m.Setup.Daemons,
		Changes:              m.Setup.Changes,
		Strategy:             m.Setup.Strategy,
		Fault:                m.Setup.Fault,
		Seed:                 m.Setup.Seed,
		PlatformCallsPerSMax: m.PlatformCallsMax,
		RSSMBMax:             float64(m.RSSBytesMax) / bytesPerMB,
	}
	histories := histories(m.Observations)
	if err := report.times(m, histories); err != nil {
		return Report{}, err
	}
	report.faults(m.Observations, histories)
	report.costs(m)
	return report, nil
}

// histories returns each host's observations in the order of time.
func histories(observations []Observation) map[id.Host][]Observation {
	byHost := map[id.Host][]Observation{}
	for _, o := range observations {
		byHost[o.Host] = append(byHost[o.Host], o)
	}
	for _, history := range byHost {
		slices.SortStableFunc(history, func(a, b Observation) int { return cmp.Compare(a.At, b.At) })
	}
	return byHost
}

func (r *Report) times(m Measurement, histories map[id.Host][]Observation) error {
	histogram := hdrhistogram.New(1, histogramMaxMicros, histogramFigures)
	for _, publication := range m.Publications {
		longest := time.Duration(0)
		for _, host := range m.Live {
			at, ok := reached(histories[host], publication.Version)
			if !ok {
				return fmt.Errorf("version %d never came into force on %s; see its log", publication.Version, host)
			}
			longest = max(longest, at.Sub(publication.Accepted))
		}
		if err := histogram.RecordValue(longest.Microseconds()); err != nil {
			return fmt.Errorf("record convergence of version %d: %w", publication.Version, err)
		}
	}
	r.ConvergeMsP50 = float64(histogram.ValueAtQuantile(p50)) / microsPerMs
	r.ConvergeMsP99 = float64(histogram.ValueAtQuantile(p99)) / microsPerMs
	r.ConvergeMsMax = float64(histogram.Max()) / microsPerMs
	return nil
}

// reached returns when a host first ran a version or a later one.
func reached(history []Observation, version id.Version) (id.Instant, bool) {
	for _, o := range history {
		if o.Version >= version {
			return o.At, true
		}
	}
	return 0, false
}

func (r *Report) faults(observations []Observation, histories map[id.Host][]Observation) {
	for _, o := range observations {
		r.Dangling += o.Dangling
		if o.Partial {
			r.Partial++
		}
	}
	for _, history := range histories {
		highest := id.Version(0)
		for _, o := range history {
			if o.Version < highest {
				r.Reverts++
			}
			highest = max(highest, o.Version)
		}
	}
}

// costs takes the idle traffic off the bytes of the changes.
func (r *Report) costs(m Measurement) {
	daemons := float64(m.Setup.Daemons)
	if m.Idle.Length > 0 {
		r.ControlBytesPerDaemonPerS = float64(m.Idle.Bytes) / m.Idle.Length.Seconds() / daemons
	}
	perDaemon := float64(m.Changing.Bytes) / daemons
	idle := r.ControlBytesPerDaemonPerS * m.Changing.Length.Seconds()
	r.ControlBytesPerDaemonPerChange = max(perDaemon-idle, 0) / float64(m.Setup.Changes)
	if m.Wall > 0 {
		r.ControlCPUPercentOfCore = m.CPU.Seconds() / m.Wall.Seconds() / daemons * percent
	}
}
