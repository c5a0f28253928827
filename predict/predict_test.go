package predict

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestFirstToken(t *testing.T) {
	t.Run("nothing seen gives the prior", func(t *testing.T) {
		var f TTFTEstimator
		assert.Equal(t, Prior(), f.Model())
	})
	t.Run("the first observations change little", func(t *testing.T) {
		var f TTFTEstimator
		f.Observe(8000, 80*time.Millisecond)
		assert.Greater(t, f.Model().Predict(8000), 300*time.Millisecond)
	})
	t.Run("the line behind noisy times is found, and found again after it has changed", func(t *testing.T) {
		var f TTFTEstimator
		random := rand.New(rand.NewPCG(1, 1))
		for _, truth := range []LatencyModel{{PerToken: 20 * time.Microsecond, Base: 40 * time.Millisecond}, {PerToken: 80 * time.Microsecond, Base: 10 * time.Millisecond}} {
			for range 600 {
				tokens := random.IntN(12000)
				noise := 0.5 + random.Float64()
				f.Observe(tokens, time.Duration(noise*float64(truth.Predict(tokens))))
			}
			assert.InEpsilon(t, truth.Predict(10000).Seconds(), f.Model().Predict(10000).Seconds(), 0.2)
		}
	})
	t.Run("absurd observations are not taken", func(t *testing.T) {
		var f TTFTEstimator
		f.Observe(-1, time.Second)
		f.Observe(100, -time.Second)
		f.Observe(100, time.Hour)
		assert.Equal(t, Prior(), f.Model())
	})
	t.Run("what is learned stays within its bounds", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			var f TTFTEstimator
			for range rapid.IntRange(1, 50).Draw(t, "observations") {
				f.Observe(rapid.IntRange(-10, 100000).Draw(t, "tokens"), time.Duration(rapid.Int64Range(-1, int64(time.Minute)).Draw(t, "wait")))
			}
			s := f.Model()
			assert.GreaterOrEqual(t, s.PerToken, leastPerToken)
			assert.LessOrEqual(t, s.PerToken, mostPerToken)
			assert.GreaterOrEqual(t, s.Base, time.Duration(0))
			assert.LessOrEqual(t, s.Base, mostBase)
		})
	})
}
