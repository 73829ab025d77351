package trace_test

import (
	"bytes"
	"compress/gzip"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/trace"
)

// Guards against a header that loses a field, and against a trace of a killed process
// that cannot be read or does not report the truncation.
func TestReadTruncatedTrace(t *testing.T) {
	is := is.New(t)
	header := trace.Header{DroppedEvents: 7, Environment: kernel.Environment{
		Self:  endpoint.Entry{Host: "a", Domain: "reduit", Incarnation: 3, Sequence: 1},
		Seeds: []kernel.Seed{{Host: "b", Domain: "ebene", Address: "192.0.2.1:1"}}, RandomSeed: 9, HasPlatform: true,
		Options: kernel.Options{
			Strategy: kernel.StrategyFull, NoFloor: true, NoWitness: true, AcceptOlder: true,
			AcceptPartial: true, NoValidation: true, NoResync: true,
		},
	}}
	var compressed bytes.Buffer
	compressor := gzip.NewWriter(&compressed)
	writer := trace.NewWriter(compressor)
	is.NoErr(writer.WriteHeader(1, header))
	is.NoErr(writer.Write(2, kernel.Tick{}))
	_, err := compressor.Write([]byte(`{"at":3,"event":"ti`))
	is.NoErr(errors.Join(err, compressor.Close()))
	recorded, err := trace.Read(&compressed)
	is.NoErr(err)
	is.Equal(*recorded.Header, header)
	is.Equal(recorded.Records, []trace.Record{{At: 2, Event: kernel.Tick{}}})
	is.True(recorded.Truncated)
	_, err = trace.Read(strings.NewReader("{\n{\"at\":1,\"event\":\"tick\"}\n"))
	is.True(err != nil) // damage before the last line is not a truncation
}

// Guards against a violation that Check does not report.
func TestCheckFindsEachViolation(t *testing.T) {
	good := func(at id.Instant, version id.Version) trace.Change {
		return trace.Change{At: at, Kind: trace.InForce, Version: version, Digest: id.Digest{byte(version)}}
	}
	ready := func(at id.Instant, ready kernel.Readiness) trace.Change {
		return trace.Change{At: at, Kind: trace.Readiness, Ready: ready}
	}
	expected := trace.Expectation{
		Allowed:  []trace.Allowed{{Version: 5, Digest: id.Digest{5}}, {Version: 7, Digest: id.Digest{7}}},
		Refused:  []id.Version{6},
		Due:      []trace.Due{{Version: 7, By: 50}},
		Minimum:  []trace.Minimum{{Version: 7, From: 30}},
		Counters: map[string]int{"resync": 1},
	}
	met := []trace.Change{
		good(10, 5), ready(10, kernel.Serving),
		{At: 20, Kind: trace.Refused, Version: 6},
		ready(31, kernel.Resyncing), good(40, 7), ready(40, kernel.Serving),
	}
	with := func(index int, change ...trace.Change) []trace.Change {
		return append(append(met[:index:index], change...), met[index+1:]...)
	}
	cases := []struct {
		name     string
		changes  []trace.Change
		promises []trace.Guarantee
	}{
		{"met", met, nil},
		{"older at the start", with(0, good(10, 4)), []trace.Guarantee{trace.NeverOlder}},
		{"older later", append(met[:6:6], good(60, 5)), []trace.Guarantee{trace.NeverOlder, trace.AfterPause}},
		{"bad one", with(0, good(10, 6)), []trace.Guarantee{trace.NeverPartial}},
		{"other content", with(0, trace.Change{At: 10, Kind: trace.InForce, Version: 5}), []trace.Guarantee{trace.NeverPartial}},
		{"dangling", with(0, trace.Change{Kind: trace.InForce, Version: 5, Digest: id.Digest{5}, DanglingRoutes: []string{"r"}}), []trace.Guarantee{trace.NoDangling}},
		{"not refused", with(2), []trace.Guarantee{trace.MustRefuse}},
		{"late", with(4, good(51, 7)), []trace.Guarantee{trace.InTime}},
		{"served after the pause", with(3), []trace.Guarantee{trace.AfterPause}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			outcome := trace.Outcome{Changes: c.changes, Counters: map[string]int{"resync": 1}, Events: []id.Instant{10, 20, 31, 40, 60}}
			var promises []trace.Guarantee
			for _, violation := range expected.Check(outcome) {
				promises = append(promises, violation.Guarantee)
			}
			is.Equal(promises, c.promises)
			is.Equal(len(expected.Check(trace.Outcome{})), 3) // not refused, not in force, not counted
		})
	}
}
