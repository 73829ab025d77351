package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	genserver "marjoramsaddle/gen/http/operator/server"
	gen "marjoramsaddle/gen/operator"
)

const (
	// watchInterval is the time between two requests of status --watch. Each
	// request makes the daemon query the whole fleet by scatter-gather.
	watchInterval = time.Second
	// waitPollInterval is the time between requests of status --wait-for.
	waitPollInterval = 250 * time.Millisecond
	// defaultWaitDuration is the guaranteed bound (promise 9) on the time until
	// an accepted version is in force on every host.
	defaultWaitDuration = "9s"
)

type statusFlags struct {
	daemon       daemonFlags
	outputFormat outputFormat
	watch        bool
	waitFor      uint64
	waitDeadline string
}

func newStatus() *cobra.Command {
	var flags statusFlags
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show which versions are in force, and who is behind and why",
		Long: `Show which versions are in force in each failure domain, who is behind, did not
answer or has refused a version and why, and the age of this knowledge.

With --wait-for, wait until every host has the version or a later one in force.

` + exitCodes,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runStatus(cmd, &flags) },
	}
	flags.daemon.register(cmd)
	flags.outputFormat.register(cmd)
	cmd.Flags().BoolVar(&flags.watch, "watch", false, "repeat each second until interrupted")
	cmd.Flags().Uint64Var(&flags.waitFor, "wait-for", 0, "version to wait for")
	cmd.Flags().StringVar(&flags.waitDeadline, "until-deadline", defaultWaitDuration, "end of the wait: a time as in RFC 3339 or a span from now")
	cmd.MarkFlagsMutuallyExclusive("watch", "wait-for")
	return cmd
}

func runStatus(cmd *cobra.Command, flags *statusFlags) error {
	switch {
	case flags.watch:
		return flags.watchStatus(cmd)
	case cmd.Flags().Changed("wait-for"):
		return flags.waitForVersion(cmd)
	}
	status, err := flags.daemon.status(cmd.Context())
	if err != nil {
		return err
	}
	return flags.print(cmd, status)
}

func (f *statusFlags) print(cmd *cobra.Command, status *gen.FleetStatus) error {
	if f.outputFormat == outputJSON {
		return printJSON(cmd, genserver.NewStatusResponseBody(status))
	}
	return printTable(cmd, func(w io.Writer) { writeStatus(w, status) })
}

// watchStatus prints the status repeatedly until the context is cancelled. If
// the daemon does not respond, it prints the error and tries again.
func (f *statusFlags) watchStatus(cmd *cobra.Command) error {
	ctx := cmd.Context()
	for {
		status, err := f.daemon.status(ctx)
		var commandErr *Error
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.As(err, &commandErr) && commandErr.ExitCode == Usage:
			return err
		case err != nil:
			cmd.PrintErrln(err.Error())
		default:
			if err := f.print(cmd, status); err != nil {
				return err
			}
		}
		if !sleep(ctx, watchInterval) {
			return nil
		}
	}
}

// waitForVersion polls the status until the version is in force on every host,
// a host has refused it, or the deadline has passed.
func (f *statusFlags) waitForVersion(cmd *cobra.Command) error {
	deadline, err := parseDeadline(f.waitDeadline, time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(cmd.Context(), deadline)
	defer cancel()
	var lastStatus *gen.FleetStatus
	lastErr := f.daemon.wrapError(errors.New("no time was left to ask"))
	for ctx.Err() == nil {
		status, err := f.daemon.status(ctx)
		switch {
		case err == nil:
			lastStatus = status
			if converged(status, f.waitFor) {
				return f.print(cmd, status)
			}
			if refusalReason(status, f.waitFor) != "" {
				return f.reportNotConverged(cmd, status)
			}
		case ctx.Err() == nil:
			lastStatus, lastErr = nil, err
		}
		sleep(ctx, waitPollInterval)
	}
	if lastStatus == nil {
		return lastErr
	}
	return f.reportNotConverged(cmd, lastStatus)
}

func (f *statusFlags) reportNotConverged(cmd *cobra.Command, status *gen.FleetStatus) error {
	if err := f.print(cmd, status); err != nil {
		return err
	}
	if reason := refusalReason(status, f.waitFor); reason != "" {
		return &Error{
			ExitCode: NotConverged, Problem: fmt.Sprintf("version %d was refused: %s", f.waitFor, reason),
			Remedy: "correct the documents and publish again",
		}
	}
	return &Error{
		ExitCode: NotConverged, Problem: fmt.Sprintf("version %d is not in force on every host", f.waitFor),
		Remedy: "see the hosts that are behind or did not answer above",
	}
}

// converged reports whether every host has responded and has the given version
// or a later one in force. A status without hosts has not converged.
func converged(status *gen.FleetStatus, version uint64) bool {
	hosts := 0
	for _, domain := range status.Domains {
		if len(domain.Unanswered) > 0 {
			return false
		}
		for _, versionCount := range domain.Versions {
			if versionCount.Version < version {
				return false
			}
			hosts += versionCount.Hosts
		}
	}
	return hosts > 0
}

// refusalReason returns the reason of the first refusal of the version, or an
// empty string if no host refused it.
func refusalReason(status *gen.FleetStatus, version uint64) string {
	for _, domain := range status.Domains {
		for _, refused := range domain.Refused {
			if refused.Version == version {
				return refused.Reason
			}
		}
	}
	return ""
}

// parseDeadline parses an RFC 3339 time, or a duration that starts now.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if delay, err := time.ParseDuration(text); err == nil {
		return now.Add(delay), nil
	}
	deadline, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, &Error{
			ExitCode: Usage, Problem: fmt.Sprintf("--until-deadline: %q is neither a time nor a span", text),
			Remedy: "write it as 2026-01-02T15:04:05Z or as 9s",
		}
	}
	return deadline, nil
}

// sleep waits for the delay and reports whether it elapsed before the context
// was cancelled.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func writeStatus(w io.Writer, status *gen.FleetStatus) {
	writeRow(w, fmt.Sprintf("asked %s: held %d, in force %d, %s; this is %d ms old",
		status.Host, status.Held, status.InForce, status.Readiness, status.AgeMs))
	if status.IgnoredIndex != nil {
		writeRow(w, fmt.Sprintf("ignored platform index %d, which is below the highest known: publish again until it passes", *status.IgnoredIndex))
	}
	writeRow(w)
	writeRow(w, "FAILURE DOMAIN", "VERSION", "HOSTS")
	for _, domain := range status.Domains {
		writeVersions(w, domain)
	}
	if !hasHostProblems(status) {
		return
	}
	writeRow(w)
	writeRow(w, "FAILURE DOMAIN", "HOST", "VERSION", "TROUBLE")
	for _, domain := range status.Domains {
		writeHostProblems(w, domain)
	}
}

func writeVersions(w io.Writer, domain *gen.DomainStatus) {
	if len(domain.Versions) == 0 {
		writeRow(w, domain.FailureDomain, "-", 0)
	}
	for _, versionCount := range domain.Versions {
		writeRow(w, domain.FailureDomain, versionCount.Version, versionCount.Hosts)
	}
}

func hasHostProblems(status *gen.FleetStatus) bool {
	for _, domain := range status.Domains {
		if len(domain.Behind)+len(domain.Unanswered)+len(domain.Refused) > 0 {
			return true
		}
	}
	return false
}

func writeHostProblems(w io.Writer, domain *gen.DomainStatus) {
	for _, host := range domain.Behind {
		writeRow(w, domain.FailureDomain, host.Host, host.Version, "behind")
	}
	for _, host := range domain.Unanswered {
		writeRow(w, domain.FailureDomain, host, "-", "did not answer")
	}
	for _, refused := range domain.Refused {
		writeRow(w, domain.FailureDomain, "-", refused.Version, "refused: "+refused.Reason)
	}
}
