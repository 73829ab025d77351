package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/id"
)

// Guards against lookups that fill their own service and then fail because the
// service which they call has room for a quarter of them, as when most of a
// small service leaves in the rush; and against holding back for long after
// there is room again.
func TestShortageOfACalledService(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	throttle, now := New(), id.Instant(time.Hour)
	// second plays one second with 100 requests and room for some of them.
	second := func(room int) (admitted, served int) {
		for i := range 100 {
			now = now.Add(10 * time.Millisecond)
			if !throttle.Admit(now, random.Uint64()) {
				continue
			}
			admitted++
			fits := served < room*(i+1)/100
			if fits {
				served++
			}
			throttle.Done(now, fits)
		}
		return admitted, served
	}
	admitted, _ := second(100)
	is.Equal(admitted, 100)
	for range 5 {
		second(25)
	}
	admitted, served := second(25)
	is.True(admitted < 40)
	is.True(served >= 20)
	for range 12 {
		admitted, _ = second(100)
	}
	is.True(admitted > 95)
}

// Guards against holding back after a few failures.
func TestQuorum(t *testing.T) {
	is := is.New(t)
	throttle, now := New(), id.Instant(time.Hour)
	for range quorum - 1 {
		throttle.Done(now, false)
	}
	is.True(throttle.Admit(now, ^uint64(0)))
	throttle.Done(now, false)
	is.True(!throttle.Admit(now, 0))
	is.True(throttle.Admit(now.Add(10*halfLife), ^uint64(0)))
}
