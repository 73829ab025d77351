package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/id"
)

// Guards against backend servers that reject half of their requests using up
// nothing of a budget that is there for them, and against repeats of runs
// taking more than their part, because their calls are repeated as well.
func TestRepeats(t *testing.T) {
	is := is.New(t)
	now := id.Instant(time.Hour)
	count := func(mayHaveRun bool) int {
		repeats, taken := NewRepeats(12, 6), 0
		for range 1000 {
			repeats.First()
			if repeats.Take(now, mayHaveRun) {
				taken++
			}
		}
		return taken
	}
	is.True(count(false) >= 120 && count(false) <= 120+burst+1)
	is.True(count(true) >= 60 && count(true) <= 60+burst+1)
	none := NewRepeats(0, 0)
	none.First()
	is.True(!none.Take(now, false))
}
