// Command marjoramsaddle-sidecar is the daemon for the users' platform, one
// beside each backend server.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"marjoramsaddle/io/telemetry"
	"marjoramsaddle/platform"
	"marjoramsaddle/sidecar"
)

// The exit codes.
const (
	exitSettings = 1
	exitUsage    = 2
	exitRun      = 3
)

// memoryShare is the part of the process's memory limit at which the garbage
// collector works harder; the rest is for what it does not count.
const memoryShare = 0.6

// defaultMetricsPort is the port that exporters of this format use by custom.
const defaultMetricsPort = 9464

var errRun = errors.New("run")

func main() {
	err := command().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "marjoramsaddle-sidecar:", err)
	var fault *platform.SettingsError
	switch {
	case errors.As(err, &fault):
		os.Exit(exitSettings)
	case errors.Is(err, errRun):
		os.Exit(exitRun)
	default:
		os.Exit(exitUsage)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "marjoramsaddle-sidecar",
		Short:         "Daemon of marjoramsaddle on the users' platform",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	var file, level string
	var metricsPort int
	run := &cobra.Command{
		Use:   "run",
		Short: "Serve until SIGTERM, then stop gracefully",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return serve(file, level, metricsPort) },
	}
	run.Flags().StringVar(&level, "log-level", "info", "debug, info, warn or error")
	run.Flags().IntVar(&metricsPort, "metrics-port", defaultMetricsPort, "port that serves the metrics at the host's address")
	check := &cobra.Command{
		Use:   "check-settings",
		Short: "Check the platform's settings file",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := platform.LoadSettings(file); err != nil {
				return err
			}
			cmd.Println("settings are good")
			return nil
		},
	}
	for _, sub := range []*cobra.Command{run, check} {
		sub.Flags().StringVar(&file, "settings", os.Getenv(platform.SettingsVariable), "settings file; the default is named by "+platform.SettingsVariable)
	}
	root.AddCommand(run, check)
	return root
}

func serve(file, level string, metricsPort int) error {
	settings, err := platform.LoadSettings(file)
	if err != nil {
		return err
	}
	out := telemetry.NewBoundedWriter(os.Stdout)
	defer out.Close()
	logger, err := telemetry.NewLogger(level, out)
	if err != nil {
		return err
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := sidecar.New(settings, metricsPort, logger)
	if err != nil {
		return errors.Join(errRun, err)
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	source := sidecar.SettingsSource{
		File: file, ReloadSignals: hangups,
		Load: func() (platform.Settings, error) { return platform.LoadSettings(file) },
	}
	if err := d.Run(ctx, source); err != nil {
		logger.Error("ended", zap.Error(err))
		return errors.Join(errRun, err)
	}
	return nil
}
