package docs_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"marjoramsaddle/core/refusal"
)

// Guards against a refusal reason that OPERATIONS.md does not list, and against
// rows whose status or remedy differs from the daemon's response.
func TestOperationsPageListsEveryReason(t *testing.T) {
	data, err := os.ReadFile("OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]string{}
	for line := range strings.Lines(string(data)) {
		if name, ok := strings.CutPrefix(line, "| `"); ok {
			name, _, _ = strings.Cut(name, "`")
			rows[name] = strings.TrimSpace(line)
		}
	}
	for _, reason := range refusal.Reasons() {
		row := rows[reason.String()]
		start := fmt.Sprintf("| `%s` | %d | ", reason, refusal.New(reason, refusal.NotRun).Status())
		end := fmt.Sprintf(" | %s |", reason.Remedy())
		if !strings.HasPrefix(row, start) || !strings.HasSuffix(row, end) {
			t.Errorf("row %q must start with %q and end with %q", row, start, end)
		}
		delete(rows, reason.String())
	}
	if len(rows) > 0 {
		t.Errorf("reasons that do not exist: %v", rows)
	}
}
