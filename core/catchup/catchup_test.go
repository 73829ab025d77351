package catchup

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marjoramsaddle/core/id"
)

// Guards against a daemon that waits for silent daemons one after the other, asks again
// while a response is arriving, asks all others at once, or asks a busy one without pause.
func TestRounds(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		round, now := NewRound(), id.Instant(time.Hour)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var address string
			var after int
			d.MaybeScanArgs(t, "daemon", &address)
			d.MaybeScanArgs(t, "after_ms", &after)
			now = now.Add(time.Duration(after) * time.Millisecond)
			switch d.Cmd {
			case "asked":
				round.Asked(address, now)
			case "responding":
				round.Responding(address, now)
			case "busy":
				round.Busy(address, now)
			case "failed":
				round.Failed(address, now)
			case "may_ask":
				return fmt.Sprintf("%t\n", round.MayAsk(address, now))
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			at, more := round.NextAt()
			if !more {
				return fmt.Sprintf("pending %d, ask no other\n", round.Pending())
			}
			return fmt.Sprintf("pending %d, ask another in %v\n", round.Pending(), at.Sub(now))
		})
	})
}
