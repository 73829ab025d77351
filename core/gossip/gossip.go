// Package gossip selects the daemons that receive a beacon in each round, and the
// load reports that the beacon forwards.
//
// A daemon sends a bounded number of beacons per round, whatever the size of the
// fleet. Each beacon carries the sender's own load and the latest loads that it
// has received of others. A new report is forwarded in the next round, so it
// reaches a whole failure domain in a few rounds. Old reports stop spreading
// because newer ones of other servers replace them.
//
// Beacons to other failure domains carry only the loads of the local one and are
// sent less often as the fleet grows, because the links between failure domains
// are the scarce resource. Receivers forward the loads within their own failure
// domain.
//
// # Usage
//
//	buffer := gossip.NewReportBuffer(gossip.MaxNearReports)
//	isNew := buffer.Put(&report)     // for each report received
//	reports := buffer.Take(now)      // for the next round
//
//	selector := gossip.NewPeerSelector(seed)
//	plan := selector.Next(near, far) // once per RoundInterval
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

// MaxNearReports and MaxFarReports bound the forwarded loads in a beacon to the local
// and to other failure domains. At 35 bytes each, a beacon stays below the smallest
// common packet size, 1,400 bytes.
const (
	MaxNearReports = 20
	MaxFarReports  = 10
)

// minReportGap is the minimum time between two reports of one backend server. Copies
// of a report that arrive over different paths differ by less, because each hop adds
// a few milliseconds that its age does not include.
const minReportGap = RoundInterval / 2

// entryTTL is how long the buffer remembers a server after its latest report.
const entryTTL = 10 * time.Second

// ReportBuffer holds the latest report of each backend server and the queue of those to
// forward. It is not safe for concurrent use.
type ReportBuffer struct {
	maxPerRound int
	entries     map[backend.ID]*entry
	unsent      []*entry
}

type entry struct {
	report placement.Report
	// isUnsent is set until the report is forwarded.
	isUnsent bool
	// forwardedAt is when a report of the server was last forwarded.
	forwardedAt id.Instant
}

// NewReportBuffer returns an empty buffer that forwards at most maxPerRound reports
// per round.
func NewReportBuffer(maxPerRound int) *ReportBuffer {
	return &ReportBuffer{maxPerRound: maxPerRound, entries: map[backend.ID]*entry{}}
}

// Put stores a report and returns whether it is newer than the stored one.
func (b *ReportBuffer) Put(report *placement.Report) bool {
	known := b.entries[report.Server]
	if known == nil {
		known = &entry{}
		b.entries[report.Server] = known
	} else if report.At < known.report.At.Add(minReportGap) {
		return false
	}
	known.report = *report
	if !known.isUnsent {
		known.isUnsent = true
		b.unsent = append(b.unsent, known)
	}
	return true
}

// Take returns the reports to forward in this round. Servers whose report is newest
// relative to the last forwarded one come first.
func (b *ReportBuffer) Take(now id.Instant) []placement.Report {
	slices.SortFunc(b.unsent, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(y.report.At-y.forwardedAt, x.report.At-x.forwardedAt), cmp.Compare(x.report.Server, y.report.Server))
	})
	taken := b.unsent[:min(len(b.unsent), b.maxPerRound)]
	reports := make([]placement.Report, 0, len(taken))
	for _, e := range taken {
		reports = append(reports, e.report)
		e.forwardedAt = now
	}
	for _, e := range taken {
		e.isUnsent = false
	}
	b.unsent = slices.Delete(b.unsent, 0, len(taken))
	b.evictStale(now)
	return reports
}

// evictStale drops servers whose report is older than entryTTL. It checks a few of
// them per round.
func (b *ReportBuffer) evictStale(now id.Instant) {
	remaining := b.maxPerRound
	for server, e := range b.entries {
		if remaining--; remaining < 0 {
			return
		}
		if now.Sub(e.report.At) > entryTTL {
			delete(b.entries, server)
		}
	}
}
