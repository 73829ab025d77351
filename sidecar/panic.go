package sidecar

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"marjoramsaddle/core/contain"
)

// restartDelay is the time between a panic in a loop and its restart. It keeps a loop
// that panics every time from using up the processor.
const restartDelay = 100 * time.Millisecond

// logPanic logs and counts a contained panic.
func (d *Daemon) logPanic(work string, err error) {
	d.metrics.Control("panic", "contained")
	d.log.Error("unexpected failure contained", zap.String("work", work), zap.Error(err), zap.String("stack", contain.Stack(err)))
}

// supervise runs work that lasts until the context ends, and restarts it after a
// panic.
func (d *Daemon) supervise(ctx context.Context, name string, work func(ctx context.Context)) {
	for ctx.Err() == nil {
		err := contain.Panics(func() error {
			work(ctx)
			return nil
		})
		if err == nil {
			return
		}
		d.logPanic(name, err)
		sleep(ctx, restartDelay)
	}
}

// containPanics limits a panic in the handling of another daemon's request to a
// closed connection, from which the sender learns that the request may have run.
func (d *Daemon) containPanics(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := contain.Panics(func() error {
			handler.ServeHTTP(w, r)
			return nil
		})
		if err == nil {
			return
		}
		if !contain.Is(err, http.ErrAbortHandler) {
			d.logPanic("request of "+r.RemoteAddr, err)
		}
		panic(http.ErrAbortHandler)
	})
}
