// Package client implements the commands of marjoramsaddle, the operators'
// command-line client. Commands that read files work offline. The others send
// requests to one daemon, which queries the fleet; no command contacts every
// proxy itself.
//
// # Usage
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

// ExitCode is the status with which the program exits.
type ExitCode int

// Exit codes.
const (
	// Success means that the command did what it was asked.
	Success ExitCode = iota
	// CheckFailed means that the documents are invalid or too large for the
	// platform, or that a replay missed its expected outcome.
	CheckFailed
	// Usage means invalid arguments, a request that the daemon rejected as
	// invalid, or a local file that cannot be read or written.
	Usage
	// Unreachable means that the daemon did not respond or is unavailable.
	Unreachable
	// NotConverged means that the awaited version was refused, or was not in
	// force on every host by the deadline.
	NotConverged
)

const exitCodes = `Exit codes:
  0  the command did what it was asked
  1  the check found faults in the documents, or a replay missed its stated outcome
  2  wrong usage, or a local file that cannot be read or written
  3  the daemon gave no answer or refused to answer
  4  the awaited version is not in force on every host (status --wait-for)`

// Error is a command's failure: its exit code, what is wrong and what the
// operator can do about it.
type Error struct {
	ExitCode ExitCode
	Problem  string
	Remedy   string
}

// Error returns the problem and the remedy, separated by a colon.
func (e *Error) Error() string { return e.Problem + ": " + e.Remedy }

// Run executes one command line and returns its exit code. The arguments do not
// include the program's name.
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
	var commandErr *Error
	if errors.As(err, &commandErr) {
		return commandErr.ExitCode
	}
	// All other errors come from cobra and concern arguments or flags.
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
		RunE:          requireSubcommand,
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

// requireSubcommand is the action of a command that only groups subcommands.
// Without it, cobra treats a misspelt subcommand as a request for help.
func requireSubcommand(cmd *cobra.Command, _ []string) error {
	return &Error{ExitCode: Usage, Problem: "no command given", Remedy: "run " + cmd.CommandPath() + " --help to see the commands"}
}
