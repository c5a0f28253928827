package weights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestWindow(t *testing.T) {
	replaced := time.Unix(1000, 0)
	at := replaced.Add
	window := StartWindow{ReplacedAt: replaced, Bound: bound}
	t.Run("weights that nothing has replaced have no end", func(t *testing.T) {
		assert.True(t, StartWindow{Bound: bound}.ClosesAt().IsZero())
		assert.True(t, StartWindow{Bound: bound}.Admits(at(time.Hour), time.Hour))
	})
	t.Run("without a bound there is no end", func(t *testing.T) {
		assert.True(t, StartWindow{ReplacedAt: replaced}.Admits(at(time.Hour), time.Hour))
	})
	t.Run("a request that begins soon is admitted until shortly before the bound", func(t *testing.T) {
		assert.True(t, window.Admits(at(bound-closeMargin-leastWait-1), 0))
		assert.False(t, window.Admits(at(bound-closeMargin-leastWait), 0))
	})
	t.Run("one that waits for long has to be sent earlier", func(t *testing.T) {
		assert.True(t, window.Admits(at(5*time.Second), 4*time.Second))
		assert.False(t, window.Admits(at(6*time.Second), 4*time.Second))
	})
	t.Run("what is admitted and waits as expected begins before it would be cancelled", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			now := at(time.Duration(rapid.Int64Range(0, int64(2*bound)).Draw(t, "now")))
			wait := time.Duration(rapid.Int64Range(0, int64(2*bound)).Draw(t, "wait"))
			if window.Admits(now, wait) {
				assert.True(t, now.Add(wait).Before(window.ClosesAt()))
			}
		})
	})
}
