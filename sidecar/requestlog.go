package sidecar

import (
	"sync/atomic"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"marjoramsaddle/core/placement"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/ingress"
	"marjoramsaddle/io/relay"
	"marjoramsaddle/io/telemetry"
)

const (
	// servedLinesPerSecond and failedLinesPerSecond limit the log lines on requests
	// that were and were not served. A daemon has some hundred requests per second at
	// peak load; failures are what operators look for.
	servedLinesPerSecond = 20
	failedLinesPerSecond = 200
	// relayedLinesPerSecond limits the log lines on requests that other daemons sent
	// here and that were not served; at peak load most of those only ask for a free
	// slot.
	relayedLinesPerSecond = 50
	// burstSeconds is how many seconds' worth of lines may be written in a burst.
	burstSeconds = 2
)

// requestLog counts requests and logs each of them, within rate limits.
type requestLog struct {
	log            *zap.Logger
	metrics        *telemetry.Metrics
	servedLimiter  *rate.Limiter
	failedLimiter  *rate.Limiter
	relayedLimiter *rate.Limiter
	suppressed     atomic.Int64
}

func newRequestLog(log *zap.Logger, metrics *telemetry.Metrics) *requestLog {
	return &requestLog{
		log: log, metrics: metrics,
		servedLimiter:  rate.NewLimiter(servedLinesPerSecond, burstSeconds*servedLinesPerSecond),
		failedLimiter:  rate.NewLimiter(failedLinesPerSecond, burstSeconds*failedLinesPerSecond),
		relayedLimiter: rate.NewLimiter(relayedLinesPerSecond, burstSeconds*relayedLinesPerSecond),
	}
}

// Done counts and logs a finished request.
func (l *requestLog) Done(record *ingress.Record) {
	outcome, limiter := refusal.Ran, l.servedLimiter
	if record.Refused != nil {
		outcome, limiter = record.Refused.Outcome, l.failedLimiter
		l.metrics.Refusal(record.Refused.Reason)
	}
	l.metrics.Call(outcome, record.Elapsed)
	if !limiter.Allow() {
		l.suppressed.Add(1)
		return
	}
	fields := []zap.Field{
		zap.String("request_id", record.RequestID), zap.String("route", record.Route),
		zap.String("service", string(record.Service)), zap.Uint64("version", uint64(record.Version)),
		zap.String("server", string(record.Server)), zap.Int("attempts", record.Attempts),
		zap.Int("arrivals", record.Arrivals), zap.Int("status", record.Status),
		zap.Duration("took", record.Elapsed), zap.Duration("left", record.Left), zap.Duration("expected", record.Expected),
		zap.Bool("internal", record.Internal), zap.Duration("behind", record.Behind),
	}
	if record.Refused == nil {
		l.log.Info("answered", fields...)
		return
	}
	fields = append(fields, zap.String("outcome", outcome.String()), zap.String("reason", record.Refused.Reason.String()))
	if record.Refused.Cause != nil {
		fields = append(fields, zap.String("cause", record.Refused.Cause.Error()))
	}
	l.log.Warn("not answered", fields...)
}

// Refused logs a request from another daemon that the local backend server did not
// serve, with the load at that time.
func (l *requestLog) Refused(requestID string, call relay.Call, refused *refusal.Error, load placement.Report) {
	if !l.relayedLimiter.Allow() {
		l.suppressed.Add(1)
		return
	}
	l.log.Info("offer not served", zap.String("request_id", requestID), zap.String("server", string(call.Server)),
		zap.String("reason", refused.Reason.String()), zap.String("outcome", refused.Outcome.String()),
		zap.Bool("no_wait", call.NoWait), zap.Duration("left", call.Left), zap.Int("running", load.Running),
		zap.Int("queued", load.Queued), zap.Int("slots", load.Slots), zap.Duration("service_time", load.Service),
		zap.Float64("failures", load.FailureRate), zap.Duration("link_wait", load.LinkWait),
		zap.NamedError("cause", refused.Cause))
}

// Retry counts a failed attempt that may be followed by another, by its reason.
func (l *requestLog) Retry(reason refusal.Reason) { l.metrics.Retry(reason) }

// logSuppressed logs how many lines were suppressed since its last call.
func (l *requestLog) logSuppressed() {
	if count := l.suppressed.Swap(0); count > 0 {
		l.log.Info("request lines left out", zap.Int64("lines", count))
	}
}
