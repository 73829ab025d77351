package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/id"
)

// Guards against treating a backend server that fails a third of its requests as
// healthy, and against treating one that has recovered as failing for long.
func TestFailures(t *testing.T) {
	is := is.New(t)
	var f FailureRate
	now := id.Instant(time.Hour)
	is.Equal(f.Value(now), 0.0)
	for i := range 90 {
		now = now.Add(10 * time.Millisecond)
		f.Record(i%3 == 0, now)
	}
	is.True(f.Value(now) > 0.25 && f.Value(now) < 0.45)
	is.True(f.Value(now.Add(3*failureHalfLife)) < 0.06)
	for range 60 {
		f.Record(false, now)
	}
	is.True(f.Value(now) < 0.02)
}
