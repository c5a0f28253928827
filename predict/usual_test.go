package predict

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestUsual(t *testing.T) {
	t.Run("nothing is said of a kind that is not known", func(t *testing.T) {
		var u DurationEstimator
		assert.Zero(t, u.UpperBound(4))
	})
	t.Run("little is sure while little is known", func(t *testing.T) {
		var u DurationEstimator
		u.Observe(time.Second)
		assert.Equal(t, 2*time.Second, u.UpperBound(1))
		assert.Equal(t, 5*time.Second, u.UpperBound(4))
	})
	t.Run("times that are alike are usual themselves", func(t *testing.T) {
		var u DurationEstimator
		for range 100 {
			u.Observe(time.Second)
		}
		assert.InDelta(t, time.Second, u.UpperBound(0), float64(time.Millisecond))
	})
	// shareWithin is the share of times, most short and some long, that stay within what was usual before them.
	shareWithin := func(deviations int) float64 {
		var u DurationEstimator
		random := rand.New(rand.NewPCG(1, 1))
		within := 0
		const all = 4000
		for range all {
			took := time.Duration(random.ExpFloat64() * float64(time.Second))
			if took <= u.UpperBound(deviations) {
				within++
			}
			u.Observe(took)
		}
		return float64(within) / all
	}
	t.Run("three in four of times that vary much are within one deviation", func(t *testing.T) {
		assert.Greater(t, shareWithin(1), 0.75)
	})
	t.Run("nearly all of them are within four", func(t *testing.T) {
		assert.Greater(t, shareWithin(4), 0.95)
	})
}
