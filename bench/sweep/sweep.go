// Package sweep runs the converge experiment over fleet sizes and strategies, so
// that slopes and ratios come from one run.
//
// # Usage
//
//	report, err := sweep.Run(sweep.Plan{
//		Daemons:    []int{10, 20, 40},
//		Strategies: []string{converge.StrategyFull, converge.StrategyDelta},
//		Setup:      converge.Setup{Changes: 20, Seed: 1},
//		Rounds:     3,
//	}, run)
package sweep

import (
	"errors"
	"fmt"

	"marjoramsaddle/bench/converge"
)

// Plan is the grid of a sweep.
type Plan struct {
	Daemons    []int
	Strategies []string
	// Setup holds what all runs have in common; its seed is that of the first
	// round.
	Setup converge.Setup
	// Rounds repeats the grid, each with its own seed.
	Rounds int
}

// Report is the JSON object that the sweep prints.
type Report struct {
	Runs []converge.Report `json:"runs"`
}

// Setups returns the runs of the plan in order. Strategies alternate within a
// size, so that a change of the machine's speed affects all of them.
func (p Plan) Setups() ([]converge.Setup, error) {
	if len(p.Daemons) == 0 || len(p.Strategies) == 0 || p.Rounds < 1 {
		return nil, errors.New("a sweep needs sizes, strategies and at least one round")
	}
	setups := make([]converge.Setup, 0, p.Rounds*len(p.Daemons)*len(p.Strategies))
	for round := range p.Rounds {
		for _, daemons := range p.Daemons {
			for _, strategy := range p.Strategies {
				setup := p.Setup
				setup.Daemons, setup.Strategy = daemons, strategy
				setup.Seed += uint64(round)
				if err := setup.Check(); err != nil {
					return nil, err
				}
				setups = append(setups, setup)
			}
		}
	}
	return setups, nil
}

// Run runs the plan one setup after the other.
func Run(plan Plan, run func(converge.Setup) (converge.Report, error)) (Report, error) {
	setups, err := plan.Setups()
	if err != nil {
		return Report{}, err
	}
	report := Report{Runs: make([]converge.Report, 0, len(setups))}
	for _, setup := range setups {
		result, err := run(setup)
		if err != nil {
			return Report{}, fmt.Errorf("%d daemons, strategy %s: %w", setup.Daemons, setup.Strategy, err)
		}
		report.Runs = append(report.Runs, result)
	}
	return report, nil
}
