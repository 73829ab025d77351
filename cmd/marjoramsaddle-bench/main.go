// Command marjoramsaddle-bench runs experiments. It is the only program of this
// repository that starts others; they are found in its own folder.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// outputJSON is the only format of output.
const outputJSON = "json"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		stop()
		os.Exit(1)
	}
}

func command() *cobra.Command {
	cmd := &cobra.Command{
		Use:          "marjoramsaddle-bench",
		Short:        "Run experiments and print their results as JSON",
		SilenceUsage: true,
	}
	cmd.AddCommand(convergeCommand(), loadCommand(), sweepCommand(), layoutCommand(), recordCommand(), capacityCommand(), soakCommand())
	return cmd
}

// addOutput adds the flag for the format of output.
func addOutput(cmd *cobra.Command) {
	cmd.Flags().String("output", outputJSON, "format of output: json")
}

func checkOutput(cmd *cobra.Command) error {
	format, err := cmd.Flags().GetString("output")
	if err != nil {
		return err
	}
	if format != outputJSON {
		return fmt.Errorf("unknown output %q; use %s", format, outputJSON)
	}
	return nil
}

func printJSON(cmd *cobra.Command, report any) error {
	return json.NewEncoder(cmd.OutOrStdout()).Encode(report)
}
