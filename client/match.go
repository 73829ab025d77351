package client

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/label"
	"marjoramsaddle/core/snapshot"
	genserver "marjoramsaddle/gen/http/operator/server"
	gen "marjoramsaddle/gen/operator"
	"marjoramsaddle/io/operator"
)

type matchFlags struct {
	selector     string
	proxy        string
	outputFormat outputFormat
	daemon       daemonFlags
}

func newMatch() *cobra.Command {
	var flags matchFlags
	cmd := &cobra.Command{
		Use:   "match (--selector KEY=VALUE,... | --proxy HOST) [FILE...]",
		Short: "Show what a selector matches, or what a proxy runs and why",
		Long: `Show which proxies and services of the files a selector matches, or what one
proxy runs and which configuration each field comes from. With files, --proxy
shows what they would give the proxy; without files it asks the daemon at
--address.

A selector lists conditions with commas: key=value, key!=value, key, !key.

` + exitCodes,
		Args: cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, args []string) error { return runMatch(cmd, &flags, args) },
	}
	cmd.Flags().StringVar(&flags.selector, "selector", "", "conditions on labels")
	cmd.Flags().StringVar(&flags.proxy, "proxy", "", "host whose proxy to show")
	flags.outputFormat.register(cmd)
	flags.daemon.register(cmd)
	cmd.MarkFlagsOneRequired("selector", "proxy")
	cmd.MarkFlagsMutuallyExclusive("selector", "proxy")
	return cmd
}

func runMatch(cmd *cobra.Command, flags *matchFlags, args []string) error {
	if flags.proxy != "" {
		view, err := proxyView(cmd.Context(), flags, args)
		if err != nil {
			return err
		}
		if flags.outputFormat == outputJSON {
			return printJSON(cmd, genserver.NewViewResponseBody(view))
		}
		return printTable(cmd, func(w io.Writer) { writeView(w, view) })
	}
	if len(args) == 0 {
		return &Error{ExitCode: Usage, Problem: "--selector without files", Remedy: "name the files to search"}
	}
	selector, err := parseSelector(flags.selector)
	if err != nil {
		return &Error{ExitCode: Usage, Problem: "--selector", Remedy: err.Error()}
	}
	set, err := loadValidDocuments(args)
	if err != nil {
		return err
	}
	found := findMatches(set, selector)
	if flags.outputFormat == outputJSON {
		return printJSON(cmd, found)
	}
	return printTable(cmd, func(w io.Writer) { writeMatches(w, found) })
}

func proxyView(ctx context.Context, flags *matchFlags, files []string) (*gen.ProxyView, error) {
	if len(files) == 0 {
		return flags.daemon.view(ctx, flags.proxy)
	}
	set, err := loadValidDocuments(files)
	if err != nil {
		return nil, err
	}
	if _, ok := set.Proxies[id.Host(flags.proxy)]; !ok {
		return nil, &Error{
			ExitCode: Usage, Problem: fmt.Sprintf("no proxy %q in the files", flags.proxy),
			Remedy: "add its document or correct the name",
		}
	}
	return operator.NewProxyView(snapshot.New(0, set).View(id.Host(flags.proxy))), nil
}

// match describes a proxy or service whose labels a selector matches.
type match struct {
	Kind   document.Kind `json:"kind"`
	Name   string        `json:"name"`
	Labels label.Set     `json:"labels"`
}

func findMatches(set *document.Set, selector label.Selector) []match {
	found := []match{}
	for _, name := range sortedKeys(set.Proxies) {
		if labels := set.Proxies[name].Labels; selector.Matches(labels) {
			found = append(found, match{Kind: document.KindProxy, Name: string(name), Labels: labels})
		}
	}
	for _, name := range sortedKeys(set.Services) {
		if labels := set.Services[name].Labels; selector.Matches(labels) {
			found = append(found, match{Kind: document.KindService, Name: string(name), Labels: labels})
		}
	}
	return found
}

// parseSelector parses a comma-separated list of conditions into a selector.
func parseSelector(text string) (label.Selector, error) {
	var selector label.Selector
	for _, condition := range strings.Split(text, ",") {
		selector.MatchExpressions = append(selector.MatchExpressions, parseCondition(strings.TrimSpace(condition)))
	}
	return selector, selector.Validate()
}

func parseCondition(text string) label.Requirement {
	if key, value, ok := strings.Cut(text, "!="); ok {
		return label.Requirement{Key: key, Operator: label.NotIn, Values: []string{value}}
	}
	if key, value, ok := strings.Cut(text, "="); ok {
		return label.Requirement{Key: key, Operator: label.In, Values: []string{value}}
	}
	if key, ok := strings.CutPrefix(text, "!"); ok {
		return label.Requirement{Key: key, Operator: label.DoesNotExist}
	}
	return label.Requirement{Key: text, Operator: label.Exists}
}
