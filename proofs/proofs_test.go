package proofs_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	_ "marjoramsaddle/core/census" // registers its plug-in
	"marjoramsaddle/core/kernel"
	_ "marjoramsaddle/core/member"  // registers its plug-in
	_ "marjoramsaddle/core/overlay" // registers its plug-in
	_ "marjoramsaddle/core/reader"  // registers its plug-in
	_ "marjoramsaddle/core/spread"  // registers its plug-in
	"marjoramsaddle/core/trace"
)

const (
	testdataDir  = "testdata"
	traceSuffix  = ".trace.gz"
	expectSuffix = ".expect.json"
	// maxTraceBytes bounds each trace file, to keep the repository small.
	maxTraceBytes = 300_000
)

func readTrace(t *testing.T, name string) (*trace.Trace, trace.Expectation) {
	t.Helper()
	is := is.New(t)
	file, err := os.Open(filepath.Join(testdataDir, name+traceSuffix))
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	is.NoErr(err)
	is.True(info.Size() <= maxTraceBytes)
	recorded, err := trace.Read(file)
	is.NoErr(err)
	is.True(recorded.Header != nil)
	is.Equal(recorded.Header.DroppedEvents, uint64(0)) // no events are missing at the start
	data, err := os.ReadFile(filepath.Join(testdataDir, name+expectSuffix))
	is.NoErr(err)
	var expected trace.Expectation
	is.NoErr(json.Unmarshal(data, &expected))
	is.True(len(expected.Allowed) > 0 && len(expected.Due) > 0)
	return recorded, expected
}

// Guards against a daemon that violates a guarantee on configurations under a
// fault. The traces were recorded from separate processes.
func TestTracesMeetExpectations(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(testdataDir, "*", "*"+traceSuffix))
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(strings.TrimPrefix(file, testdataDir+"/"), traceSuffix)
		t.Run(name, func(t *testing.T) {
			recorded, expected := readTrace(t, name)
			for _, violation := range expected.Check(trace.ReplayOutcome(recorded.Header.Environment, recorded.Records)) {
				t.Error(violation)
			}
		})
	}
}

// Guards against a trace that meets its expectation whether or not the mechanism
// under test works.
func TestTracesFailWithMechanismDisabled(t *testing.T) {
	acceptOlder := kernel.Options{AcceptOlder: true}
	acceptPartial := kernel.Options{AcceptPartial: true}
	noValidation := kernel.Options{NoValidation: true}
	cases := []struct {
		trace     string
		disabled  kernel.Options
		guarantee trace.Guarantee
	}{
		{"kill_one_stale/depot-rose-hill-5.1", acceptOlder, trace.NeverOlder},
		{"kill_domain_stale/depot-rose-hill-5.1", acceptOlder, trace.NeverOlder},
		{"two_faults/depot-rose-hill-5.1", acceptOlder, trace.NeverOlder},
		{"bad_dangling/depot-rose-hill-5.1", noValidation, trace.NoDangling},
		{"bad_dangling/counter-rose-hill-2.1", noValidation, trace.NoDangling},
		{"two_faults/depot-rose-hill-5.1", noValidation, trace.NoDangling},
		{"bad_dangling/depot-rose-hill-5.1", noValidation, trace.MustRefuse},
		{"torn/counter-ebene-4.1", acceptPartial, trace.NeverPartial},
		{"bad_hash/depot-rose-hill-5.1", acceptPartial, trace.NeverPartial},
		{"bad_missing/depot-rose-hill-5.1", acceptPartial, trace.NeverPartial},
		{"part_repaired/depot-ebene-1.1", acceptPartial, trace.NeverPartial},
		{"two_operators/counter-ebene-4.1", acceptPartial, trace.NeverPartial},
		{"pause/depot-ebene-1.1", kernel.Options{NoResync: true}, trace.AfterPause},
	}
	for _, c := range cases {
		t.Run(c.trace+" "+string(c.guarantee), func(t *testing.T) {
			is := is.New(t)
			recorded, expected := readTrace(t, c.trace)
			env := recorded.Header.Environment
			is.Equal(env.Options, kernel.Options{}) // recorded with all mechanisms enabled
			env.Options = c.disabled
			violated := false
			for _, violation := range expected.Check(trace.ReplayOutcome(env, recorded.Records)) {
				t.Log(violation)
				violated = violated || violation.Guarantee == c.guarantee
			}
			is.True(violated)
		})
	}
}
