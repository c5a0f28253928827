package telemetry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// StartSource identifies the kind of message in which a runner's start was expected.
type StartSource string

// Kinds of messages that contain the start of a runner.
const (
	StartInRecord StartSource = "record"
	StartInReport StartSource = "report"
	StartInEvents StartSource = "events"
)

// createStartInstruments creates the instruments for starts of runners.
func (m *Metrics) createStartInstruments() error {
	var err error
	if m.unknownStarts, err = m.meter.Int64Counter("rillreach.starts.unknown", metric.WithDescription("times that a runner's word told no start that is a whole number, by source")); err != nil {
		return errors.Wrap(err, "create counter of unknown starts")
	}
	buckets := metric.WithExplicitBucketBoundaries(.025, .05, .1, .2, .3, .5, 1, 2, 5, 10, 30)
	if m.restartDelay, err = m.meter.Float64Histogram("rillreach.restart.delay", metric.WithUnit("s"), metric.WithDescription("time from a new start of a runner to this process's knowing it, on the runners' clock"), buckets); err != nil {
		return errors.Wrap(err, "create histogram of restart delays")
	}
	return nil
}

// CountUnknownStart counts a message of a runner without a valid start.
func (m *Metrics) CountUnknownStart(source StartSource) {
	if m == nil {
		return
	}
	m.unknownStarts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("source", string(source))))
}

// RecordRestartDelay records the time from the restart of a runner until this process learned of it.
func (m *Metrics) RecordRestartDelay(delay time.Duration) {
	if m == nil {
		return
	}
	m.restartDelay.Record(context.Background(), delay.Seconds())
}
