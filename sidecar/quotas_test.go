package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/backpressure"
	"github.com/rillreach/rillreach/bulletin"
)

// limitOf returns a limit of runner r, or an observation without a limit if perSecond is zero.
func limitOf(generation rillreach.Generation, at int64, perSecond float64) *bulletin.RunnerLimit {
	return &bulletin.RunnerLimit{
		Runner: "r", Generation: generation, Limit: backpressure.Limit{Bounded: perSecond > 0, PerSecond: perSecond}, SentAt: at, ReceivedAt: at + 1,
	}
}

func TestQuotas(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("a limit stays active while entries report it", func(t *testing.T) {
		var q quotas
		assert.True(t, q.observe(now, limitOf(1, 100, 3)))
		assert.False(t, q.observe(now.Add(quotaLease), limitOf(1, 100, 3)), "reported again")
		assert.Len(t, q.active(now.Add(2*quotaLease)), 1)
		assert.Empty(t, q.active(now.Add(2*quotaLease+1)))
	})
	t.Run("a low limit stays active until the next response is possible", func(t *testing.T) {
		var q quotas
		q.observe(now, limitOf(1, 100, 0.05))
		next := now.Add(time.Duration(float64(time.Second) / q.active(now)[0].observation.Limit.Rate().PerSecond))
		assert.Len(t, q.active(next), 1)
	})
	t.Run("a late report of an earlier observation changes nothing", func(t *testing.T) {
		var q quotas
		q.observe(now, limitOf(1, 100, 3))
		assert.False(t, q.observe(now, limitOf(1, 90, 0)))
		assert.True(t, q.observe(now, limitOf(1, 110, 0)))
		assert.False(t, q.observe(now, limitOf(1, 100, 3)))
	})
	t.Run("a limit does not outlive its run", func(t *testing.T) {
		var q quotas
		q.observe(now, limitOf(1, 100, 3))
		q.observe(now, limitOf(2, 50, 0))
		assert.False(t, q.observe(now, limitOf(1, 200, 3)))
		assert.False(t, q.active(now)[0].observation.Limit.Bounded)
	})
}
