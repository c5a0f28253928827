package bulletin

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/backpressure"
)

func TestCheckLimits(t *testing.T) {
	sound := RunnerLimit{Runner: "r", Limit: backpressure.Limit{Bounded: true, PerSecond: 1.1}, SentAt: 5, ReceivedAt: 7}
	report := func(change func(*RunnerLimit)) error {
		l := sound
		change(&l)
		return LimitReport{Limits: []RunnerLimit{sound, l}}.Check()
	}
	require.NoError(t, report(func(*RunnerLimit) {}))
	require.Error(t, report(func(l *RunnerLimit) { l.Runner = "" }))
	require.Error(t, report(func(l *RunnerLimit) { l.ReceivedAt = 4 }), "received before it was sent")
	require.Error(t, report(func(l *RunnerLimit) { l.SentAt = 0 }))
	require.Error(t, report(func(l *RunnerLimit) { l.Limit.PerSecond = -1 }))
	require.Error(t, report(func(l *RunnerLimit) { l.Limit.PerSecond = math.NaN() }))
	require.NoError(t, Bulletin{Quotas: []Quota{{RunnerLimit: sound, Permits: 1}}}.Check())
	require.Error(t, Bulletin{Quotas: []Quota{{RunnerLimit: sound, Permits: -1}}}.Check())
	require.Error(t, Bulletin{Quotas: []Quota{{}}}.Check())
}
