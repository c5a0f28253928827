// Package telemetry does the metrics of a process, by OpenTelemetry, for Prometheus to read.
package telemetry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

const scope = "github.com/rillreach/rillreach"

// Metrics are the instruments of one process.
type Metrics struct {
	meter    metric.Meter
	registry *prometheus.Registry
	requests metric.Int64Counter
	attempts metric.Int64Counter
	steps    metric.Float64Histogram
	first    metric.Float64Histogram
	wait     metric.Float64Histogram
	error    metric.Float64Histogram
	reports  metric.Int64Counter
	hedges   metric.Int64Counter
	pressure metric.Int64Counter
	starts   metric.Int64Counter
	restarts metric.Float64Histogram
}

// New makes the instruments of one process.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "make exporter of metrics")
	}
	m := &Metrics{registry: registry, meter: sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter(scope)}
	return m, m.make()
}

func (m *Metrics) make() error {
	var err error
	if m.requests, err = m.meter.Int64Counter("rillreach.requests", metric.WithDescription("requests that have ended, by outcome and reason")); err != nil {
		return errors.Wrap(err, "make counter of requests")
	}
	if m.attempts, err = m.meter.Int64Counter("rillreach.attempts", metric.WithDescription("attempts that failed, by what was decided")); err != nil {
		return errors.Wrap(err, "make counter of attempts")
	}
	buckets := metric.WithExplicitBucketBoundaries(.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .42, 1, 2.5, 5, 10, 30)
	if m.steps, err = m.meter.Float64Histogram("rillreach.step.duration", metric.WithUnit("s"), metric.WithDescription("time in each step of the request chain"), buckets); err != nil {
		return errors.Wrap(err, "make histogram of steps")
	}
	if m.first, err = m.meter.Float64Histogram("rillreach.first_token.duration", metric.WithUnit("s"), metric.WithDescription("time from a request's arrival to the first part of its answer"), buckets); err != nil {
		return errors.Wrap(err, "make histogram of first tokens")
	}
	if m.wait, err = m.meter.Float64Histogram("rillreach.runner_wait.duration", metric.WithUnit("s"), metric.WithDescription("time from the send of a prompt to a model runner to its first token"), buckets); err != nil {
		return errors.Wrap(err, "make histogram of waits at runners")
	}
	if m.error, err = m.meter.Float64Histogram("rillreach.first_token.error", metric.WithUnit("s"), metric.WithDescription("difference between the expected and the real time from a prompt's send to its first token"), buckets); err != nil {
		return errors.Wrap(err, "make histogram of prediction errors")
	}
	if m.reports, err = m.meter.Int64Counter("rillreach.reports.invalid", metric.WithDescription("reports of runners that can't be true and were not used")); err != nil {
		return errors.Wrap(err, "make counter of invalid reports")
	}
	if m.hedges, err = m.meter.Int64Counter("rillreach.hedges", metric.WithDescription("second attempts that were begun beside a running one, by reason and by what became of them")); err != nil {
		return errors.Wrap(err, "make counter of second attempts")
	}
	if m.pressure, err = m.meter.Int64Counter("rillreach.answers.backpressure", metric.WithDescription("answers in which runners ask for less, by what they ask for")); err != nil {
		return errors.Wrap(err, "make counter of backpressure")
	}
	return m.makeStarts()
}

// Handler answers with all metrics in Prometheus's text form.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CountRequest counts a request that has ended.
func (m *Metrics) CountRequest(outcome, reason string) {
	if m == nil {
		return
	}
	m.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome), attribute.String("reason", reason)))
}

// CountFailedAttempt counts an attempt that failed.
func (m *Metrics) CountFailedAttempt(verdict string) {
	if m == nil {
		return
	}
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("verdict", verdict)))
}

// RecordStep records the time in a step of the request chain.
func (m *Metrics) RecordStep(name string, took time.Duration) {
	if m == nil {
		return
	}
	m.steps.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("step", name)))
}

// RecordFirstToken records the time to the first part of an answer.
func (m *Metrics) RecordFirstToken(took time.Duration) {
	if m == nil {
		return
	}
	m.first.Record(context.Background(), took.Seconds())
}

// RecordRunnerWait records the time from the send of a prompt to its first token.
func (m *Metrics) RecordRunnerWait(took time.Duration) {
	if m == nil {
		return
	}
	m.wait.Record(context.Background(), took.Seconds())
}

// RecordPredictionError records by how much the expected time to a first token was wrong.
func (m *Metrics) RecordPredictionError(by time.Duration) {
	if m == nil {
		return
	}
	m.error.Record(context.Background(), by.Seconds())
}

// CountInvalidReport counts a runner's report that can't be true.
func (m *Metrics) CountInvalidReport() {
	if m == nil {
		return
	}
	m.reports.Add(context.Background(), 1)
}

// CountBackpressure counts an answer whose runner asks for less: a limit, a rest, or nothing more since it leaves.
func (m *Metrics) CountBackpressure(kind string) {
	if m == nil {
		return
	}
	m.pressure.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}

// CountHedge counts a second attempt that has ended.
func (m *Metrics) CountHedge(reason, outcome string) {
	if m == nil {
		return
	}
	m.hedges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason), attribute.String("outcome", outcome)))
}

// Gauge is a figure that is read whenever the metrics are.
type Gauge struct {
	Name        string
	Description string
	Read        func() float64
}

// AddGauges has all the figures read whenever the metrics are.
func (m *Metrics) AddGauges(gauges []Gauge) error {
	for _, g := range gauges {
		if err := m.AddGauge(g.Name, g.Description, g.Read); err != nil {
			return err
		}
	}
	return nil
}

// AddGauge has a number read whenever the metrics are.
func (m *Metrics) AddGauge(name, description string, read func() float64) error {
	if m == nil {
		return nil
	}
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Wrapf(err, "make gauge %s", name)
}
