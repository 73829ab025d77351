package sidecar

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/mirror"
)

// Guards against logs that do not show how long a daemon has known that its copy is
// outdated: the time counts from the first announcement, until the copy has the newest
// revision announced.
func TestLagCountsFromFirstAnnouncement(t *testing.T) {
	is := is.New(t)
	var l lag
	now := id.Instant(time.Hour)
	is.Equal(l.age(mirror.Position{}, now), time.Duration(0))
	l.recordAnnouncement(firstEra(5), firstEra(4), now)
	l.recordAnnouncement(firstEra(6), firstEra(4), now.Add(time.Second))
	l.recordAnnouncement(firstEra(5), firstEra(4), now.Add(time.Second))
	is.Equal(l.age(firstEra(4), now.Add(2*time.Second)), 2*time.Second)
	is.Equal(l.age(firstEra(5), now.Add(2*time.Second)), 2*time.Second)
	is.Equal(l.age(firstEra(6), now.Add(2*time.Second)), time.Duration(0))
	l.recordAnnouncement(firstEra(7), firstEra(6), now.Add(3*time.Second))
	is.Equal(l.age(firstEra(6), now.Add(4*time.Second)), time.Second)
}
