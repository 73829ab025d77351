package client

import (
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"marjoramsaddle/docs/schema"
)

func newSchema() *cobra.Command {
	return &cobra.Command{
		Use:   "schema",
		Short: "Print the JSON Schema of a file with documents",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return printLine(cmd, strings.TrimSuffix(string(schema.Documents), "\n"))
		},
	}
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this program",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return printLine(cmd, "marjoramsaddle "+buildVersion())
		},
	}
}

// buildVersion returns the module's version and the commit that the Go tool
// recorded in the program.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			version += " " + setting.Value
		}
	}
	return version
}
