package sidecar

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"marjoramsaddle/core/contain"
)

// restartPause is the time between a failure of a loop and its next start, which
// keeps one that fails each time from using up the processor.
const restartPause = 100 * time.Millisecond

// panicked logs and counts a panic that was contained.
func (d *Daemon) panicked(work string, err error) {
	d.metrics.Control("panic", "contained")
	d.log.Error("unexpected failure contained", zap.String("work", work), zap.Error(err), zap.String("stack", contain.Stack(err)))
}

// loop runs work that lasts until the context ends, and starts it again after an
// unexpected failure.
func (d *Daemon) loop(ctx context.Context, name string, work func(ctx context.Context)) {
	for ctx.Err() == nil {
		err := contain.Panics(func() error {
			work(ctx)
			return nil
		})
		if err == nil {
			return
		}
		d.panicked(name, err)
		sleep(ctx, restartPause)
	}
}

// contained keeps a panic in the work on one request of another daemon from
// leaving more than a closed connection: the sender learns that the request may
// have run.
func (d *Daemon) contained(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := contain.Panics(func() error {
			handler.ServeHTTP(w, r)
			return nil
		})
		if err == nil {
			return
		}
		if !contain.Is(err, http.ErrAbortHandler) {
			d.panicked("request of "+r.RemoteAddr, err)
		}
		panic(http.ErrAbortHandler)
	})
}
