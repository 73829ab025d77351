package main

import (
	"strings"

	"github.com/spf13/cobra"

	"marjoramsaddle/bench/record"
)

// recordCommand records the traces that the proofs replay.
func recordCommand() *cobra.Command {
	var options record.Options
	cmd := &cobra.Command{
		Use:   "record",
		Short: "Record the traces of a fleet under a fault",
		Long:  "Record the traces of a fleet under a fault.\n\nScenarios: " + strings.Join(record.Names(), ", "),
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return record.Run(cmd.Context(), options) },
	}
	cmd.Flags().StringVar(&options.Scenario, "scenario", "", "name of the scenario")
	cmd.Flags().StringVar(&options.Out, "out", "", "folder to write to")
	cmd.Flags().IntVar(&options.FirstPort, "first-port", 26000, "first of 68 ports on loopback")
	_ = cmd.MarkFlagRequired("scenario")
	_ = cmd.MarkFlagRequired("out")
	return cmd
}
