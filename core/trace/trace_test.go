package trace_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	"marjoramsaddle/core/trace"
)

func events() []kernel.Event {
	push := &message.Push{Version: 7, Digest: []byte{1, 2}, Base: 6, Payload: []byte("delta")}
	return []kernel.Event{
		kernel.Tick{},
		kernel.LinkUp{Host: "a", Domain: "reduit", Outbound: true},
		kernel.LinkDown{Host: "a"},
		kernel.Received{Host: "a", Frame: &message.Frame{Body: &message.Frame_Push{Push: push}}},
		kernel.ManifestRead{Index: 7, Data: []byte("{}"), Consistent: true},
		kernel.PartRead{Digest: id.DigestOf([]byte("[]")), Data: []byte("[]")},
		kernel.HostListRead{Domain: "reduit", Index: 3, Data: []byte("[]")},
		kernel.ReadFailed{Read: kernel.ReadKindPart, Cause: "timeout"},
		kernel.BackendState{Ready: true, Draining: true},
		kernel.DrainRequested{},
		kernel.StatusRequested{ID: 9, Deadline: 11},
	}
}

func write(t testing.TB, events []kernel.Event) string {
	t.Helper()
	var out bytes.Buffer
	writer := trace.NewWriter(&out)
	for index, event := range events {
		if err := writer.Write(id.Instant(index), event); err != nil {
			t.Fatal(err)
		}
	}
	return out.String()
}

// Guards against an event that loses a field between recording and replay.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	want := events()
	text := write(t, want)
	is.Equal(strings.Count(text, "\n"), len(want)) // one line per event
	records, err := trace.ReadAll(strings.NewReader(text))
	is.NoErr(err)
	is.Equal(len(records), len(want))
	for index, record := range records {
		is.Equal(record.At, id.Instant(index))
		got, isFrame := record.Event.(kernel.Received)
		if !isFrame {
			is.Equal(record.Event, want[index])
			continue
		}
		sent := want[index].(kernel.Received)
		is.Equal(got.Host, sent.Host)
		is.True(proto.Equal(got.Frame, sent.Frame))
	}
}

// Guards against a damaged trace that is replayed up to the damage without an error.
func TestReaderNamesTheLine(t *testing.T) {
	is := is.New(t)
	_, err := trace.ReadAll(strings.NewReader(`{"at":1,"event":"tick"}` + "\n" + `{"at":2,"event":"tock"}`))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "line 2"))
}

// FuzzReader guards against a trace that makes the reader panic, and against an event
// that reads back differently after it is written again.
func FuzzReader(f *testing.F) {
	f.Add([]byte(write(f, events())))
	f.Add([]byte(`{"at":1,"event":"received","body":{"host":"a","frame":{}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := trace.NewReader(bytes.NewReader(data))
		for {
			record, err := reader.Next()
			if err != nil {
				return
			}
			first := write(t, []kernel.Event{record.Event})
			again, err := trace.ReadAll(strings.NewReader(first))
			if err != nil || len(again) != 1 {
				t.Fatalf("%q does not read again: %v", first, err)
			}
			if second := write(t, []kernel.Event{again[0].Event}); second != first {
				t.Fatalf("%q was written again as %q", first, second)
			}
		}
	})
}
