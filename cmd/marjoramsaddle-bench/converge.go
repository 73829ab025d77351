package main

import (
	"github.com/spf13/cobra"

	"marjoramsaddle/bench/converge"
	"marjoramsaddle/bench/sweep"
)

const (
	defaultDaemons           = 13
	defaultChanges           = 20
	defaultConvergeFirstPort = 10_000 // below the range of ephemeral ports
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
			setup.Notes = cmd.ErrOrStderr()
			report, err := converge.Run(cmd.Context(), setup)
			if err != nil {
				return err
			}
			if err := printJSON(cmd, report); err != nil {
				return err
			}
			return report.Check()
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&setup.Daemons, "daemons", defaultDaemons, "number of daemons")
	flags.StringVar(&setup.Strategy, "strategy", converge.StrategyDelta, "poll, full or delta")
	flags.StringVar(&setup.Folder, "folder", "", "folder that keeps the logs; a temporary one by default")
	addSetup(cmd, &setup)
	return cmd
}

// addSetup adds the flags that converge and sweep have in common.
func addSetup(cmd *cobra.Command, setup *converge.Setup) {
	flags := cmd.Flags()
	flags.IntVar(&setup.Changes, "changes", defaultChanges, "number of configuration changes")
	flags.Uint64Var(&setup.Seed, "seed", 1, "seed of the changes; later rounds take the next ones")
	flags.StringVar(&setup.Fault, "fault", "", "faults to play, joined by +: "+converge.FaultNames())
	flags.IntVar(&setup.Proxies, "proxies", 0, "least number of proxy documents in the configuration")
	flags.DurationVar(&setup.Settle, "settle", converge.DefaultSettle, "time from serving to the first measurement")
	flags.DurationVar(&setup.Idle, "idle", converge.DefaultIdle, "time without changes")
	flags.DurationVar(&setup.Interval, "interval", converge.DefaultInterval, "time between changes")
	flags.IntVar(&setup.FirstPort, "first-port", defaultConvergeFirstPort, "first of the ports on loopback")
	addOutput(cmd)
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
			plan.Setup.Notes = cmd.ErrOrStderr()
			report, err := sweep.Run(plan, func(setup converge.Setup) (converge.Report, error) {
				cmd.PrintErrf("sweep: %d daemons, strategy %s, seed %d\n", setup.Daemons, setup.Strategy, setup.Seed)
				return converge.Run(cmd.Context(), setup)
			})
			if err != nil {
				return err
			}
			return printJSON(cmd, report)
		},
	}
	flags := cmd.Flags()
	flags.IntSliceVar(&plan.Daemons, "daemons", []int{defaultDaemons}, "numbers of daemons")
	flags.StringSliceVar(&plan.Strategies, "strategies", []string{converge.StrategyFull, converge.StrategyDelta}, "strategies, run in turn")
	flags.IntVar(&plan.Rounds, "rounds", 1, "repetitions of the grid, each with the next seed")
	addSetup(cmd, &plan.Setup)
	return cmd
}
