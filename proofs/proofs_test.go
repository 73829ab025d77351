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
	folder       = "testdata"
	traceSuffix  = ".trace.gz"
	expectSuffix = ".expect.json"
	// maxTraceBytes keeps the repository small.
	maxTraceBytes = 300_000
)

func readTrace(t *testing.T, name string) (*trace.Trace, trace.Expectation) {
	t.Helper()
	is := is.New(t)
	file, err := os.Open(filepath.Join(folder, name+traceSuffix))
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	is.NoErr(err)
	is.True(info.Size() <= maxTraceBytes)
	recorded, err := trace.Read(file)
	is.NoErr(err)
	is.True(recorded.Header != nil)
	is.Equal(recorded.Header.DroppedEvents, uint64(0)) // whole from the start
	data, err := os.ReadFile(filepath.Join(folder, name+expectSuffix))
	is.NoErr(err)
	var stated trace.Expectation
	is.NoErr(json.Unmarshal(data, &stated))
	is.True(len(stated.Allowed) > 0 && len(stated.Due) > 0)
	return recorded, stated
}

// Guards against a daemon that breaks a promise of the configuration path in a
// fault that was recorded from separate processes.
func TestTracesMeetTheirOutcomes(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(folder, "*", "*"+traceSuffix))
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(strings.TrimPrefix(file, folder+"/"), traceSuffix)
		t.Run(name, func(t *testing.T) {
			recorded, stated := readTrace(t, name)
			for _, breach := range stated.Check(trace.ReplayOutcome(recorded.Header.Environment, recorded.Records)) {
				t.Error(breach)
			}
		})
	}
}

// Guards against a proof that holds whether or not the mechanism works.
func TestTracesBreakWithoutTheMechanism(t *testing.T) {
	older := kernel.Options{AcceptOlder: true}
	partial := kernel.Options{AcceptPartial: true}
	unvalidated := kernel.Options{NoValidation: true}
	cases := []struct {
		trace   string
		off     kernel.Options
		promise trace.Guarantee
	}{
		{"kill_one_stale/depot-rose-hill-5.1", older, trace.NeverOlder},
		{"kill_domain_stale/depot-rose-hill-5.1", older, trace.NeverOlder},
		{"two_faults/depot-rose-hill-5.1", older, trace.NeverOlder},
		{"bad_dangling/depot-rose-hill-5.1", unvalidated, trace.NoDangling},
		{"bad_dangling/counter-rose-hill-2.1", unvalidated, trace.NoDangling},
		{"two_faults/depot-rose-hill-5.1", unvalidated, trace.NoDangling},
		{"bad_dangling/depot-rose-hill-5.1", unvalidated, trace.MustRefuse},
		{"torn/counter-ebene-4.1", partial, trace.NeverPartial},
		{"bad_hash/depot-rose-hill-5.1", partial, trace.NeverPartial},
		{"bad_missing/depot-rose-hill-5.1", partial, trace.NeverPartial},
		{"part_repaired/depot-ebene-1.1", partial, trace.NeverPartial},
		{"two_operators/counter-ebene-4.1", partial, trace.NeverPartial},
		{"pause/depot-ebene-1.1", kernel.Options{NoResync: true}, trace.AfterPause},
	}
	for _, c := range cases {
		t.Run(c.trace+" "+string(c.promise), func(t *testing.T) {
			is := is.New(t)
			recorded, stated := readTrace(t, c.trace)
			env := recorded.Header.Environment
			is.Equal(env.Options, kernel.Options{}) // recorded with all mechanisms
			env.Options = c.off
			broken := false
			for _, breach := range stated.Check(trace.ReplayOutcome(env, recorded.Records)) {
				t.Log(breach)
				broken = broken || breach.Guarantee == c.promise
			}
			is.True(broken)
		})
	}
}
