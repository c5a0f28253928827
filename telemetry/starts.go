package telemetry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// StartSource is where the start of a runner's run is told.
type StartSource string

// The sources of a start.
const (
	StartInRecord StartSource = "record"
	StartInReport StartSource = "report"
	StartInEvents StartSource = "events"
)

// makeStarts makes the instruments of the starts of runners.
func (m *Metrics) makeStarts() error {
	var err error
	if m.starts, err = m.meter.Int64Counter("rillreach.starts.unknown", metric.WithDescription("times that a runner's word told no start that is a whole number, by source")); err != nil {
		return errors.Wrap(err, "make counter of unknown starts")
	}
	buckets := metric.WithExplicitBucketBoundaries(.025, .05, .1, .2, .3, .5, 1, 2, 5, 10, 30)
	if m.restarts, err = m.meter.Float64Histogram("rillreach.restart.delay", metric.WithUnit("s"), metric.WithDescription("time from a new start of a runner to this process's knowing it, on the runners' clock"), buckets); err != nil {
		return errors.Wrap(err, "make histogram of restarts")
	}
	return nil
}

// CountUnknownStart counts a word of a runner that tells no start.
func (m *Metrics) CountUnknownStart(source StartSource) {
	if m == nil {
		return
	}
	m.starts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("source", string(source))))
}

// RecordRestartDelay records how long ago the run started that is heard of.
func (m *Metrics) RecordRestartDelay(after time.Duration) {
	if m == nil {
		return
	}
	m.restarts.Record(context.Background(), after.Seconds())
}
