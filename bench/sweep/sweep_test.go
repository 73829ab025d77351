package sweep_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"marjoramsaddle/bench/converge"
	"marjoramsaddle/bench/sweep"
)

// Guards against strategies that are measured one block after the other, and
// sweeps that go on after a failed run.
func TestSweepInterleavesStrategies(t *testing.T) {
	is := is.New(t)
	plan := sweep.Plan{Daemons: []int{2, 4}, Strategies: []string{"full", "delta"}, Setup: converge.Setup{Changes: 1, Seed: 5}, Rounds: 2}
	var setups []converge.Setup
	report, err := sweep.Run(plan, func(setup converge.Setup) (converge.Report, error) {
		setups = append(setups, setup)
		return converge.Report{Seed: setup.Seed}, nil
	})
	is.NoErr(err)
	is.Equal(len(report.Runs), 8)
	for i, setup := range setups {
		is.Equal(setup.Strategy, plan.Strategies[i%2])
		is.Equal(setup.Daemons, plan.Daemons[i/2%2])
		is.Equal(setup.Seed, uint64(5+i/4))
	}
	failed := errors.New("failed")
	runs := 0
	_, err = sweep.Run(plan, func(converge.Setup) (converge.Report, error) {
		runs++
		return converge.Report{}, failed
	})
	is.True(errors.Is(err, failed))
	is.Equal(runs, 1)
	plan.Strategies = []string{"full", "unknown"}
	_, err = sweep.Run(plan, func(setup converge.Setup) (converge.Report, error) { return converge.Report{}, setup.Check() })
	is.True(err != nil)
}
