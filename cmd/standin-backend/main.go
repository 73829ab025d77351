// Command standin-backend runs a simulated backend server for tests and
// experiments. Slots, latencies and a cold start are set by flags; faults are
// injected through the control address.
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

// defaultDrainNotice leaves a daemon time to notice the drain before the server
// stops accepting calls.
const defaultDrainNotice = 3 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		stop()
		os.Exit(1)
	}
}

// shutdownTimes holds how long a graceful shutdown goes on accepting calls after
// SIGTERM, and then waits for the work in progress.
type shutdownTimes struct {
	drainNotice time.Duration
	drainGrace  time.Duration
}

func newCommand() *cobra.Command {
	var options backend.Options
	var shutdownTimes shutdownTimes
	cmd := &cobra.Command{
		Use:          "standin-backend",
		Short:        "Run a stand-in of a backend server",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd, options, shutdownTimes)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.Name, "name", "", "name in each answer (default the address)")
	flags.StringVar(&options.Address, "listen", "127.0.0.1:8600", "address of the routes")
	flags.StringVar(&options.ControlAddress, "control", "127.0.0.1:8601", "address of faults, drain and journal")
	flags.IntVar(&options.Slots, "slots", backend.DefaultSlots, "maximum number of concurrent calls")
	flags.IntVar(&options.MaxConnections, "connections", backend.DefaultMaxConnections, "maximum number of open connections")
	flags.DurationVar(&options.ServiceTime, "service-time", time.Millisecond, "time that a call takes")
	flags.DurationVar(&options.ConnectTime, "connect-time", 0, "time that a new connection takes")
	flags.DurationVar(&options.ProbeTime, "probe-time", 0, "time that /healthz and /loadz take")
	flags.DurationVar(&options.ColdStart, "cold-start", 0, "time after the start during which calls are refused or slow")
	flags.IntVar(&options.ColdFactor, "cold-factor", 0, "factor on the service time during the cold start; 0 refuses calls")
	flags.DurationVar(&options.StatusLag, "lag", 0, "age of what /healthz and /loadz report")
	flags.StringVar(&options.JournalFile, "journal", "", "file that receives the journal as it grows")
	flags.DurationVar(&shutdownTimes.drainNotice, "drain-notice", defaultDrainNotice, "time to keep accepting calls after SIGTERM")
	flags.DurationVar(&shutdownTimes.drainGrace, "drain-grace", time.Minute, "time for work in progress to finish after the notice")
	return cmd
}

func run(cmd *cobra.Command, options backend.Options, shutdownTimes shutdownTimes) error {
	server, err := backend.Start(options)
	if err != nil {
		return err
	}
	cmd.Printf("standin-backend: serving on %s, control on %s\n", server.Address(), server.ControlAddress())
	<-cmd.Context().Done()
	server.Drain()
	time.Sleep(shutdownTimes.drainNotice)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimes.drainGrace)
	defer cancel()
	return server.Stop(ctx)
}
