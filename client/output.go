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

// output is the form of a result; it is a flag value.
type output string

const (
	outputTable output = "table"
	outputJSON  output = "json"
)

func (o *output) register(cmd *cobra.Command) {
	*o = outputTable
	cmd.Flags().Var(o, "output", "form of the result: table or json")
}

// String returns the flag's value.
func (o *output) String() string { return string(*o) }

// Type returns the name of the value in the usage text.
func (o *output) Type() string { return "FORM" }

// Set accepts the known forms.
func (o *output) Set(value string) error {
	switch output(value) {
	case outputTable, outputJSON:
		*o = output(value)
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

// printTable aligns the tab-separated columns that write produces.
func printTable(cmd *cobra.Command, write func(w io.Writer)) error {
	var text bytes.Buffer
	columns := tabwriter.NewWriter(&text, 0, 8, 2, ' ', 0)
	write(columns)
	if err := columns.Flush(); err != nil {
		return &Error{ExitCode: Usage, Problem: err.Error(), Remedy: "check where the output goes"}
	}
	return printLine(cmd, strings.TrimSuffix(text.String(), "\n"))
}

// row writes one line of a table. Writes to the buffer behind it cannot fail.
func row(w io.Writer, columns ...any) {
	texts := make([]string, len(columns))
	for index, column := range columns {
		texts[index] = fmt.Sprint(column)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

func writeMatches(w io.Writer, found []match) {
	row(w, "KIND", "NAME", "LABELS")
	for _, m := range found {
		row(w, m.Kind, m.Name, labelText(m.Labels))
	}
}

func labelText(labels map[string]string) string {
	texts := make([]string, 0, len(labels))
	for _, key := range sortedKeys(labels) {
		texts = append(texts, key+"="+labels[key])
	}
	return strings.Join(texts, ",")
}

func writeView(w io.Writer, view *gen.ProxyView) {
	row(w, "proxy:", view.Host)
	if view.Version > 0 {
		row(w, "version:", view.Version)
	}
	row(w, "content:", view.Digest)
	row(w, "labels:", labelText(view.Labels))
	row(w)
	row(w, "ROUTE", "PATH", "METHODS", "SERVICE", "TIMEOUT_MS", "CLASS", "IDEMPOTENT", "FROM")
	for _, r := range view.Routes {
		row(w, r.Name, r.PathPrefix, methodText(r.Methods), r.Service, r.TimeoutMs, r.Class, r.Idempotent, r.Origin)
	}
	row(w)
	row(w, "SERVICE", "FIELD", "VALUE", "FROM")
	for _, policy := range view.Policies {
		writePolicy(w, policy)
	}
}

func methodText(methods []string) string {
	if len(methods) == 0 {
		return "all"
	}
	return strings.Join(methods, ",")
}

func writePolicy(w io.Writer, policy *gen.Policy) {
	own := "service " + policy.Service
	row(w, policy.Service, "slots", policy.Slots, own)
	row(w, policy.Service, "connections", policy.Connections, own)
	row(w, policy.Service, "cold_start_ms", policy.ColdStartMs, own)
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
		row(w, policy.Service, v.field, v.value, origin)
	}
}
