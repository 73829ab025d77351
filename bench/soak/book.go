package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// run is one arrival of a request at a backend server.
type run struct {
	service, target string
	// draining is since when the backend server was listed as leaving, or zero.
	draining time.Time
	at       time.Time
	// rejected is set when the backend server said that the request has not run.
	rejected bool
}

// call is a request of a client and its end.
type call struct {
	id, target string
	idempotent bool
	began      time.Time
	took       time.Duration
	// calm is set when nothing had harmed the host shortly before or meanwhile;
	// stopping when its daemon had been asked to end.
	calm, stopping bool
	status         int
	body           []byte
	signed         bool
	err            error
	// moved holds the services that may run a request of the route that moves.
	moved map[string]bool
}

// book keeps what clients and backend servers have seen.
type book struct {
	mu    sync.Mutex
	runs  map[string][]run
	calls []call
}

func newBook() *book { return &book{runs: map[string][]run{}} }

func (b *book) ran(id string, one run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id] = append(b.runs[id], one)
}

func (b *book) ended(one call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, one)
}

const (
	// drainBound is the time after which no request reaches a leaving backend
	// server, from the pages' bounds.
	drainBound = 2 * time.Second
	// recoverShare of the requests is served after the last fault; from the pages'
	// rules.
	recoverShare = 0.25
)

// Report is the result of one seed.
type Report struct {
	Seed                      uint64
	Calls, Served, Unanswered int
	// Broken says which promise was broken by which request.
	Broken []string
	Faults []string
}

// check compares what clients were told with what has run.
func (b *book) check(report *Report, calmSince time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[string]*call{}
	late, lateServed := 0, 0
	for i := range b.calls {
		one := &b.calls[i]
		known[one.id] = one
		report.Calls++
		served := one.err == nil && one.status == http.StatusOK
		if served {
			report.Served++
		}
		if one.err != nil {
			report.Unanswered++
		}
		if one.began.After(calmSince) {
			late++
			if served {
				lateServed++
			}
		}
		for _, broken := range one.broken(b.runs[one.id]) {
			report.Broken = append(report.Broken, fmt.Sprintf("%s: %s %s on %v after %v", broken, one.target, one.id, one.status, one.took))
		}
	}
	for id, runs := range b.runs {
		if known[id] == nil {
			report.Broken = append(report.Broken, "unasked: "+id)
		}
		for _, one := range runs {
			if known[id] != nil && known[id].calm && !one.draining.IsZero() && one.at.Sub(one.draining) > drainBound {
				report.Broken = append(report.Broken, fmt.Sprintf("sent to a leaving backend server after %v: %s", one.at.Sub(one.draining), id))
			}
		}
	}
	if late == 0 || float64(lateServed) < recoverShare*float64(late) {
		report.Broken = append(report.Broken, fmt.Sprintf("not recovered: %d of %d served after the last fault", lateServed, late))
	}
}

// broken returns the promises that the request broke.
func (c *call) broken(arrivals []run) []string {
	var broken []string
	executed := 0
	for _, one := range arrivals {
		if one.rejected {
			continue
		}
		executed++
		if one.target != c.target {
			broken = append(broken, "ran with another target")
		}
		if c.moved != nil && !c.moved[one.service] {
			broken = append(broken, "ran by "+one.service+", which no version in force names")
		}
		if c.moved == nil && one.service != shop {
			broken = append(broken, "ran by a service that no version names")
		}
	}
	if !c.idempotent && executed > 1 {
		broken = append(broken, "ran twice")
	}
	switch {
	case c.err != nil:
		if c.calm && c.stopping {
			broken = append(broken, "cut off by a planned stop")
		}
	case c.status == http.StatusOK:
		if !c.signed || !bytes.Equal(c.body, content(c.id)) || executed == 0 {
			broken = append(broken, "answered with something else")
		}
	case !c.idempotent && (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests):
		if executed > 0 {
			broken = append(broken, "promised not to have run, and ran")
		}
	case c.calm && c.status == http.StatusNotFound:
		broken = append(broken, "refused a route that is in force")
	}
	return broken
}
