package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"marjoramsaddle/platform/platformtest"
)

// warmUp sends requests until the daemon of the host serves the path.
func (f *fleet) warmUp(h *host, paths ...string) error {
	for n, deadline := 0, time.Now().Add(startTime); time.Now().Before(deadline); n++ {
		served := true
		for _, path := range paths {
			id := fmt.Sprintf("warm-up-%s-%d-%s", h.name, n, path[1:])
			reply, err := platformtest.Call(context.Background(), h.address(portCaller), http.MethodPost, path, id, time.Second, "")
			served = served && err == nil && reply.Status == http.StatusOK
		}
		if served {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the fleet does not serve its routes")
}

// keepSending sends a request every 50 ms until the context ends.
func (f *fleet) keepSending(ctx context.Context, h *host, path string) {
	for n := 0; ctx.Err() == nil; n++ {
		go func() {
			id := fmt.Sprintf("other-%s-%d", h.name, n)
			// How these end is not judged.
			_, _ = platformtest.Call(ctx, h.address(portCaller), http.MethodPost, path+"?takes_ms=20", id, time.Second, "")
		}()
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}
