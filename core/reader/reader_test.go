package reader

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/manifest"
	"marjoramsaddle/core/topology"
)

func TestMain(m *testing.M) {
	kernel.Register("witness", func(_ kernel.Environment, shared *kernel.SharedState) kernel.Plugin {
		shared.TableSettled = true
		return eventLogger{}
	})
	os.Exit(m.Run())
}

// eventLogger turns the events that the reader raises into log actions.
type eventLogger struct{}

func (eventLogger) Handle(_ id.Instant, event kernel.Event, out *kernel.Output) {
	switch event := event.(type) {
	case VersionRead:
		out.Emit(kernel.Log{Text: fmt.Sprintf("version_read %d consistent=%t documents=%d",
			event.Snapshot.Version, event.Consistent, len(event.Snapshot.Documents().Canonical))})
	case VersionRefused:
		out.Emit(kernel.Log{Text: fmt.Sprintf("version_refused %d: %s", event.Version, event.Reason)})
	case kernel.HostsListed:
		out.Emit(kernel.Log{Text: fmt.Sprintf("hosts_listed %s %d leaving=%t",
			event.Rows[0].Domain, len(event.Rows), event.Rows[0].State == endpoint.Leaving)})
	}
}

// TestReads feeds the events in testdata/reads to a kernel and compares the actions.
func TestReads(t *testing.T) {
	var k *kernel.Kernel
	at := id.Instant(time.Hour)
	datadriven.RunTest(t, "testdata/reads", func(t *testing.T, data *datadriven.TestData) string {
		if data.Cmd == "new" {
			k = newKernel(data)
			return ""
		}
		if data.Cmd == "run" {
			var ms, ticks int
			data.ScanArgs(t, "ms", &ms)
			var out strings.Builder
			for ticks = ms * 1_000_000 / kernel.TickInterval; ticks > 0; ticks-- {
				at += kernel.TickInterval
				describe(&out, k.Step(at, kernel.Tick{}))
			}
			return out.String()
		}
		var out strings.Builder
		describe(&out, k.Step(at, event(t, data)))
		return out.String()
	})
}

func newKernel(data *datadriven.TestData) *kernel.Kernel {
	env := kernel.Environment{Self: endpoint.Entry{Host: "a1", Domain: "a"}, HasPlatform: true, RandomSeed: 1}
	for _, arg := range data.CmdArgs {
		if arg.Key == "self" {
			env.Self.Host = id.Host(arg.Vals[0])
		}
	}
	if data.HasArg("poll") {
		env.Options.Strategy = kernel.StrategyPoll
	}
	k := kernel.New(env)
	k.SharedState().Table.Merge(env.Self)
	for _, host := range []id.Host{"a1", "a2", "a3", "a4"} {
		if !data.HasArg("alone") {
			k.SharedState().Table.Merge(endpoint.Entry{Host: host, Domain: "a"})
		}
	}
	k.SharedState().Topology = topology.Compute(k.SharedState().Table, env.Self.Host)
	return k
}

// event parses one event. A part is given by its JSON text, a manifest by the texts
// of its parts, one per line.
func event(t *testing.T, data *datadriven.TestData) kernel.Event {
	var index uint64
	data.MaybeScanArgs(t, "index", &index)
	switch data.Cmd {
	case "manifest":
		return kernel.ManifestRead{Index: id.Version(index), Data: manifestOf(data.Input), Consistent: data.HasArg("consistent")}
	case "part":
		content := data.Input
		if data.HasArg("damaged") {
			content += " "
		}
		return kernel.PartRead{Digest: id.DigestOf([]byte(data.Input)), Data: []byte(content)}
	case "hosts":
		return kernel.HostListRead{Domain: "a", Index: id.Version(index), Data: []byte(data.Input)}
	case "failed":
		return kernel.ReadFailed{Read: kernel.Read(data.CmdArgs[0].Key)}
	default:
		t.Fatalf("unknown command %s", data.Cmd)
		return nil
	}
}

func manifestOf(texts string) []byte {
	if texts == "" {
		return nil
	}
	entry := manifest.Manifest{Format: manifest.Format}
	for _, text := range strings.Split(texts, "\n") {
		entry.Parts = append(entry.Parts, manifest.Part{SHA256: id.DigestOf([]byte(text)), Bytes: len(text)})
	}
	data, _ := json.Marshal(entry)
	return data
}

func describe(out *strings.Builder, actions []kernel.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case kernel.ReadPart:
			fmt.Fprintln(out, "read_part", action.Part.SHA256.Short())
		case kernel.Log:
			fmt.Fprintln(out, strings.TrimSpace(action.Part+" "+action.Text))
		default:
			fmt.Fprintf(out, "%s %+v\n", action.ActionName(), action)
		}
	}
}

// Guards against retry delays outside minBackoff and maxBackoff, and against readers
// that failed at the same time and retry at the same time.
func TestBackoffIsJitteredWithinBounds(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	seen := map[time.Duration]bool{}
	for range 200 {
		var delay backoff
		for range 10 {
			delay.fail(0, random)
			is.True(delay.notBefore >= id.Instant(minBackoff) && delay.notBefore <= id.Instant(maxBackoff))
		}
		seen[time.Duration(delay.notBefore)] = true
	}
	is.True(len(seen) > 100) // The delays are spread out.
}
