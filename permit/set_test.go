package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

func TestSet(t *testing.T) {
	t.Run("each lets one request begin, the one that ends first before others", func(t *testing.T) {
		var s Set
		s.Add(1, start.Add(2*time.Second))
		s.Add(1, start.Add(time.Second))
		assert.True(t, s.Take(start))
		assert.True(t, s.Take(start.Add(time.Second)))
		assert.False(t, s.Take(start.Add(time.Second)))
	})
	t.Run("one that has ended counts no more", func(t *testing.T) {
		var s Set
		s.Add(2, start)
		assert.False(t, s.Available(start))
		assert.False(t, s.Take(start))
	})
	t.Run("no more are kept than so many", func(t *testing.T) {
		var s Set
		s.Add(1<<20, start.Add(time.Second))
		assert.Len(t, s.ends, mostHeld)
	})
}
