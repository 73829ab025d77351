package client

import (
	"fmt"

	"github.com/spf13/cobra"

	"marjoramsaddle/core/document"
)

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Validate documents offline, as a whole version",
		Long: `Validate documents offline, as a whole version: the daemons accept exactly what
passes. A folder stands for its .json files.

Warns where two configurations of equal priority set the same field on one
proxy or service; the smaller name wins there.

` + exitCodes,
		Args: cobra.MinimumNArgs(1),
		RunE: runCheck,
	}
}

func runCheck(cmd *cobra.Command, args []string) error {
	set, faults, err := loadDocuments(args)
	if err != nil {
		return err
	}
	if len(faults) == 0 {
		if _, err := splitIntoParts(set); err != nil {
			faults = append(faults, err)
		}
	}
	for _, fault := range faults {
		cmd.PrintErrln("fault: " + fault.Error())
	}
	if len(faults) > 0 {
		return &Error{ExitCode: CheckFailed, Problem: fmt.Sprintf("%d faults", len(faults)), Remedy: "correct them and check again"}
	}
	warnings := findTies(set)
	for _, warning := range warnings {
		cmd.PrintErrln("warning: " + warning.String())
	}
	return printLine(cmd, summary(set, len(warnings)))
}

func summary(set *document.Set, warnings int) string {
	return fmt.Sprintf("good: %d services, %d proxies, %d configurations, %d warnings",
		len(set.Services), len(set.Proxies), len(set.Configurations), warnings)
}

// printLine writes one line of the command's result. It returns write errors, so
// that a script does not mistake a truncated result for a complete one.
func printLine(cmd *cobra.Command, line string) error {
	if _, err := fmt.Fprintln(cmd.OutOrStdout(), line); err != nil {
		return &Error{ExitCode: Usage, Problem: err.Error(), Remedy: "check where the output goes"}
	}
	return nil
}
