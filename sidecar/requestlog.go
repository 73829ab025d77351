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
	// servedLines and failedLines bound the lines a second on requests that
	// were and were not served. A daemon has some hundred requests a second in
	// the rush; failures are what operators look for.
	servedLines = 20
	failedLines = 200
	// offerLines bounds the lines a second on offers of other daemons that got
	// no answer here; in the rush most of them only ask for a free slot.
	offerLines = 50
	// burstSeconds is how many seconds' worth of lines may come at once.
	burstSeconds = 2
)

// requestLog counts requests and writes a line for each, within bounds.
type requestLog struct {
	log        *zap.Logger
	metrics    *telemetry.Metrics
	served     *rate.Limiter
	failed     *rate.Limiter
	offers     *rate.Limiter
	suppressed atomic.Int64
}

func newRequestLog(log *zap.Logger, metrics *telemetry.Metrics) *requestLog {
	return &requestLog{
		log: log, metrics: metrics,
		served: rate.NewLimiter(servedLines, burstSeconds*servedLines),
		failed: rate.NewLimiter(failedLines, burstSeconds*failedLines),
		offers: rate.NewLimiter(offerLines, burstSeconds*offerLines),
	}
}

// Done counts and logs the end of a request.
func (l *requestLog) Done(record *ingress.Record) {
	outcome, limiter := refusal.Ran, l.served
	if record.Refused != nil {
		outcome, limiter = record.Refused.Outcome, l.failed
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
		zap.Bool("internal", record.Internal),
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

// Refused logs an offer that got no answer from the backend server here, with
// the load that decided.
func (l *requestLog) Refused(requestID string, call relay.Call, refused *refusal.Error, load placement.Report) {
	if !l.offers.Allow() {
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

// Retry counts an offer after a failed one.
func (l *requestLog) Retry(reason refusal.Reason) { l.metrics.Retry(reason) }

// flush says how many lines were left out since the last time.
func (l *requestLog) flush() {
	if count := l.suppressed.Swap(0); count > 0 {
		l.log.Info("request lines left out", zap.Int64("lines", count))
	}
}
