package sidecar

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/id"
)

// Guards against logs that do not show how long a daemon has known that its copy is
// outdated: the time counts from the first announcement, until the copy has the newest
// revision announced.
func TestLagCountsFromFirstAnnouncement(t *testing.T) {
	is := is.New(t)
	var l lag
	now := id.Instant(time.Hour)
	is.Equal(l.age(0, now), time.Duration(0))
	l.recordAnnouncement(5, 4, now)
	l.recordAnnouncement(6, 4, now.Add(time.Second))
	l.recordAnnouncement(5, 4, now.Add(time.Second))
	is.Equal(l.age(4, now.Add(2*time.Second)), 2*time.Second)
	is.Equal(l.age(5, now.Add(2*time.Second)), 2*time.Second)
	is.Equal(l.age(6, now.Add(2*time.Second)), time.Duration(0))
	l.recordAnnouncement(7, 6, now.Add(3*time.Second))
	is.Equal(l.age(6, now.Add(4*time.Second)), time.Second)
}
