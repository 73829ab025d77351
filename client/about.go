package client

import (
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"marjoramsaddle/docs/schema"
)

func newSchema() *cobra.Command {
	return &cobra.Command{
		Use:       "schema [documents|settings]",
		Short:     "Print the JSON Schema of documents or of a daemon's settings",
		Args:      cobra.MatchAll(cobra.MaximumNArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"documents", "settings"},
		RunE: func(cmd *cobra.Command, args []string) error {
			text := schema.Documents
			if len(args) == 1 && args[0] == "settings" {
				text = schema.Settings
			}
			return printLine(cmd, strings.TrimSuffix(string(text), "\n"))
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

// buildVersion returns the module version and the VCS revision that the Go tool
// recorded in the binary.
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
