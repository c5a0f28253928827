package predict

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestTTFTEstimator(t *testing.T) {
	t.Run("without observations the model is the prior", func(t *testing.T) {
		var e TTFTEstimator
		assert.Equal(t, Prior(), e.Model())
	})
	t.Run("the first observations change the model little", func(t *testing.T) {
		var e TTFTEstimator
		e.Observe(8000, 80*time.Millisecond)
		assert.Greater(t, e.Model().Predict(8000), 300*time.Millisecond)
	})
	t.Run("the model behind noisy times is found, and found again after it changes", func(t *testing.T) {
		var e TTFTEstimator
		random := rand.New(rand.NewPCG(1, 1))
		for _, model := range []LatencyModel{{PerToken: 20 * time.Microsecond, Base: 40 * time.Millisecond}, {PerToken: 80 * time.Microsecond, Base: 10 * time.Millisecond}} {
			for range 600 {
				tokens := random.IntN(12000)
				noise := 0.5 + random.Float64()
				e.Observe(tokens, time.Duration(noise*float64(model.Predict(tokens))))
			}
			assert.InEpsilon(t, model.Predict(10000).Seconds(), e.Model().Predict(10000).Seconds(), 0.2)
		}
	})
	t.Run("invalid observations are ignored", func(t *testing.T) {
		var e TTFTEstimator
		e.Observe(-1, time.Second)
		e.Observe(100, -time.Second)
		e.Observe(100, time.Hour)
		assert.Equal(t, Prior(), e.Model())
	})
	t.Run("the model stays within its bounds", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			var e TTFTEstimator
			for range rapid.IntRange(1, 50).Draw(t, "observations") {
				e.Observe(rapid.IntRange(-10, 100000).Draw(t, "tokens"), time.Duration(rapid.Int64Range(-1, int64(time.Minute)).Draw(t, "wait")))
			}
			s := e.Model()
			assert.GreaterOrEqual(t, s.PerToken, minPerToken)
			assert.LessOrEqual(t, s.PerToken, maxPerToken)
			assert.GreaterOrEqual(t, s.Base, time.Duration(0))
			assert.LessOrEqual(t, s.Base, maxBase)
		})
	})
}
