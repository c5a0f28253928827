package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestSpacer(t *testing.T) {
	const space = 4 * time.Second
	at := start.Add
	t.Run("the first request comes at its phase", func(t *testing.T) {
		var s Pacer
		assert.False(t, s.Due(at(0), space, 0.5))
		assert.False(t, s.Due(at(space/2-1), space, 0))
		assert.True(t, s.Due(at(space/2), space, 0.9))
	})
	t.Run("each later one so long after the one before", func(t *testing.T) {
		var s Pacer
		assert.True(t, s.Due(at(0), space, 0))
		s.RecordStart(at(time.Second))
		assert.False(t, s.Due(at(time.Second+space-1), space, 0))
		assert.True(t, s.Due(at(time.Second+space), space, 0))
	})
	t.Run("a shorter time holds at once", func(t *testing.T) {
		var s Pacer
		s.Due(at(0), space, 0)
		s.RecordStart(at(0))
		assert.False(t, s.Due(at(1), space/4, 0))
		assert.True(t, s.Due(at(1+space/4), space/4, 0))
	})
	t.Run("what began without it changes nothing", func(t *testing.T) {
		var s Pacer
		s.RecordStart(at(0))
		assert.True(t, s.Due(at(1), space, 0))
	})
}
