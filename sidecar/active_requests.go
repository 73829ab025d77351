package sidecar

import (
	"sync/atomic"

	"go.uber.org/zap"

	"marjoramsaddle/core/shutdown"
)

// activeRequests counts the requests in progress by their origin. It is safe for
// concurrent use.
type activeRequests [shutdown.OriginCount]atomic.Int64

// begin counts a request and returns the function that ends it.
func (a *activeRequests) begin(origin shutdown.Origin) (end func()) {
	a[origin].Add(1)
	return func() { a[origin].Add(-1) }
}

func (a *activeRequests) total() int64 {
	total := int64(0)
	for origin := range a {
		total += a[origin].Load()
	}
	return total
}

// fields returns the counts as fields of a log line.
func (a *activeRequests) fields() []zap.Field {
	fields := make([]zap.Field, 0, 1+len(a))
	fields = append(fields, zap.Int64("requests", a.total()))
	for origin := range a {
		fields = append(fields, zap.Int64(shutdown.Origin(origin).String(), a[origin].Load()))
	}
	return fields
}
