package proofs

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/bench/load"
)

// newWorkLimit is the promise on new work of a leaving backend server.
const newWorkLimit = 3 * time.Second

func readEvidence(t *testing.T, name string) load.Evidence {
	t.Helper()
	evidence, err := load.ReadEvidence(filepath.Join("testdata", "calls", name+".json.gz"))
	if err != nil {
		t.Fatal(err)
	}
	return evidence
}

// TestCallsMeetTheirOutcomes compares what the callers of a recorded run saw
// with the journals of the backend servers. It guards against answers that are
// not whole or not the caller's own, calls that ran although refused as not
// run, keys that ran twice, and work lost in a planned stop.
func TestCallsMeetTheirOutcomes(t *testing.T) {
	faults := []string{
		"kill_daemon_entry", "kill_daemon_target", "kill_backend", "cut_mid_answer", "pause_daemon",
		"leaving_listed_live", "stop_daemon", "stop_backend",
	}
	for _, fault := range faults {
		t.Run(fault, func(t *testing.T) {
			is := is.New(t)
			evidence := readEvidence(t, fault)
			is.Equal(evidence.Faults, []string{fault})
			report := evidence.Report()
			is.True(report.Calls > 500)
			is.True(report.OK > report.Calls/2)
			is.Equal(report.WrongAnswers, 0)
			is.Equal(report.Truncated, 0)
			is.Equal(report.Doubled, 0)
			is.Equal(report.LostInStop, 0)
			is.True(report.NewWorkAfterLeaveMsMax < float64(newWorkLimit/time.Millisecond))
		})
	}
}

// TestCallsBreakWithoutRecords shows that the same comparison finds orders that
// ran twice when the daemons keep no idempotency records.
func TestCallsBreakWithoutRecords(t *testing.T) {
	is := is.New(t)
	evidence := readEvidence(t, "none_without_records")
	is.Equal(evidence.Policy, load.PolicyNoRecords)
	is.True(evidence.Report().Doubled > 0)
}
