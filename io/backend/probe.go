package backend

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// probeInterval is the time between two health checks. A drain must be seen
// within three seconds.
const probeInterval = time.Second

// maxHealthBytes bounds the body of a health answer.
const maxHealthBytes = 4 << 10

// Health is what the backend server says of itself. It lags and may be wrong,
// so it only ever ends new work; it never proves that a call would succeed.
type Health struct {
	Ready    bool
	Draining bool
}

// Probe reads the health endpoint each second until the context ends, and
// reports each result.
func Probe(ctx context.Context, address, path string, report func(Health)) {
	client := &http.Client{Timeout: probeInterval}
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
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxHealthBytes))
	draining := response.Header.Get("Marjoramsaddle-Draining") == "true" || strings.Contains(string(body), "draining")
	return Health{Ready: response.StatusCode == http.StatusOK, Draining: draining}
}
