package load

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marjoramsaddle/bench/fleet"
	"marjoramsaddle/bench/rig"
	"marjoramsaddle/core/balance"
	"marjoramsaddle/io/settings"
	"marjoramsaddle/standin/authority"
)

// The policies. PolicyDirect sends calls straight to the backend servers,
// without daemons; PolicyNoBudget lets retries exceed their budget;
// PolicyNoRecords sends keyed calls like others.
const (
	PolicyDirect    = "direct"
	PolicyNoBudget  = "no_budget"
	PolicyNoRecords = "no_records"
)

const (
	serveTimeout = 20 * time.Second
	// settleMS is shorter than the warm-up, so that keys are run from the start.
	settleMS      = 1000
	retriesMetric = "marjoramsaddle_retries_total"
)

// policies returns the names of all policies, the default one first.
func policies() []string {
	return []string{
		balance.LeastLoaded.String(), balance.RoundRobin.String(), balance.Random.String(), PolicyNoBudget,
		PolicyNoRecords, PolicyDirect,
	}
}

// PolicyNames returns the names of all policies.
func PolicyNames() string { return strings.Join(policies(), ", ") }

// startMesh starts a daemon beside each backend server, publishes the fleet's
// documents and waits until all daemons serve.
func (e Experiment) startMesh(ctx context.Context, r *rig.Rig, layout *fleet.Layout, dir string) error {
	issuer, err := authority.New()
	if err != nil {
		return err
	}
	platform := e.rigOptions(layout, dir).Platform.String()
	// Daemons refuse idempotency keys before their origin, which is rounded up
	// to a second.
	origin := time.Now().Add(fleet.IdempotencyOriginDelay + time.Second)
	if err := layout.Write(dir, issuer, fleet.DaemonSettings("http://"+platform, e.changeSettings)); err != nil {
		return err
	}
	publisher := fleet.NewPublisher(platform, layout, e.Plan.Seed)
	if err := publisher.PublishHosts(ctx); err != nil {
		return err
	}
	if _, err := publisher.Publish(ctx); err != nil {
		return err
	}
	for _, host := range layout.Hosts {
		if _, err := r.StartDaemon(host, dir); err != nil {
			return err
		}
	}
	if err := waitServing(ctx, r.Daemons); err != nil {
		return err
	}
	return waitUntil(ctx, origin)
}

func waitUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e Experiment) changeSettings(s *settings.Settings) {
	s.LogLevel = "warn"
	s.HopTransport = e.HopTransport
	s.Experiment.SettleMS = settleMS
	switch e.Policy {
	case "":
	case PolicyNoBudget:
		s.Experiment.NoRetryBudget = true
	case PolicyNoRecords:
		s.Experiment.NoRecords = true
	default:
		s.Experiment.Balance = e.Policy
	}
}

func waitServing(ctx context.Context, daemons []*rig.Daemon) error {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	for _, daemon := range daemons {
		if err := daemon.Process.WaitReady(ctx, daemon.ReadinessProbe()); err != nil {
			return fmt.Errorf("daemon of %s: %w", daemon.Host.Name, err)
		}
	}
	return nil
}

// countRetries adds up the repeated attempts of all daemons that run. Those of
// a daemon that was ended are not known.
func countRetries(ctx context.Context, daemons []*rig.Daemon) int {
	total := 0
	for _, daemon := range daemons {
		select {
		case <-daemon.Process.Exited():
		default:
			count, err := readCounter(ctx, "http://"+daemon.Host.Operator.String()+"/metrics", retriesMetric)
			if err == nil {
				total += count
			}
		}
	}
	return total
}

// readCounter adds up all series of a counter.
func readCounter(ctx context.Context, url, name string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	total := 0.0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) != 2 || !strings.HasPrefix(fields[0], name+"{") {
			continue
		}
		value, err := strconv.ParseFloat(fields[1], 64)
		if err != nil {
			return 0, err
		}
		total += value
	}
	return int(total), lines.Err()
}
