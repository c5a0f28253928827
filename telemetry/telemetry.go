// Package telemetry records the metrics of a process with OpenTelemetry and exports them to Prometheus.
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

const meterName = "github.com/rillreach/rillreach"

// Metrics contains the instruments of one process. A nil *Metrics discards everything that is recorded.
type Metrics struct {
	meter          metric.Meter
	registry       *prometheus.Registry
	requests       metric.Int64Counter
	failedAttempts metric.Int64Counter
	stepDuration   metric.Float64Histogram
	firstToken     metric.Float64Histogram
	runnerWait     metric.Float64Histogram
	error          metric.Float64Histogram
	invalidReports metric.Int64Counter
	hedges         metric.Int64Counter
	repeats        metric.Int64Counter
	backpressure   metric.Int64Counter
	resumedStreams metric.Int64Counter
	unknownStarts  metric.Int64Counter
	restartDelay   metric.Float64Histogram
}

// New creates the instruments of one process.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create Prometheus exporter")
	}
	m := &Metrics{registry: registry, meter: sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter(meterName)}
	return m, m.make()
}

func (m *Metrics) make() error {
	var err error
	if m.requests, err = m.meter.Int64Counter("rillreach.requests", metric.WithDescription("requests that have ended, by outcome and reason")); err != nil {
		return errors.Wrap(err, "create counter of requests")
	}
	if m.failedAttempts, err = m.meter.Int64Counter("rillreach.attempts", metric.WithDescription("attempts that failed, by what was decided")); err != nil {
		return errors.Wrap(err, "create counter of failed attempts")
	}
	buckets := metric.WithExplicitBucketBoundaries(.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .42, 1, 2.5, 5, 10, 30)
	if m.stepDuration, err = m.meter.Float64Histogram("rillreach.step.duration", metric.WithUnit("s"), metric.WithDescription("time in each step of the request chain"), buckets); err != nil {
		return errors.Wrap(err, "create histogram of step durations")
	}
	if m.firstToken, err = m.meter.Float64Histogram("rillreach.first_token.duration", metric.WithUnit("s"), metric.WithDescription("time from a request's arrival to the first part of its answer"), buckets); err != nil {
		return errors.Wrap(err, "create histogram of first token times")
	}
	if m.runnerWait, err = m.meter.Float64Histogram("rillreach.runner_wait.duration", metric.WithUnit("s"), metric.WithDescription("time from the send of a prompt to a model runner to its first token"), buckets); err != nil {
		return errors.Wrap(err, "create histogram of runner wait times")
	}
	if m.error, err = m.meter.Float64Histogram("rillreach.first_token.error", metric.WithUnit("s"), metric.WithDescription("difference between the expected and the real time from a prompt's send to its first token"), buckets); err != nil {
		return errors.Wrap(err, "create histogram of prediction errors")
	}
	if m.invalidReports, err = m.meter.Int64Counter("rillreach.reports.invalid", metric.WithDescription("reports of runners that can't be true and were not used")); err != nil {
		return errors.Wrap(err, "create counter of invalid reports")
	}
	if m.hedges, err = m.meter.Int64Counter("rillreach.hedges", metric.WithDescription("second attempts that were begun beside a running one, by reason and by what became of them")); err != nil {
		return errors.Wrap(err, "create counter of second attempts")
	}
	if m.repeats, err = m.meter.Int64Counter("rillreach.repeats", metric.WithDescription("repeats of requests that the retry budget was asked for, by service, kind and verdict")); err != nil {
		return errors.Wrap(err, "create counter of repeats")
	}
	if m.backpressure, err = m.meter.Int64Counter("rillreach.answers.backpressure", metric.WithDescription("answers in which runners ask for less, by what they ask for")); err != nil {
		return errors.Wrap(err, "create counter of backpressure")
	}
	if m.resumedStreams, err = m.meter.Int64Counter("rillreach.streams.resumed", metric.WithDescription("requests that take up a stream, by what is known of its beginning and by why they were refused")); err != nil {
		return errors.Wrap(err, "create counter of resumed streams")
	}
	return m.createStartInstruments()
}

// Handler serves all metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CountRequest counts a completed request.
func (m *Metrics) CountRequest(outcome, reason string) {
	if m == nil {
		return
	}
	m.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome), attribute.String("reason", reason)))
}

// CountFailedAttempt counts a failed attempt by the verdict on it.
func (m *Metrics) CountFailedAttempt(verdict string) {
	if m == nil {
		return
	}
	m.failedAttempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("verdict", verdict)))
}

// RecordStep records the time spent in a step of the request chain.
func (m *Metrics) RecordStep(name string, elapsed time.Duration) {
	if m == nil {
		return
	}
	m.stepDuration.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(attribute.String("step", name)))
}

// RecordFirstToken records the time from the arrival of a request to the first part of its answer.
func (m *Metrics) RecordFirstToken(elapsed time.Duration) {
	if m == nil {
		return
	}
	m.firstToken.Record(context.Background(), elapsed.Seconds())
}

// RecordRunnerWait records the time from sending a prompt to a runner to its first token.
func (m *Metrics) RecordRunnerWait(elapsed time.Duration) {
	if m == nil {
		return
	}
	m.runnerWait.Record(context.Background(), elapsed.Seconds())
}

// RecordPredictionError records the difference between the estimated and the actual time to the first token.
func (m *Metrics) RecordPredictionError(difference time.Duration) {
	if m == nil {
		return
	}
	m.error.Record(context.Background(), difference.Seconds())
}

// CountResumedStream counts a request that takes up a stream, with the verdict on where the stream began and the reason
// why the request was refused, if it was.
func (m *Metrics) CountResumedStream(verdict, refused string) {
	if m == nil {
		return
	}
	m.resumedStreams.Add(context.Background(), 1, metric.WithAttributes(attribute.String("verdict", verdict), attribute.String("refused", refused)))
}

// CountInvalidReport counts a runner's report that was ignored because its values are impossible.
func (m *Metrics) CountInvalidReport() {
	if m == nil {
		return
	}
	m.invalidReports.Add(context.Background(), 1)
}

// CountBackpressure counts an answer in which the runner asks for less load: a rate limit, a pause, or no more requests
// because it shuts down.
func (m *Metrics) CountBackpressure(kind string) {
	if m == nil {
		return
	}
	m.backpressure.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}

// CountRepeat counts a repeat of a request that the retry budget was asked for.
func (m *Metrics) CountRepeat(service, kind, verdict string) {
	if m == nil {
		return
	}
	m.repeats.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("kind", kind), attribute.String("verdict", verdict)))
}

// CountHedge counts a completed second attempt.
func (m *Metrics) CountHedge(reason, outcome string) {
	if m == nil {
		return
	}
	m.hedges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason), attribute.String("outcome", outcome)))
}

// Gauge describes a metric whose value is read at each scrape.
type Gauge struct {
	Name        string
	Description string
	Read        func() float64
}

// AddGauges registers gauges. It stops at the first error.
func (m *Metrics) AddGauges(gauges []Gauge) error {
	for _, g := range gauges {
		if err := m.AddGauge(g.Name, g.Description, g.Read); err != nil {
			return err
		}
	}
	return nil
}

// AddGauge registers a gauge whose value is read at each scrape.
func (m *Metrics) AddGauge(name, description string, read func() float64) error {
	if m == nil {
		return nil
	}
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Wrapf(err, "create gauge %s", name)
}
