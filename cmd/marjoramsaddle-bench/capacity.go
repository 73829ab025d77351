package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"marjoramsaddle/bench/capacity"
)

const (
	capacityRounds    = 3
	capacityLinks     = 48
	capacityFirstPort = 36_000
	capacityRest      = 3 * time.Second
	capacityFileMode  = 0o644
)

// capacitySizes grow endpoints and services together, up to the target size.
var capacitySizes = []capacity.Size{
	{Endpoints: 600, Services: 100},
	{Endpoints: 1800, Services: 310},
	{Endpoints: 5400, Services: 930},
}

func capacityCommand() *cobra.Command {
	setup := capacity.Setup{Sizes: capacitySizes, Links: capacityLinks, Log: os.Stderr}
	var plots string
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure what one daemon costs as the fleet grows",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkOutput(cmd); err != nil {
				return err
			}
			report, err := capacity.Run(setup)
			if err != nil {
				return err
			}
			if plots != "" {
				if err := writeCapacity(plots, report); err != nil {
					return err
				}
			}
			return printJSON(cmd, report)
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&setup.Seed, "seed", 1, "seed of the generated fleet and its changes")
	flags.IntVar(&setup.Rounds, "rounds", capacityRounds, "repetitions of each measurement")
	flags.DurationVar(&setup.Rest, "rest", capacityRest, "length of each phase at rest and of each call rate")
	flags.IntVar(&setup.FirstPort, "first-port", capacityFirstPort, "first of the ports on loopback")
	flags.StringVar(&plots, "plots", "", "folder for plots (SVG) and the results (JSON)")
	addOutput(cmd)
	return cmd
}

func writeCapacity(folder string, report capacity.Report) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "capacity.json"), append(data, '\n'), capacityFileMode); err != nil {
		return err
	}
	return report.WritePlots(folder)
}
