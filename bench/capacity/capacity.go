// Package capacity measures what one daemon costs as the fleet around it grows:
// memory, CPU time and bytes at rest, per change, per endpoint change, per
// link, per start and per call. The daemon is the real process; its neighbours
// are generated inside the bench process and speak the control protocol through
// io/peer. The results are slopes, from which docs/CAPACITY.md derives the
// costs at the target size.
//
// CPU time is taken from /proc and is robust against other load on the machine;
// start_wall_ms is not.
//
// # Usage
//
//	report, err := capacity.Run(capacity.Setup{Sizes: sizes, Rounds: 3, Rest: 5 * time.Second, FirstPort: 36000, Log: os.Stderr})
package capacity

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"sync"
	"time"
)

// Setup describes a run.
type Setup struct {
	Sizes     []Size
	Rounds    int
	Seed      uint64
	Rest      time.Duration // length of each phase at rest and of each call rate
	FirstPort int
	// Links is the number of idle links whose memory is taken.
	Links int
	// Log takes the progress and the daemons' logs.
	Log io.Writer
}

// Result holds the figures of one size by name.
type Result struct {
	Size
	Figures map[string]Figure `json:"figures"`
}

// Report is the JSON object that the experiment prints.
type Report struct {
	Seed   uint64 `json:"seed"`
	Rounds int    `json:"rounds"`
	CPUs   int    `json:"cpus"`
	// Failure tells why a later round ended early; Rounds counts whole ones.
	Failure string   `json:"failure,omitempty"`
	Sizes   []Result `json:"sizes"`
	// Fits holds a line over the number of endpoints for each figure.
	Fits map[string]Line `json:"fits"`
	// Links and Calls are measured at one size only: the largest.
	Links map[string]Figure `json:"links"`
	Calls map[string]Figure `json:"calls"`
}

// run collects the samples of all rounds.
type run struct {
	setup Setup
	mu    sync.Mutex
	sizes []map[string][]float64
	links map[string][]float64
	calls map[string][]float64
}

// Run measures all sizes.
func Run(setup Setup) (Report, error) {
	if len(setup.Sizes) == 0 || setup.Rounds < 1 {
		return Report{}, errors.New("no sizes or no rounds: give at least one of each")
	}
	for _, size := range setup.Sizes {
		if size.Services < 2 || size.Endpoints < domains*manyLinks {
			return Report{}, fmt.Errorf("%d endpoints with %d services are too few: use at least %d with 2", size.Endpoints, size.Services, domains*manyLinks)
		}
	}
	if setup.Log == nil {
		setup.Log = io.Discard
	}
	r := &run{setup: setup, links: map[string][]float64{}, calls: map[string][]float64{}}
	for range setup.Sizes {
		r.sizes = append(r.sizes, map[string][]float64{})
	}
	for round := range setup.Rounds {
		if err := r.round(round); err != nil {
			if round == 0 {
				return Report{}, err
			}
			report := r.report()
			report.Rounds, report.Failure = round, err.Error()
			return report, nil
		}
	}
	return r.report(), nil
}

func (r *run) progress(format string, values ...any) {
	_, _ = fmt.Fprintf(r.setup.Log, "capacity: "+format+"\n", values...)
}

// round runs the steps that need a quiet process first, then the daemons of
// all sizes side by side.
func (r *run) round(round int) error {
	r.progress("round %d of %d: pure steps and links", round+1, r.setup.Rounds)
	for index, size := range r.setup.Sizes {
		if err := r.add(r.sizes[index], func() (sample, error) { return measurePure(size, r.setup.Seed) }); err != nil {
			return err
		}
	}
	free := newPorts(r.setup.FirstPort)
	linkPorts, err := free.take(r.setup.Links + 1)
	if err != nil {
		return err
	}
	if err := r.add(r.links, func() (sample, error) { return measureLinks(linkPorts) }); err != nil {
		return err
	}
	r.progress("round %d of %d: daemons", round+1, r.setup.Rounds)
	return r.daemons(free)
}

func (r *run) daemons(free *ports) error {
	errs := make([]error, len(r.setup.Sizes)+1)
	lists := make([][]int, len(errs))
	for index := range lists {
		var err error
		if lists[index], err = free.take(portsPerRun); err != nil {
			return err
		}
	}
	var group sync.WaitGroup
	for index, size := range r.setup.Sizes {
		group.Go(func() {
			errs[index] = r.add(r.sizes[index], func() (sample, error) {
				return measureControl(r.setup, size, lists[index])
			})
			r.progress("%d endpoints measured", size.Endpoints)
		})
	}
	largest := r.setup.Sizes[len(r.setup.Sizes)-1]
	group.Go(func() {
		errs[len(r.setup.Sizes)] = r.add(r.calls, func() (sample, error) { return measureCalls(r.setup, largest, lists[len(r.setup.Sizes)]) })
		r.progress("calls measured")
	})
	group.Wait()
	return errors.Join(errs...)
}

// add appends the values of one sample.
func (r *run) add(into map[string][]float64, measure func() (sample, error)) error {
	values, err := measure()
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, value := range values {
		into[name] = append(into[name], value)
	}
	return nil
}

func (r *run) report() Report {
	report := Report{
		Seed: r.setup.Seed, Rounds: r.setup.Rounds, CPUs: runtime.NumCPU(), Fits: map[string]Line{},
		Links: figures(r.links), Calls: figures(r.calls),
	}
	x := make([]float64, 0, len(r.setup.Sizes))
	y := map[string][]float64{}
	for index, size := range r.setup.Sizes {
		result := Result{Size: size, Figures: figures(r.sizes[index])}
		report.Sizes = append(report.Sizes, result)
		x = append(x, float64(size.Endpoints))
		for name, figure := range result.Figures {
			y[name] = append(y[name], figure.Median)
		}
	}
	for name, values := range y {
		report.Fits[name] = fit(x, values)
	}
	return report
}

func figures(values map[string][]float64) map[string]Figure {
	out := make(map[string]Figure, len(values))
	for name, list := range values {
		out[name] = figureOf(list)
	}
	return out
}

// WritePlots writes one SVG plot of memory and one of CPU time against size.
func (r Report) WritePlots(folder string) error {
	plots := []plot{
		{"memory.svg", "memory of one daemon", "MB", []string{"rest_6_links_rss_mb", "rest_16_links_rss_mb", "changed_rss_mb", "peak_rss_mb"}},
		{"cpu.svg", "CPU time of one daemon", "ms per event", []string{"change_cpu_ms", "endpoint_cpu_ms", "burst_endpoint_cpu_ms"}},
		{"rest.svg", "one daemon at rest", "% of a core", []string{"rest_6_links_cpu_percent", "rest_16_links_cpu_percent"}},
	}
	for _, each := range plots {
		if err := os.WriteFile(folder+"/"+each.file, each.draw(r), plotMode); err != nil {
			return err
		}
	}
	return nil
}
