package proofs

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/bench/load"
)

// maxNewWorkDelay is the guaranteed bound on the time from the start of a drain
// until a backend server receives no new work.
const maxNewWorkDelay = 3 * time.Second

func readEvidence(t *testing.T, name string) load.Evidence {
	t.Helper()
	evidence, err := load.ReadEvidence(filepath.Join("testdata", "calls", name+".json.gz"))
	if err != nil {
		t.Fatal(err)
	}
	return evidence
}

// Guards against truncated responses, responses to another call, calls that ran
// although they were refused as not run, idempotency keys that ran twice, and
// work lost in a planned stop. The test compares what the callers of a recorded
// run received with the journals of the backend servers.
func TestRecordedCallsMeetGuarantees(t *testing.T) {
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
			is.True(report.NewWorkAfterLeaveMsMax < float64(maxNewWorkDelay/time.Millisecond))
		})
	}
}

// Guards against a comparison that cannot detect repeated orders: without
// idempotency records in the daemons, the recorded run has orders that ran twice.
func TestOrdersRunTwiceWithoutIdempotencyRecords(t *testing.T) {
	is := is.New(t)
	evidence := readEvidence(t, "none_without_records")
	is.Equal(evidence.Policy, load.PolicyNoRecords)
	is.True(evidence.Report().Doubled > 0)
}
