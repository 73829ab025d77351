package main

import (
	"github.com/spf13/cobra"

	"marjoramsaddle/bench/converge"
	"marjoramsaddle/bench/sweep"
)

const (
	defaultDaemons = 13
	defaultChanges = 20
)

func convergeCommand() *cobra.Command {
	var setup converge.Setup
	cmd := &cobra.Command{
		Use:   "converge",
		Short: "Measure convergence time and control cost of changes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkOutput(cmd); err != nil {
				return err
			}
			report, err := converge.Run(setup)
			if err != nil {
				return err
			}
			return printJSON(cmd, report)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&setup.Daemons, "daemons", defaultDaemons, "number of daemons")
	flags.IntVar(&setup.Changes, "changes", defaultChanges, "number of configuration changes")
	flags.Uint64Var(&setup.Seed, "seed", 1, "seed of the changes")
	flags.StringVar(&setup.Strategy, "strategy", converge.StrategyDelta, "poll, full or delta")
	flags.StringVar(&setup.Fault, "fault", "", "name of the fault to play")
	addOutput(cmd)
	return cmd
}

func sweepCommand() *cobra.Command {
	var plan sweep.Plan
	cmd := &cobra.Command{
		Use:   "sweep",
		Short: "Run converge over fleet sizes and strategies",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkOutput(cmd); err != nil {
				return err
			}
			report, err := sweep.Run(plan, converge.Run)
			if err != nil {
				return err
			}
			return printJSON(cmd, report)
		},
	}
	flags := cmd.Flags()
	flags.IntSliceVar(&plan.Daemons, "daemons", []int{defaultDaemons}, "numbers of daemons")
	flags.StringSliceVar(&plan.Strategies, "strategies", []string{converge.StrategyFull, converge.StrategyDelta}, "strategies, run in turn")
	flags.IntVar(&plan.Changes, "changes", defaultChanges, "number of configuration changes of each run")
	flags.Uint64Var(&plan.Seed, "seed", 1, "seed of the first round")
	flags.IntVar(&plan.Rounds, "rounds", 1, "repetitions of the grid, each with the next seed")
	flags.StringVar(&plan.Fault, "fault", "", "name of the fault to play")
	addOutput(cmd)
	return cmd
}
