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
	"io"
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

// The spans of a run that Setup leaves open.
const (
	DefaultSettle   = 12 * time.Second
	DefaultIdle     = 10 * time.Second
	DefaultInterval = time.Second
)

// Setup is what a run was asked for.
type Setup struct {
	Daemons  int
	Changes  int
	Strategy string
	// Fault names faults, joined by "+", that are played in the middle third of
	// the changes.
	Fault string
	Seed  uint64

	// Proxies is the least number of proxy documents in the configuration.
	Proxies int
	// Settle is the time from serving to the first measurement, in which
	// starting links are replaced. Idle is the time without changes. Interval
	// is the time between changes.
	Settle, Idle, Interval time.Duration
	FirstPort              int
	// Folder keeps logs and settings after the run; empty means a temporary one.
	Folder string
	// Notes receives what the report has no field for; nil discards it.
	Notes io.Writer
}

// Check reports a setup that can't run.
func (s Setup) Check() error {
	if s.Daemons < 1 || s.Changes < 1 {
		return errors.New("daemons and changes must be at least 1")
	}
	if !slices.Contains([]string{StrategyPoll, StrategyFull, StrategyDelta}, s.Strategy) {
		return fmt.Errorf("unknown strategy %q; use %s, %s or %s", s.Strategy, StrategyPoll, StrategyFull, StrategyDelta)
	}
	_, err := parseFaults(s.Fault)
	return err
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

	digest id.Digest
	// refused is set when the daemon refused the view, which put nothing in force.
	refused bool
}

// Episode is a fault as its hosts see it: until its end they can't get a
// version, so convergence is counted from there.
type Episode struct {
	Until id.Instant
	Hosts map[id.Host]bool
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
	Episodes     []Episode
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

// promisedMs is the time within which a version is in force everywhere, also
// through a fault.
const promisedMs = 9_000

// Check reports the promises that the run has broken.
func (r Report) Check() error {
	if r.Reverts > 0 || r.Partial > 0 || r.Dangling > 0 {
		return fmt.Errorf("%d reverts, %d partial, %d dangling; see the daemons' logs", r.Reverts, r.Partial, r.Dangling)
	}
	if r.ConvergeMsMax > promisedMs {
		return fmt.Errorf("a version took %.0f ms to converge, more than %d ms", r.ConvergeMsMax, promisedMs)
	}
	return nil
}

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
			longest = max(longest, at.Sub(m.available(host, publication.Accepted)))
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

// available returns from when a host could get a version that the platform
// accepted at the given time.
func (m *Measurement) available(host id.Host, accepted id.Instant) id.Instant {
	from := accepted
	for _, episode := range m.Episodes {
		if episode.Hosts[host] && accepted < episode.Until {
			from = max(from, episode.Until)
		}
	}
	return from
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
