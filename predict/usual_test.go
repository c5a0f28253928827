package predict

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestDurationEstimator(t *testing.T) {
	t.Run("without observations the bound is zero", func(t *testing.T) {
		var e DurationEstimator
		assert.Zero(t, e.UpperBound(4))
	})
	t.Run("the bound is wide after one observation", func(t *testing.T) {
		var e DurationEstimator
		e.Observe(time.Second)
		assert.Equal(t, 2*time.Second, e.UpperBound(1))
		assert.Equal(t, 5*time.Second, e.UpperBound(4))
	})
	t.Run("the mean of equal durations is that duration", func(t *testing.T) {
		var e DurationEstimator
		for range 100 {
			e.Observe(time.Second)
		}
		assert.InDelta(t, time.Second, e.UpperBound(0), float64(time.Millisecond))
	})
	// shareWithin returns the share of exponentially distributed durations within the bound before each of them.
	shareWithin := func(deviations int) float64 {
		var e DurationEstimator
		random := rand.New(rand.NewPCG(1, 1))
		within := 0
		const total = 4000
		for range total {
			duration := time.Duration(random.ExpFloat64() * float64(time.Second))
			if duration <= e.UpperBound(deviations) {
				within++
			}
			e.Observe(duration)
		}
		return float64(within) / total
	}
	t.Run("three quarters of widely varying durations are within one deviation", func(t *testing.T) {
		assert.Greater(t, shareWithin(1), 0.75)
	})
	t.Run("nearly all of them are within four deviations", func(t *testing.T) {
		assert.Greater(t, shareWithin(4), 0.95)
	})
}
