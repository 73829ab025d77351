package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
)

// Guards against an occupancy that counts servers whose reports are old, or that accept
// nothing, as room for calls.
func TestOccupancy(t *testing.T) {
	is := is.New(t)
	chooser := New("here", 1)
	now := id.Instant(time.Hour)
	_, known := chooser.Occupancy("depot", now)
	is.True(!known)
	chooser.SetServers([]backend.Server{
		{ID: "near", Service: "depot", Domain: "here", Slots: 6},
		{ID: "far", Service: "depot", Domain: "there", Slots: 6},
		{ID: "leaving", Service: "depot", Domain: "here", Slots: 6},
		{ID: "other", Service: "counter", Domain: "here", Slots: 6},
	})
	_, known = chooser.Occupancy("depot", now)
	is.True(!known)
	chooser.Report(Report{Server: "near", Running: 6, Queued: 2, Slots: 6, At: now})
	chooser.Report(Report{Server: "far", Running: 1, Slots: 3, At: now})
	chooser.Report(Report{Server: "leaving", Slots: 6, Leaving: true, At: now})
	chooser.Report(Report{Server: "other", Slots: 6, At: now})
	used, known := chooser.Occupancy("depot", now)
	is.True(known)
	is.Equal(used, 1.0)
	later := now.Add(reportTTL)
	chooser.Report(Report{Server: "far", Running: 1, Slots: 3, At: later})
	used, known = chooser.Occupancy("depot", later)
	is.True(known)
	is.Equal(used, 1.0/3)
	_, known = chooser.Occupancy("depot", later.Add(time.Hour))
	is.True(!known)
}
