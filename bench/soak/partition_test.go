package soak

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against versions that come late because a failure domain hears nothing of the
// others while the daemons that read the store are all on the other side. Each host still
// reaches the store, so all must have the version in time.
func TestDomainWithoutReadersGetsVersions(t *testing.T) {
	w := startFleet(t, 190, versionHosts)
	c := &faultInjector{w: w, began: time.Now(), random: rand.New(rand.NewPCG(190, 1))} //nolint:gosec // A fixed sequence.
	for round, h := range w.hosts[:3] {
		time.Sleep(2 * settleTime)
		end := separateDomain(c, h)
		late := w.lateHosts(round, nil)
		end()
		if len(late) > 0 {
			t.Errorf("hosts do not have the version %v after it was acknowledged, %s separated:\n%s", applyDeadline, h.domain, strings.Join(late, "\n"))
		}
	}
}

// Guards against a partition that separates hosts of one side, or that does not end.
func TestPartitionSeparatesDomains(t *testing.T) {
	is := is.New(t)
	a, b, c := &host{domain: "d1"}, &host{domain: "d2"}, &host{domain: "d3"}
	var p partition
	is.True(!p.separates(a, b))
	is.True(p.start("d1"))
	is.True(!p.start("d2"))
	is.True(p.separates(a, b) && p.separates(c, a))
	is.True(!p.separates(b, c) && !p.separates(a, a))
	p.end()
	is.True(!p.separates(a, b))
}
