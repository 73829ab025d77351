package sidecar

import (
	"net/http"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"marjoramsaddle/core/announcement"
	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
	"marjoramsaddle/platform"
)

// announcementLinesPerSecond limits the log lines on announcements, because a backend
// server may change its limit with every response.
const announcementLinesPerSecond = 20

func newAnnouncementLimiter() *rate.Limiter {
	return rate.NewLimiter(announcementLinesPerSecond, burstSeconds*announcementLinesPerSecond)
}

// noLimit is the value of the limit gauge without a limit.
const noLimit = -1

// registerBackendGauges registers the gauges from which the rate of requests at the
// local backend server can be compared with its limit.
func (d *Daemon) registerBackendGauges() error {
	err := d.metrics.Gauge("marjoramsaddle_backend_limit_per_1000_s",
		"Limit announced by the backend server of this host, in requests per 1,000 seconds; -1 without a limit.", func() int64 {
			current := d.localBackend.Current()
			if current == nil {
				return noLimit
			}
			limit := d.announcements.Get(current.Process()).Limit
			if !limit.Announced {
				return noLimit
			}
			return int64(limit.Rate * 1000)
		})
	if err != nil {
		return err
	}
	err = d.metrics.Gauge("marjoramsaddle_backend_cold_ms",
		"Milliseconds for which the backend server of this host still counts as cold.",
		func() int64 { return d.coldWatch.left().Milliseconds() })
	if err != nil {
		return err
	}
	return d.metrics.Gauge("marjoramsaddle_backend_requests_admitted",
		"Requests admitted to the backend server of this host since the daemon started.",
		func() int64 { return int64(d.localBackend.Sent()) })
}

// recordResponse records what a backend server announces in the header of a response to
// a request that was sent at the given instant.
func (d *Daemon) recordResponse(server *backend.Server, header http.Header, sentAt id.Instant) {
	process := server.Process()
	announced, err := platform.Headers{}.Announced(header)
	if err != nil {
		announced.Limit = d.announcements.Get(process).Limit
		d.logAnnouncement(d.log.Warn, "announcement of a backend server rejected", process, zap.Error(err))
	}
	change := d.announcements.Record(process, announced, sentAt, d.now())
	if change.LimitChanged() {
		d.metrics.Control("server_announced", "limit")
		d.logLimit(process, change.Latest.Limit, "response")
		d.applyLimit()
	}
	if change.LeavingChanged() {
		d.metrics.Control("server_announced", "leaving")
		d.logAnnouncement(d.log.Info, "backend server is leaving", process)
		d.storeState.republish()
	}
}

// adoptLimit applies a limit of the local backend server that another daemon knows.
func (d *Daemon) adoptLimit(server *backend.Server, learned announcement.LearnedLimit) {
	if change := d.announcements.Adopt(server.Process(), learned, d.now()); change.LimitChanged() {
		d.logLimit(server.Process(), change.Latest.Limit, "another daemon")
		d.applyLimit()
	}
}

// applyLimit makes the latest limit of the local backend server take effect.
func (d *Daemon) applyLimit() {
	// Without the lock, an older limit could be set after a newer one.
	d.limitMu.Lock()
	defer d.limitMu.Unlock()
	if current := d.localBackend.Current(); current != nil {
		d.localBackend.SetLimit(d.announcements.Get(current.Process()).Limit)
	}
}

// logLimit logs a changed limit and where it comes from.
func (d *Daemon) logLimit(process backend.Process, limit announcement.Limit, source string) {
	if !limit.Announced {
		d.logAnnouncement(d.log.Info, "backend server lifted its limit", process, zap.String("source", source))
		return
	}
	d.logAnnouncement(d.log.Info, "backend server limits its requests", process,
		zap.Float64("requests_per_s", float64(limit.Rate)), zap.String("source", source))
}

// logAnnouncement writes a line on a backend server, unless there are too many.
func (d *Daemon) logAnnouncement(write func(string, ...zap.Field), message string, process backend.Process, fields ...zap.Field) {
	if !d.announcementLimiter.Allow() {
		d.requestLogger.suppressed.Add(1)
		return
	}
	write(message, append(fields, zap.String("server", string(process.ID)), zap.Time("born", process.Born.Time()))...)
}
