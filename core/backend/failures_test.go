package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/id"
)

// Guards against a backend server that fails a third of its requests counting
// as well, and against one that has recovered counting as failing for long.
func TestFailures(t *testing.T) {
	is := is.New(t)
	var f Failures
	now := id.Instant(time.Hour)
	is.Equal(f.Share(now), 0.0)
	for i := range 90 {
		now = now.Add(10 * time.Millisecond)
		f.Sample(i%3 == 0, now)
	}
	is.True(f.Share(now) > 0.25 && f.Share(now) < 0.45)
	is.True(f.Share(now.Add(3*failureHalfLife)) < 0.06)
	for range 60 {
		f.Sample(false, now)
	}
	is.True(f.Share(now) < 0.02)
}
