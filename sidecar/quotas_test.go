package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/backpressure"
	"github.com/rillreach/rillreach/bulletin"
)

func limitOf(generation rillreach.Generation, at int64, perSecond float64) *bulletin.RunnerLimit {
	return &bulletin.RunnerLimit{
		Runner: "r", Generation: generation, Limit: backpressure.Limit{Bounded: perSecond > 0, PerSecond: perSecond}, SentAt: at, ReceivedAt: at + 1,
	}
}

func TestQuotas(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("a limit is shared out for as long as an entry reports it", func(t *testing.T) {
		var q quotas
		assert.True(t, q.observe(now, limitOf(1, 100, 3)))
		assert.False(t, q.observe(now.Add(quotaLease), limitOf(1, 100, 3)), "told again")
		assert.Len(t, q.active(now.Add(2*quotaLease)), 1)
		assert.Empty(t, q.active(now.Add(2*quotaLease+1)))
	})
	t.Run("a low limit is shared out until its next answer can come", func(t *testing.T) {
		var q quotas
		q.observe(now, limitOf(1, 100, 0.05))
		next := now.Add(time.Duration(float64(time.Second) / q.active(now)[0].observation.Limit.Rate().PerSecond))
		assert.Len(t, q.active(next), 1)
	})
	t.Run("what an entry knows from earlier takes nothing back", func(t *testing.T) {
		var q quotas
		q.observe(now, limitOf(1, 100, 3))
		assert.False(t, q.observe(now, limitOf(1, 90, 0)))
		assert.True(t, q.observe(now, limitOf(1, 110, 0)))
		assert.False(t, q.observe(now, limitOf(1, 100, 3)))
	})
	t.Run("the limit of an earlier run ends with it", func(t *testing.T) {
		var q quotas
		q.observe(now, limitOf(1, 100, 3))
		q.observe(now, limitOf(2, 50, 0))
		assert.False(t, q.observe(now, limitOf(1, 200, 3)))
		assert.False(t, q.active(now)[0].observation.Limit.Bounded)
	})
}
