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

// Metrics holds the instruments of one daemon. Its methods may be called from
// several goroutines.
type Metrics struct {
	handler  http.Handler
	meter    metric.Meter
	calls    metric.Int64Counter
	refusals metric.Int64Counter
	retries  metric.Int64Counter
	control  metric.Int64Counter
	latency  metric.Float64Histogram
	catchUp  metric.Float64Histogram
	// reasons and outcomes hold the attributes of each label value, so that a call
	// builds none.
	reasons  map[refusal.Reason]metric.MeasurementOption
	outcomes map[refusal.Outcome]metric.MeasurementOption
}

// NewMetrics creates the instruments in a new Prometheus registry.
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
	return m, m.createInstruments()
}

func attributeOption(key, value string) metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(attribute.String(key, value)))
}

func (m *Metrics) createInstruments() error {
	counters := []struct {
		target     *metric.Int64Counter
		name, help string
	}{
		{&m.calls, "marjoramsaddle_calls", "Calls by outcome."},
		{&m.refusals, "marjoramsaddle_refusals", "Refused calls by reason."},
		{&m.retries, "marjoramsaddle_retries", "Repeated attempts by the reason of the failed one."},
		{&m.control, "marjoramsaddle_control_events", "Events of the control state by name and label."},
	}
	for _, counter := range counters {
		instrument, err := m.meter.Int64Counter(counter.name, metric.WithDescription(counter.help))
		if err != nil {
			return fmt.Errorf("metric %s: %w", counter.name, err)
		}
		*counter.target = instrument
	}
	var err error
	m.latency, err = m.meter.Float64Histogram("marjoramsaddle_call_seconds",
		metric.WithDescription("Time from the arrival of a call to the end of its answer."), metric.WithUnit("s"))
	if err != nil {
		return err
	}
	m.catchUp, err = m.meter.Float64Histogram("marjoramsaddle_catch_up_seconds",
		metric.WithDescription("Time from hearing of a newer revision of the store to having it."), metric.WithUnit("s"))
	return err
}

// Handler returns the HTTP handler that serves the metrics in Prometheus format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Call counts a call by its outcome and records its duration.
func (m *Metrics) Call(outcome refusal.Outcome, duration time.Duration) {
	m.calls.Add(context.Background(), 1, m.outcomes[outcome])
	m.latency.Record(context.Background(), duration.Seconds())
}

// CatchUp records how long the daemon knew of a newer revision before it had it.
func (m *Metrics) CatchUp(duration time.Duration) {
	m.catchUp.Record(context.Background(), duration.Seconds())
}

// Refusal counts a refused call by reason.
func (m *Metrics) Refusal(reason refusal.Reason) {
	m.refusals.Add(context.Background(), 1, m.reasons[reason])
}

// Retry counts a retry by the reason for which the previous attempt failed.
func (m *Metrics) Retry(reason refusal.Reason) {
	m.retries.Add(context.Background(), 1, m.reasons[reason])
}

// Control counts an event of the control state by name and label.
func (m *Metrics) Control(name, label string) {
	m.control.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("name", name), attribute.String("label", label)))
}

// Gauge registers a gauge whose value is read each time the metrics are collected.
func (m *Metrics) Gauge(name, help string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(read())
			return nil
		}))
	if err != nil {
		return fmt.Errorf("metric %s: %w", name, err)
	}
	return nil
}

// LabeledGauges registers a gauge with a label. Its values are read each time the metrics
// are collected: read calls observe for each value of the label.
func (m *Metrics) LabeledGauges(name, help, label string, read func(observe func(value string, number int64))) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			read(func(value string, number int64) { observer.Observe(number, attributeOption(label, value)) })
			return nil
		}))
	if err != nil {
		return fmt.Errorf("metric %s: %w", name, err)
	}
	return nil
}
