// Package gossip decides whom a daemon tells about the fleet in each round, and
// what it passes on of what others have told it.
//
// A daemon sends a bounded number of beacons in a round, whatever the size of
// the fleet. Each beacon carries the sender's own load and the latest loads that
// it has heard of others. What is news is passed on in the next round, so a load
// reaches a whole failure domain in a few rounds, and old news dies out because
// newer news of others takes its place.
//
// Beacons to other failure domains carry the loads of the own one only, and
// become rarer as the fleet grows: the links between failure domains are the
// scarce ones. Their receivers pass the loads on within their own failure
// domain.
//
// Usage:
//
//	board := gossip.NewBoard(gossip.NearReports)
//	news := board.Put(&report)       // for each report heard
//	reports := board.Take(now)       // for the next round
//
//	rounds := gossip.NewRounds(seed)
//	plan := rounds.Next(near, far)   // once in each Interval
package gossip

import (
	"cmp"
	"slices"
	"time"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/placement"
)

// RoundInterval is the time between two rounds.
const RoundInterval = 100 * time.Millisecond

// MaxNearReports and FarReports are the numbers of passed on loads in a beacon, of
// the own and of other failure domains. With 35 bytes each, a beacon stays below
// the smallest common size of a packet, 1,400 bytes.
const (
	MaxNearReports = 20
	MaxFarReports  = 10
)

// distinct is the least time between two reports of one backend server. Copies of
// one report that took different ways differ by less: each way adds a few
// milliseconds that are not counted.
const distinct = RoundInterval / 2

// memory is how long it is remembered what was passed on of a server.
const memory = 10 * time.Second

// ReportBuffer keeps the latest report of each backend server, and which of them are
// news.
type ReportBuffer struct {
	limit   int
	entries map[backend.ID]*entry
	news    []*entry
}

type entry struct {
	report placement.Report
	// isNews is set until the report is passed on.
	isNews bool
	// passed is when a report of the server was last passed on.
	passed id.Instant
}

// NewReportBuffer returns a board that passes on as many reports in a round as limit
// says.
func NewReportBuffer(limit int) *ReportBuffer {
	return &ReportBuffer{limit: limit, entries: map[backend.ID]*entry{}}
}

// Put takes in a report and returns whether it is news.
func (b *ReportBuffer) Put(report *placement.Report) bool {
	known := b.entries[report.Server]
	if known == nil {
		known = &entry{}
		b.entries[report.Server] = known
	} else if report.At < known.report.At.Add(distinct) {
		return false
	}
	known.report = *report
	if !known.isNews {
		known.isNews = true
		b.news = append(b.news, known)
	}
	return true
}

// Take returns the reports to pass on in this round: those that are newest
// compared with what was last passed on of the same server.
func (b *ReportBuffer) Take(now id.Instant) []placement.Report {
	slices.SortFunc(b.news, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(y.report.At-y.passed, x.report.At-x.passed), cmp.Compare(x.report.Server, y.report.Server))
	})
	taken := b.news[:min(len(b.news), b.limit)]
	reports := make([]placement.Report, 0, len(taken))
	for _, one := range taken {
		reports = append(reports, one.report)
		one.passed = now
	}
	for _, one := range taken {
		one.isNews = false
	}
	b.news = slices.Delete(b.news, 0, len(taken))
	b.forget(now)
	return reports
}

// forget drops the servers of which nothing has been heard for long. It looks at
// a few in each round.
func (b *ReportBuffer) forget(now id.Instant) {
	looks := b.limit
	for server, one := range b.entries {
		if looks--; looks < 0 {
			return
		}
		if now.Sub(one.report.At) > memory {
			delete(b.entries, server)
		}
	}
}
