package backend

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"marjoramsaddle/io/http1"
)

// probeInterval is the time between two health checks and the timeout of each. A
// drain must be detected within three seconds.
const probeInterval = time.Second

// maxHealthBytes is how much of the body of a health response is read.
const maxHealthBytes = 4 << 10

// Health is the state that the backend server's health endpoint reports; the zero
// value is an unreachable one. It lags and may be wrong, so it serves only to stop
// new calls and never proves that a call would succeed.
type Health struct {
	Ready    bool
	Draining bool
}

// Probe queries the health endpoint each second until the context ends, and passes
// each result to report.
func Probe(ctx context.Context, address, path string, report func(Health)) {
	transport := http1.NewTransport(&http.Transport{DisableCompression: true})
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: probeInterval}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		report(probe(ctx, client, "http://"+address+path))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func probe(ctx context.Context, client *http.Client, address string) Health {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return Health{}
	}
	response, err := client.Do(request)
	if err != nil {
		return Health{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxHealthBytes))
	if err != nil {
		return Health{}
	}
	draining := response.Header.Get("Marjoramsaddle-Draining") == "true" || strings.Contains(string(body), "draining")
	return Health{Ready: response.StatusCode == http.StatusOK, Draining: draining}
}
