// Command standin-platform runs a simulated platform, a rate-limited KV store,
// for tests and experiments. Faults are injected through the control address.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"marjoramsaddle/standin/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		stop()
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var options platform.Options
	cmd := &cobra.Command{
		Use:          "standin-platform",
		Short:        "Run a stand-in of the platform's KV interface",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd, options)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&options.Address, "listen", "127.0.0.1:8500", "address of the KV interface")
	flags.StringVar(&options.ControlAddress, "control", "127.0.0.1:8501", "address of faults and counters")
	flags.IntVar(&options.MaxCallsPerS, "calls-per-s", platform.DefaultMaxCallsPerS, "limit of calls per second")
	flags.DurationVar(&options.HostListLag, "host-lag", 0, "delay before a change of a host list is visible")
	return cmd
}

func run(cmd *cobra.Command, options platform.Options) error {
	server, err := platform.Start(options)
	if err != nil {
		return err
	}
	cmd.Printf("standin-platform: serving on %s, control on %s\n", server.Address(), server.ControlAddress())
	<-cmd.Context().Done()
	return server.Close()
}
