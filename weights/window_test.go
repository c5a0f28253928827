package weights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestStartWindow(t *testing.T) {
	replaced := time.Unix(1000, 0)
	at := replaced.Add
	window := StartWindow{ReplacedAt: replaced, Bound: bound}
	t.Run("the window of current weights never closes", func(t *testing.T) {
		assert.True(t, StartWindow{Bound: bound}.ClosesAt().IsZero())
		assert.True(t, StartWindow{Bound: bound}.Admits(at(time.Hour), time.Hour))
	})
	t.Run("a window without a bound never closes", func(t *testing.T) {
		assert.True(t, StartWindow{ReplacedAt: replaced}.Admits(at(time.Hour), time.Hour))
	})
	t.Run("a request that begins at once is admitted until shortly before the window closes", func(t *testing.T) {
		assert.True(t, window.Admits(at(bound-cancelMargin-minExpectedWait-1), 0))
		assert.False(t, window.Admits(at(bound-cancelMargin-minExpectedWait), 0))
	})
	t.Run("a request with a long wait is admitted only earlier", func(t *testing.T) {
		assert.True(t, window.Admits(at(5*time.Second), 4*time.Second))
		assert.False(t, window.Admits(at(6*time.Second), 4*time.Second))
	})
	t.Run("an admitted request that waits as expected begins before it would be cancelled", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			now := at(time.Duration(rapid.Int64Range(0, int64(2*bound)).Draw(t, "now")))
			wait := time.Duration(rapid.Int64Range(0, int64(2*bound)).Draw(t, "wait"))
			if window.Admits(now, wait) {
				assert.True(t, now.Add(wait).Before(window.ClosesAt()))
			}
		})
	})
}
