package client

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	gen "marjoramsaddle/gen/operator"
)

// outputFormat is the value of the --output flag: how a result is printed.
type outputFormat string

const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
)

func (o *outputFormat) register(cmd *cobra.Command) {
	*o = outputTable
	cmd.Flags().Var(o, "output", "form of the result: table or json")
}

// String returns the format as it is written on the command line.
func (o *outputFormat) String() string { return string(*o) }

// Type returns the placeholder for the value in the usage text.
func (o *outputFormat) Type() string { return "FORM" }

// Set parses the flag's value and rejects unknown formats.
func (o *outputFormat) Set(value string) error {
	switch outputFormat(value) {
	case outputTable, outputJSON:
		*o = outputFormat(value)
		return nil
	default:
		return fmt.Errorf("unknown form %q: use table or json", value)
	}
}

func printJSON(cmd *cobra.Command, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return &Error{ExitCode: Usage, Problem: err.Error(), Remedy: "report this as a fault of marjoramsaddle"}
	}
	return printLine(cmd, string(data))
}

// printTable prints the tab-separated rows that write produces, with aligned
// columns.
func printTable(cmd *cobra.Command, write func(w io.Writer)) error {
	var text bytes.Buffer
	columns := tabwriter.NewWriter(&text, 0, 8, 2, ' ', 0)
	write(columns)
	if err := columns.Flush(); err != nil {
		return &Error{ExitCode: Usage, Problem: err.Error(), Remedy: "check where the output goes"}
	}
	return printLine(cmd, strings.TrimSuffix(text.String(), "\n"))
}

// writeRow writes one row of a table. It ignores write errors because printTable
// writes to memory.
func writeRow(w io.Writer, columns ...any) {
	cells := make([]string, len(columns))
	for index, column := range columns {
		cells[index] = fmt.Sprint(column)
	}
	_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
}

func writeMatches(w io.Writer, found []match) {
	writeRow(w, "KIND", "NAME", "LABELS")
	for _, m := range found {
		writeRow(w, m.Kind, m.Name, formatLabels(m.Labels))
	}
}

func formatLabels(labels map[string]string) string {
	pairs := make([]string, 0, len(labels))
	for _, key := range sortedKeys(labels) {
		pairs = append(pairs, key+"="+labels[key])
	}
	return strings.Join(pairs, ",")
}

func writeView(w io.Writer, view *gen.ProxyView) {
	writeRow(w, "proxy:", view.Host)
	if view.Version > 0 {
		writeRow(w, "version:", view.Version)
	}
	writeRow(w, "content:", view.Digest)
	writeRow(w, "labels:", formatLabels(view.Labels))
	writeRow(w)
	writeRow(w, "ROUTE", "PATH", "METHODS", "SERVICE", "TIMEOUT_MS", "CLASS", "IDEMPOTENT", "FROM")
	for _, r := range view.Routes {
		writeRow(w, r.Name, r.PathPrefix, formatMethods(r.Methods), r.Service, r.TimeoutMs, r.Class, r.Idempotent, r.Origin)
	}
	writeRow(w)
	writeRow(w, "SERVICE", "FIELD", "VALUE", "FROM")
	for _, policy := range view.Policies {
		writePolicy(w, policy)
	}
}

func formatMethods(methods []string) string {
	if len(methods) == 0 {
		return "all"
	}
	return strings.Join(methods, ",")
}

func writePolicy(w io.Writer, policy *gen.Policy) {
	serviceOrigin := "service " + policy.Service
	writeRow(w, policy.Service, "slots", policy.Slots, serviceOrigin)
	writeRow(w, policy.Service, "connections", policy.Connections, serviceOrigin)
	writeRow(w, policy.Service, "cold_start_ms", policy.ColdStartMs, serviceOrigin)
	values := []struct {
		field string
		value any
	}{
		{"calls_per_s", policy.CallsPerS},
		{"body_bytes", policy.BodyBytes},
		{"queue_ms", policy.QueueMs},
		{"attempts", policy.Attempts},
		{"budget_percent", policy.BudgetPercent},
	}
	for _, v := range values {
		origin := policy.Origins[v.field]
		if origin == "" {
			origin = "default"
		}
		writeRow(w, policy.Service, v.field, v.value, origin)
	}
}
