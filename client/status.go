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
	// statusInterval is the time between two requests of status --watch. Each
	// costs the fleet one scatter-gather.
	statusInterval = time.Second
	// waitInterval is the time between two requests of status --wait-for.
	waitInterval = 250 * time.Millisecond
	// defaultWait is the bound of promise 9 on the time until an accepted
	// version is in force everywhere.
	defaultWait = "9s"
)

type statusFlags struct {
	daemon  daemonFlags
	output  output
	watch   bool
	waitFor uint64
	until   string
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
	flags.output.register(cmd)
	cmd.Flags().BoolVar(&flags.watch, "watch", false, "repeat each second until interrupted")
	cmd.Flags().Uint64Var(&flags.waitFor, "wait-for", 0, "version to wait for")
	cmd.Flags().StringVar(&flags.until, "until-deadline", defaultWait, "end of the wait: a time as in RFC 3339 or a span from now")
	cmd.MarkFlagsMutuallyExclusive("watch", "wait-for")
	return cmd
}

func runStatus(cmd *cobra.Command, flags *statusFlags) error {
	switch {
	case flags.watch:
		return flags.watchStatus(cmd)
	case cmd.Flags().Changed("wait-for"):
		return flags.wait(cmd)
	}
	status, err := flags.daemon.status(cmd.Context())
	if err != nil {
		return err
	}
	return flags.print(cmd, status)
}

func (f *statusFlags) print(cmd *cobra.Command, status *gen.FleetStatus) error {
	if f.output == outputJSON {
		return printJSON(cmd, genserver.NewStatusResponseBody(status))
	}
	return printTable(cmd, func(w io.Writer) { writeStatus(w, status) })
}

// watchStatus repeats the status until the context ends. A daemon that does
// not answer is reported and asked again.
func (f *statusFlags) watchStatus(cmd *cobra.Command) error {
	ctx := cmd.Context()
	for {
		status, err := f.daemon.status(ctx)
		var failure *Error
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.As(err, &failure) && failure.ExitCode == Usage:
			return err
		case err != nil:
			cmd.PrintErrln(err.Error())
		default:
			if err := f.print(cmd, status); err != nil {
				return err
			}
		}
		if !pause(ctx, statusInterval) {
			return nil
		}
	}
}

// wait repeats the status until the version is in force on every host, some
// host has refused it, or the deadline has passed.
func (f *statusFlags) wait(cmd *cobra.Command) error {
	deadline, err := parseDeadline(f.until, time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(cmd.Context(), deadline)
	defer cancel()
	var last *gen.FleetStatus
	failure := f.daemon.explain(errors.New("no time was left to ask"))
	for ctx.Err() == nil {
		status, err := f.daemon.status(ctx)
		switch {
		case err == nil:
			last = status
			if converged(status, f.waitFor) {
				return f.print(cmd, status)
			}
			if refusalOf(status, f.waitFor) != "" {
				return f.notConverged(cmd, status)
			}
		case ctx.Err() == nil:
			last, failure = nil, err
		}
		pause(ctx, waitInterval)
	}
	if last == nil {
		return failure
	}
	return f.notConverged(cmd, last)
}

func (f *statusFlags) notConverged(cmd *cobra.Command, status *gen.FleetStatus) error {
	if err := f.print(cmd, status); err != nil {
		return err
	}
	if reason := refusalOf(status, f.waitFor); reason != "" {
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

// converged reports whether every host has answered and has at least the given
// version in force.
func converged(status *gen.FleetStatus, version uint64) bool {
	hosts := 0
	for _, domain := range status.Domains {
		if len(domain.Unanswered) > 0 {
			return false
		}
		for _, counted := range domain.Versions {
			if counted.Version < version {
				return false
			}
			hosts += counted.Hosts
		}
	}
	return hosts > 0
}

// refusalOf returns why some host refused the version, or an empty string.
func refusalOf(status *gen.FleetStatus, version uint64) string {
	for _, domain := range status.Domains {
		for _, refused := range domain.Refused {
			if refused.Version == version {
				return refused.Reason
			}
		}
	}
	return ""
}

// parseDeadline reads a time, or a span that starts now.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if span, err := time.ParseDuration(text); err == nil {
		return now.Add(span), nil
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

// pause waits and reports whether the context is still open.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func writeStatus(w io.Writer, status *gen.FleetStatus) {
	row(w, fmt.Sprintf("asked %s: held %d, in force %d, %s; this is %d ms old",
		status.Host, status.Held, status.InForce, status.Readiness, status.AgeMs))
	if status.IgnoredIndex != nil {
		row(w, fmt.Sprintf("ignored platform index %d, which is below the highest known: publish again until it passes", *status.IgnoredIndex))
	}
	row(w)
	row(w, "FAILURE DOMAIN", "VERSION", "HOSTS")
	for _, domain := range status.Domains {
		writeVersions(w, domain)
	}
	if !anyTrouble(status) {
		return
	}
	row(w)
	row(w, "FAILURE DOMAIN", "HOST", "VERSION", "TROUBLE")
	for _, domain := range status.Domains {
		writeTrouble(w, domain)
	}
}

func writeVersions(w io.Writer, domain *gen.DomainStatus) {
	if len(domain.Versions) == 0 {
		row(w, domain.FailureDomain, "-", 0)
	}
	for _, counted := range domain.Versions {
		row(w, domain.FailureDomain, counted.Version, counted.Hosts)
	}
}

func anyTrouble(status *gen.FleetStatus) bool {
	for _, domain := range status.Domains {
		if len(domain.Behind)+len(domain.Unanswered)+len(domain.Refused) > 0 {
			return true
		}
	}
	return false
}

func writeTrouble(w io.Writer, domain *gen.DomainStatus) {
	for _, host := range domain.Behind {
		row(w, domain.FailureDomain, host.Host, host.Version, "behind")
	}
	for _, host := range domain.Unanswered {
		row(w, domain.FailureDomain, host, "-", "did not answer")
	}
	for _, refused := range domain.Refused {
		row(w, domain.FailureDomain, "-", refused.Version, "refused: "+refused.Reason)
	}
}
