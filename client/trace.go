package client

import (
	"io"
	"os"

	"github.com/spf13/cobra"
)

func newTrace() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "trace",
		Short: "Record and replay the kernel events of a daemon",
		Args:  cobra.NoArgs,
		RunE:  requireSubcommand,
	}
	cmd.AddCommand(newTraceRecord(), newTraceReplay())
	return cmd
}

func newTraceRecord() *cobra.Command {
	var flags daemonFlags
	var out string
	cmd := &cobra.Command{
		Use:   "record --out FILE",
		Short: "Write the recent kernel events of a daemon to a file",
		Long:  "Write the recent kernel events of a daemon to a file, as JSON lines.\n\n" + exitCodes,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := flags.record(cmd, out); err != nil {
				return err
			}
			return printLine(cmd, "recorded to "+out)
		},
	}
	cmd.Flags().StringVar(&out, "out", "", "file to write")
	flags.register(cmd)
	if err := cmd.MarkFlagRequired("out"); err != nil {
		panic(err)
	}
	return cmd
}

// record writes the daemon's trace to a temporary file and renames it to out,
// so that an interrupted transfer leaves no file at out.
func (f *daemonFlags) record(cmd *cobra.Command, out string) error {
	client, err := f.newClient()
	if err != nil {
		return err
	}
	_, body, err := client.Trace(cmd.Context())
	if err != nil {
		return f.wrapError(err)
	}
	defer func() { _ = body.Close() }()
	temporary := out + ".tmp"
	file, err := os.Create(temporary)
	if err != nil {
		return writeError(err)
	}
	if _, err := io.Copy(file, io.LimitReader(body, maxResponseBytes)); err != nil {
		_ = file.Close()
		_ = os.Remove(temporary)
		return f.wrapError(err)
	}
	if err := file.Close(); err != nil {
		return writeError(err)
	}
	if err := os.Rename(temporary, out); err != nil {
		return writeError(err)
	}
	return nil
}
