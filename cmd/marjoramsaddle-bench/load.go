package main

import (
	"time"

	"github.com/spf13/cobra"

	"marjoramsaddle/bench/load"
)

const (
	defaultRate        = 500
	defaultDuration    = 10 * time.Second
	defaultServiceTime = 5 * time.Millisecond
	defaultFirstPort   = 20_000
)

func loadCommand() *cobra.Command {
	var experiment load.Experiment
	var faults string
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send a workload and verify each answer",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if experiment.Faults, err = load.ParseFaults(faults); err != nil {
				return err
			}
			return runLoad(cmd, experiment)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&experiment.Workload, "workload", load.Counter, "counter or storefront")
	flags.Float64Var(&experiment.Plan.Rate, "rate", defaultRate, "calls per second")
	flags.DurationVar(&experiment.Plan.Duration, "duration", defaultDuration, "length of the run")
	flags.Uint64Var(&experiment.Plan.Seed, "seed", 1, "seed of the calls and their arrivals")
	flags.StringVar(&experiment.Policy, "policy", "", "one of "+load.PolicyNames()+"; empty is the daemons' default")
	flags.StringVar(&faults, "fault", "", "one or more of "+load.FaultNames()+", separated by commas")
	flags.StringVar(&experiment.HopTransport, "hop-transport", "", "http2 or http3; empty is the daemons' default")
	flags.DurationVar(&experiment.ServiceTime, "service-time", defaultServiceTime, "time that a call takes at a backend server")
	flags.StringVar(&experiment.EvidenceFile, "evidence", "", "file that receives the callers' records and the journals")
	flags.IntVar(&experiment.FirstPort, "first-port", defaultFirstPort, "first of the ports on loopback")
	addOutput(cmd)
	return cmd
}

func runLoad(cmd *cobra.Command, experiment load.Experiment) error {
	if err := checkOutput(cmd); err != nil {
		return err
	}
	report, err := experiment.Run(cmd.Context())
	if err != nil {
		return err
	}
	for detail, count := range report.UnknownDetails {
		cmd.PrintErrf("load: %d unknown outcomes: %s\n", count, detail)
	}
	if report.Resent > 0 {
		cmd.PrintErrf("load: %d calls went to another address, as nothing of them had been sent\n", report.Resent)
	}
	if report.Doubled > 0 {
		cmd.PrintErrf("load: calls that ran twice without a repeat of the caller: %d\n", report.DoubledByMesh)
	}
	if baseline := report.Baseline; baseline.MsP99 > 0 {
		cmd.PrintErrf("load: direct calls in this run: added_ms_p50 %.3f, added_ms_p99 %.3f\n", baseline.MsP50, baseline.MsP99)
	}
	return printJSON(cmd, report)
}
