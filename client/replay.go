package client

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	_ "marjoramsaddle/core/census" // registers its plug-in
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	_ "marjoramsaddle/core/member"  // registers its plug-in
	_ "marjoramsaddle/core/overlay" // registers its plug-in
	_ "marjoramsaddle/core/reader"  // registers its plug-in
	_ "marjoramsaddle/core/spread"  // registers its plug-in
	"marjoramsaddle/core/trace"
	"marjoramsaddle/io/settings"
)

// replayFlags holds the flags of trace replay.
type replayFlags struct {
	settings string
	expect   string
}

func newTraceReplay() *cobra.Command {
	var flags replayFlags
	cmd := &cobra.Command{
		Use:   "replay FILE",
		Short: "Replay a trace and show what the daemon did",
		Long: "Replay a trace, which may be compressed with gzip, in a new kernel, and show when\n" +
			"versions came into force or were refused and when the readiness changed.\n\n" + exitCodes,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return flags.replay(cmd, args[0]) },
	}
	cmd.Flags().StringVar(&flags.settings, "settings", "", "settings of the daemon, in place of the trace's own")
	cmd.Flags().StringVar(&flags.expect, "expect", "", "file with the stated outcome; a difference gives exit code 1")
	return cmd
}

func (f *replayFlags) replay(cmd *cobra.Command, name string) error {
	recorded, err := readTrace(name)
	if err != nil {
		return err
	}
	env, err := f.environment(name, recorded)
	if err != nil {
		return err
	}
	outcome := trace.ReplayOutcome(env, recorded.Records)
	writeReplay(cmd.OutOrStdout(), recorded, outcome)
	return f.checkExpectation(cmd.OutOrStdout(), outcome)
}

func readTrace(name string) (*trace.Trace, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, readError(err)
	}
	defer func() { _ = file.Close() }()
	recorded, err := trace.Read(file)
	if err != nil {
		return nil, &Error{ExitCode: Usage, Problem: name + ": " + err.Error(), Remedy: "name a file of trace record or of trace_file"}
	}
	return recorded, nil
}

// environment returns the kernel environment from the settings file if one is
// given, and otherwise from the trace's header.
func (f *replayFlags) environment(name string, recorded *trace.Trace) (kernel.Environment, error) {
	if f.settings == "" && recorded.Header != nil {
		return recorded.Header.Environment, nil
	}
	if f.settings == "" {
		return kernel.Environment{}, &Error{ExitCode: Usage, Problem: name + " has no header", Remedy: "give the daemon's --settings"}
	}
	s, err := settings.Load(f.settings)
	if err != nil {
		return kernel.Environment{}, &Error{ExitCode: Usage, Problem: err.Error(), Remedy: "give the daemon's settings"}
	}
	return s.Environment(startTime(recorded)), nil
}

// startTime returns when the recorded process started: the incarnation in the
// header or, without a header, the time of the first event.
func startTime(recorded *trace.Trace) id.Instant {
	switch {
	case recorded.Header != nil:
		return id.Instant(recorded.Header.Environment.Self.Incarnation)
	case len(recorded.Records) > 0:
		return recorded.Records[0].At
	default:
		return 0
	}
}

func writeReplay(w io.Writer, recorded *trace.Trace, outcome trace.Outcome) {
	if recorded.Header != nil && recorded.Header.DroppedEvents > 0 {
		_, _ = fmt.Fprintf(w, "The trace lacks the first %d events: what they did is missing below. Raise trace_events or set trace_file.\n", recorded.Header.DroppedEvents)
	}
	if recorded.Truncated {
		_, _ = fmt.Fprintln(w, "The last line of the trace is not whole and is left out.")
	}
	for _, change := range outcome.Changes {
		_, _ = fmt.Fprintf(w, "%s  %s\n", change.At.Time().Format(time.RFC3339Nano), change)
	}
	for _, name := range slices.Sorted(maps.Keys(outcome.Counters)) {
		_, _ = fmt.Fprintf(w, "%s: %d\n", name, outcome.Counters[name])
	}
}

// checkExpectation prints how the outcome differs from the expectation file and
// returns an error if it does. It does nothing if no file is given.
func (f *replayFlags) checkExpectation(w io.Writer, outcome trace.Outcome) error {
	if f.expect == "" {
		return nil
	}
	data, err := os.ReadFile(f.expect)
	if err != nil {
		return readError(err)
	}
	var expected trace.Expectation
	if err := json.Unmarshal(data, &expected); err != nil {
		return &Error{ExitCode: Usage, Problem: f.expect + ": " + err.Error(), Remedy: "correct the stated outcome"}
	}
	violations := expected.Check(outcome)
	for _, violation := range violations {
		_, _ = fmt.Fprintln(w, violation)
	}
	if len(violations) == 0 {
		return nil
	}
	return &Error{ExitCode: CheckFailed, Problem: fmt.Sprintf("the stated outcome is not met in %d points", len(violations)), Remedy: "see them above"}
}
