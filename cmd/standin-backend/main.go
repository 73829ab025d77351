// Command standin-backend runs a stand-in of a backend server for tests and
// experiments.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"marjoramsaddle/standin/backend"
)

// defaultNotice leaves a daemon time to see the drain before the server stops.
const defaultNotice = 3 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		stop()
		os.Exit(1)
	}
}

// stopping holds the spans of a clean stop.
type stopping struct {
	notice time.Duration
	grace  time.Duration
}

func command() *cobra.Command {
	var options backend.Options
	var stopping stopping
	cmd := &cobra.Command{
		Use:          "standin-backend",
		Short:        "Run a stand-in of a backend server",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd, options, stopping)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.Name, "name", "", "name in each answer (default the address)")
	flags.StringVar(&options.Address, "listen", "127.0.0.1:8600", "address of the routes")
	flags.StringVar(&options.ControlAddress, "control", "127.0.0.1:8601", "address of faults, drain and journal")
	flags.IntVar(&options.Slots, "slots", backend.DefaultSlots, "calls that run at once")
	flags.IntVar(&options.Connections, "connections", backend.DefaultConnections, "open connections")
	flags.DurationVar(&options.ServiceTime, "service-time", time.Millisecond, "time that a call takes")
	flags.DurationVar(&options.ConnectTime, "connect-time", 0, "time that a new connection takes")
	flags.DurationVar(&options.ProbeTime, "probe-time", 0, "time that /healthz and /loadz take")
	flags.DurationVar(&options.ColdStart, "cold-start", 0, "span after the start in which calls are refused or slow")
	flags.IntVar(&options.ColdFactor, "cold-factor", 0, "service time factor in the cold start; 0 refuses calls")
	flags.DurationVar(&options.Lag, "lag", 0, "age of what /healthz and /loadz report")
	flags.StringVar(&options.JournalFile, "journal", "", "file that receives the journal as it grows")
	flags.DurationVar(&stopping.notice, "drain-notice", defaultNotice, "time to go on accepting calls after SIGTERM")
	flags.DurationVar(&stopping.grace, "drain-grace", time.Minute, "time for work in progress to finish after the notice")
	return cmd
}

func run(cmd *cobra.Command, options backend.Options, stopping stopping) error {
	server, err := backend.Start(options)
	if err != nil {
		return err
	}
	cmd.Printf("standin-backend: serving on %s, control on %s\n", server.Address(), server.ControlAddress())
	<-cmd.Context().Done()
	server.Drain()
	time.Sleep(stopping.notice)
	ctx, cancel := context.WithTimeout(context.Background(), stopping.grace)
	defer cancel()
	return server.Stop(ctx)
}
