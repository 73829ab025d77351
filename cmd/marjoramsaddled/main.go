// Command marjoramsaddled is the daemon that runs beside each backend server. It
// reads its settings from a JSON file and serves until SIGTERM or SIGINT.
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

	"marjoramsaddle/daemon"
	"marjoramsaddle/io/settings"
	"marjoramsaddle/io/telemetry"
)

// Exit codes.
const (
	exitInvalidSettings = 1
	exitUsage           = 2
	exitRunFailed       = 3
)

// memoryLimitBytes is the soft memory limit of the Go runtime. It is below the
// 128 MB that a daemon may use in total.
const memoryLimitBytes = 110 << 20

func main() {
	err := newCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "marjoramsaddled:", err)
	os.Exit(exitCode(err))
}

// errRunFailed marks errors that occur after the settings were accepted.
var errRunFailed = errors.New("run")

func exitCode(err error) int {
	var settingsErr *settings.Error
	switch {
	case errors.As(err, &settingsErr):
		return exitInvalidSettings
	case errors.Is(err, errRunFailed):
		return exitRunFailed
	default:
		return exitUsage
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "marjoramsaddled",
		Short:         "Daemon of marjoramsaddle, one beside each backend server",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(newRunCommand(), newCheckCommand(), newVersionCommand())
	return root
}

func newRunCommand() *cobra.Command {
	var file string
	run := &cobra.Command{
		Use:   "run",
		Short: "Serve until SIGTERM, then stop gracefully",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return serve(file) },
	}
	run.Flags().StringVar(&file, "settings", "", "settings file (JSON)")
	_ = run.MarkFlagRequired("settings")
	return run
}

func serve(file string) error {
	loadedSettings, err := settings.Load(file)
	if err != nil {
		return err
	}
	logger, err := telemetry.NewLogger(loadedSettings.LogLevel, os.Stderr)
	if err != nil {
		return &settings.Error{File: file, Field: "log_level", Problem: err.Error(), Remedy: "choose a level"}
	}
	debug.SetMemoryLimit(memoryLimitBytes)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(loadedSettings, logger)
	if err != nil {
		return errors.Join(errRunFailed, err)
	}
	if err := d.Run(ctx); err != nil {
		return errors.Join(errRunFailed, err)
	}
	return nil
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check-settings FILE",
		Short: "Check a settings file",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.Load(args[0]); err != nil {
				return err
			}
			cmd.Println("settings are good")
			return nil
		},
	}
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			cmd.Println("marjoramsaddled", buildVersion())
		},
	}
}

func buildVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
