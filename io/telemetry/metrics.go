package telemetry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"marjoramsaddle/core/refusal"
)

// Metrics holds the counters of one daemon.
type Metrics struct {
	handler  http.Handler
	meter    metric.Meter
	calls    metric.Int64Counter
	refusals metric.Int64Counter
	retries  metric.Int64Counter
	control  metric.Int64Counter
	latency  metric.Float64Histogram
	reasons  map[refusal.Reason]metric.MeasurementOption
	outcomes map[refusal.Outcome]metric.MeasurementOption
}

// NewMetrics returns counters with a Prometheus handler of their own.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, fmt.Errorf("metrics exporter: %w", err)
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	m := &Metrics{
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		meter:    provider.Meter("marjoramsaddle"),
		reasons:  map[refusal.Reason]metric.MeasurementOption{},
		outcomes: map[refusal.Outcome]metric.MeasurementOption{},
	}
	for _, reason := range refusal.Reasons() {
		m.reasons[reason] = attributeOption("reason", reason.String())
	}
	for outcome := refusal.Ran; outcome <= refusal.Unknown; outcome++ {
		m.outcomes[outcome] = attributeOption("outcome", outcome.String())
	}
	return m, m.create()
}

func attributeOption(key, value string) metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(attribute.String(key, value)))
}

func (m *Metrics) create() error {
	counters := []struct {
		into        *metric.Int64Counter
		name, about string
	}{
		{&m.calls, "marjoramsaddle_calls", "Calls by outcome."},
		{&m.refusals, "marjoramsaddle_refusals", "Refused calls by reason."},
		{&m.retries, "marjoramsaddle_retries", "Repeated attempts by the reason of the failed one."},
		{&m.control, "marjoramsaddle_control_events", "Events of the control state by name and label."},
	}
	for _, counter := range counters {
		made, err := m.meter.Int64Counter(counter.name, metric.WithDescription(counter.about))
		if err != nil {
			return fmt.Errorf("metric %s: %w", counter.name, err)
		}
		*counter.into = made
	}
	var err error
	m.latency, err = m.meter.Float64Histogram("marjoramsaddle_call_seconds",
		metric.WithDescription("Time from the arrival of a call to the end of its answer."), metric.WithUnit("s"))
	return err
}

// Handler serves the metrics in Prometheus format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Call counts a call and its time.
func (m *Metrics) Call(outcome refusal.Outcome, took time.Duration) {
	m.calls.Add(context.Background(), 1, m.outcomes[outcome])
	m.latency.Record(context.Background(), took.Seconds())
}

// Refusal counts a refused call.
func (m *Metrics) Refusal(reason refusal.Reason) {
	m.refusals.Add(context.Background(), 1, m.reasons[reason])
}

// Retry counts a repeated attempt by the reason of the one before.
func (m *Metrics) Retry(reason refusal.Reason) {
	m.retries.Add(context.Background(), 1, m.reasons[reason])
}

// Control counts an event of the control state.
func (m *Metrics) Control(name, label string) {
	m.control.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("name", name), attribute.String("label", label)))
}

// Gauge reports a value that read returns each time the metrics are collected.
func (m *Metrics) Gauge(name, about string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(about),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(read())
			return nil
		}))
	if err != nil {
		return fmt.Errorf("metric %s: %w", name, err)
	}
	return nil
}
