// Command marjoramsaddled is the daemon that runs beside each backend server.
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

// The exit codes.
const (
	exitSettings = 1
	exitUsage    = 2
	exitRun      = 3
)

// memoryLimitBytes keeps the garbage collector below the 128 MB that a daemon
// may use.
const memoryLimitBytes = 110 << 20

func main() {
	err := command().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "marjoramsaddled:", err)
	os.Exit(exitCode(err))
}

// errRun marks errors that happen after the settings were accepted.
var errRun = errors.New("run")

func exitCode(err error) int {
	var fault *settings.Error
	switch {
	case errors.As(err, &fault):
		return exitSettings
	case errors.Is(err, errRun):
		return exitRun
	default:
		return exitUsage
	}
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:           "marjoramsaddled",
		Short:         "Daemon of marjoramsaddle, one beside each backend server",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(runCommand(), checkCommand(), versionCommand())
	return root
}

func runCommand() *cobra.Command {
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
	loaded, err := settings.Load(file)
	if err != nil {
		return err
	}
	logger, err := telemetry.NewLogger(loaded.LogLevel, os.Stderr)
	if err != nil {
		return &settings.Error{File: file, Field: "log_level", Problem: err.Error(), Remedy: "choose a level"}
	}
	debug.SetMemoryLimit(memoryLimitBytes)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(loaded, logger)
	if err != nil {
		return errors.Join(errRun, err)
	}
	if err := d.Run(ctx); err != nil {
		return errors.Join(errRun, err)
	}
	return nil
}

func checkCommand() *cobra.Command {
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

func versionCommand() *cobra.Command {
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
