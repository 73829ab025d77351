// Package client holds the commands of the operators' program marjoramsaddle.
// Commands that read files work offline. The others ask one daemon, which asks
// the fleet; no command addresses every proxy.
//
// Usage:
//
//	code := client.Run(ctx, []string{"check", "services.json"}, os.Stdout, os.Stderr)
//	os.Exit(int(code))
package client

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// ExitCode is the exit code of the program.
type ExitCode int

// The exit codes.
const (
	// Success means that the command did what it was asked.
	Success ExitCode = iota
	// CheckFailed means that the check found faults in the documents.
	CheckFailed
	// Usage means wrong arguments, or a local file that cannot be read or
	// written.
	Usage
	// Unreachable means that the daemon gave no answer or refused to answer.
	Unreachable
	// NotConverged means that the awaited version was not in force on every
	// host by the deadline.
	NotConverged
)

const exitCodes = `Exit codes:
  0  the command did what it was asked
  1  the check found faults in the documents, or a replay missed its stated outcome
  2  wrong usage, or a local file that cannot be read or written
  3  the daemon gave no answer or refused to answer
  4  the awaited version is not in force on every host (status --wait-for)`

// Error is a failure of a command with its exit code and remedy.
type Error struct {
	ExitCode ExitCode
	Problem  string
	Remedy   string
}

// Error returns the problem and the remedy.
func (e *Error) Error() string { return e.Problem + ": " + e.Remedy }

// Run runs one command line without the program's name and returns the exit
// code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) ExitCode {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return Success
	}
	_, _ = fmt.Fprintf(errOut, "marjoramsaddle: %v\n", err)
	var failure *Error
	if errors.As(err, &failure) {
		return failure.ExitCode
	}
	// What is left are the errors of cobra about arguments and flags.
	_, _ = fmt.Fprintln(errOut, "marjoramsaddle: run it with --help to see its usage")
	return Usage
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "marjoramsaddle",
		Short:         "Check, build and watch configurations of the mesh",
		Long:          "Check, build and watch configurations of the mesh.\n\n" + exitCodes,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE:          needCommand,
	}
	root.AddCommand(
		newCheck(),
		newMatch(),
		newBuild(),
		newStatus(),
		newDrain(),
		newTrace(),
		newSchema(),
		newVersion(),
	)
	return root
}

// needCommand is the action of a command that only holds others. Without it,
// cobra takes a misspelt command for a request for help.
func needCommand(cmd *cobra.Command, _ []string) error {
	return &Error{ExitCode: Usage, Problem: "no command given", Remedy: "run " + cmd.CommandPath() + " --help to see the commands"}
}
