package shutdown

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marjoramsaddle/core/id"
)

// Guards against a stopping daemon that begins requests which cannot end before it does,
// wherever they come from, or that refuses those which can.
func TestPlans(t *testing.T) {
	began := id.Instant(time.Hour)
	origins := map[string]Origin{}
	for origin := range OriginCount {
		origins[origin.String()] = origin
	}
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var plan *Plan
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			at := func(name string) id.Instant {
				var milliseconds int
				d.MaybeScanArgs(t, name, &milliseconds)
				return began.Add(time.Duration(milliseconds) * time.Millisecond)
			}
			switch d.Cmd {
			case "stop":
				plan = NewPlan(began, at("grace_ms").Sub(began))
				return fmt.Sprintf("noticed at %v, accepts until %v, ends at %v\n", plan.NoticedAt().Sub(began).Round(time.Millisecond), plan.AcceptUntil().Sub(began).Round(time.Millisecond), plan.EndsAt().Sub(began))
			case "refuse_new":
				plan = plan.RefuseNew(at("at_ms"))
				return ""
			case "admit":
				var origin string
				d.ScanArgs(t, "origin", &origin)
				now := at("arrived_ms")
				if d.HasArg("now_ms") {
					now = at("now_ms")
				}
				work := Work{Origin: origins[origin], Arrived: at("arrived_ms"), Deadline: at("deadline_ms"), Expected: at("expected_ms").Sub(began)}
				deadline, admitted := plan.Admit(work, now)
				if !admitted {
					return "refused\n"
				}
				return fmt.Sprintf("until %v\n", deadline.Sub(began))
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
				return ""
			}
		})
	})
}
