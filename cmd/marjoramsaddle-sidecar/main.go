// Command marjoramsaddle-sidecar is the daemon for the users' platform. One runs
// beside each backend server. It serves until SIGTERM or SIGINT and reloads its
// settings on SIGHUP.
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

// Exit codes.
const (
	exitInvalidSettings = 1
	exitUsage           = 2
	exitRunFailed       = 3
)

// memoryLimitFraction is the fraction of the process's memory limit that is set
// as the Go runtime's soft limit. The rest is for memory that the runtime does
// not account for.
const memoryLimitFraction = 0.6

// defaultMetricsPort is the port that exporters of this format conventionally
// use.
const defaultMetricsPort = 9464

// errRunFailed marks errors that occur after the settings were accepted.
var errRunFailed = errors.New("run")

func main() {
	err := newCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "marjoramsaddle-sidecar:", err)
	var settingsErr *platform.SettingsError
	switch {
	case errors.As(err, &settingsErr):
		os.Exit(exitInvalidSettings)
	case errors.Is(err, errRunFailed):
		os.Exit(exitRunFailed)
	default:
		os.Exit(exitUsage)
	}
}

func newCommand() *cobra.Command {
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
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := sidecar.New(settings, metricsPort, logger)
	if err != nil {
		return errors.Join(errRunFailed, err)
	}
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	source := sidecar.SettingsSource{
		File: file, ReloadSignals: reloadSignals,
		Load: func() (platform.Settings, error) { return platform.LoadSettings(file) },
	}
	if err := d.Run(ctx, source); err != nil {
		logger.Error("ended", zap.Error(err))
		return errors.Join(errRunFailed, err)
	}
	return nil
}
