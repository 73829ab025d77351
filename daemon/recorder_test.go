package daemon

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/trace"
)

// slowFile is a file whose writes block until release is closed.
type slowFile struct {
	bytes.Buffer
	release chan struct{}
}

func (f *slowFile) Write(data []byte) (int, error) {
	<-f.release
	return f.Buffer.Write(data)
}

func (f *slowFile) Close() error { return nil }

// Guards against a slow disk that blocks the control goroutine, and against a
// trace with a gap, whose replay would be wrong.
func TestRecorderDoesNotBlock(t *testing.T) {
	is := is.New(t)
	file := &slowFile{release: make(chan struct{})}
	r := newRecorder(file, kernel.Environment{RandomSeed: 4}, zap.NewNop())
	for at := range id.Instant(2 * recorderQueueLength) {
		r.add(at, kernel.Tick{})
	}
	is.True(r.overflowed)
	close(file.release)
	r.add(1, kernel.Tick{})
	r.close()
	recorded, err := trace.Read(&file.Buffer)
	is.NoErr(err)
	is.Equal(recorded.Header.Environment.RandomSeed, uint64(4))
	is.True(len(recorded.Records) >= recorderQueueLength)
	for index, record := range recorded.Records {
		is.Equal(record.At, id.Instant(index)) // no gap
	}
}

// Guards against a trace of recent events that does not report how many older
// ones were dropped.
func TestRecentEventsReportDroppedCount(t *testing.T) {
	is := is.New(t)
	recent := newRecentEvents(3, kernel.Environment{RandomSeed: 5})
	for at := range id.Instant(5) {
		recent.add(at, kernel.Tick{})
	}
	var out bytes.Buffer
	is.NoErr(recent.write(&out))
	recorded, err := trace.Read(&out)
	is.NoErr(err)
	is.Equal(recorded.Header.DroppedEvents, uint64(2))
	is.Equal(recorded.Header.Environment.RandomSeed, uint64(5))
	is.Equal(recorded.Records[0].At, id.Instant(2))
}
