package bulletin

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach/backpressure"
)

func TestCheckLimits(t *testing.T) {
	valid := RunnerLimit{Runner: "r", Limit: backpressure.Limit{Bounded: true, PerSecond: 1.1}, SentAt: 5, ReceivedAt: 7}
	check := func(change func(*RunnerLimit)) error {
		l := valid
		change(&l)
		return LimitReport{Limits: []RunnerLimit{valid, l}}.Check()
	}
	require.NoError(t, check(func(*RunnerLimit) {}))
	require.Error(t, check(func(l *RunnerLimit) { l.Runner = "" }))
	require.Error(t, check(func(l *RunnerLimit) { l.ReceivedAt = 4 }), "received before sent")
	require.Error(t, check(func(l *RunnerLimit) { l.SentAt = 0 }))
	require.Error(t, check(func(l *RunnerLimit) { l.Limit.PerSecond = -1 }))
	require.Error(t, check(func(l *RunnerLimit) { l.Limit.PerSecond = math.NaN() }))
	require.NoError(t, Bulletin{Quotas: []Quota{{RunnerLimit: valid, Permits: 1}}}.Check())
	require.Error(t, Bulletin{Quotas: []Quota{{RunnerLimit: valid, Permits: -1}}}.Check())
	require.Error(t, Bulletin{Quotas: []Quota{{}}}.Check())
}
