package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

func TestSet(t *testing.T) {
	t.Run("each permit allows one request, and the permit that expires first is used first", func(t *testing.T) {
		var s Set
		s.Add(1, start.Add(2*time.Second))
		s.Add(1, start.Add(time.Second))
		assert.True(t, s.Take(start))
		assert.True(t, s.Take(start.Add(time.Second)))
		assert.False(t, s.Take(start.Add(time.Second)))
	})
	t.Run("an expired permit is not available", func(t *testing.T) {
		var s Set
		s.Add(2, start)
		assert.False(t, s.Available(start))
		assert.False(t, s.Take(start))
	})
	t.Run("the number of held permits is bounded", func(t *testing.T) {
		var s Set
		s.Add(1<<20, start.Add(time.Second))
		assert.Len(t, s.expirations, maxHeld)
	})
}
