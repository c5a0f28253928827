package permit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestPacer(t *testing.T) {
	const interval = 4 * time.Second
	at := start.Add
	t.Run("the first request is due at its phase", func(t *testing.T) {
		var p Pacer
		assert.False(t, p.Due(at(0), interval, 0.5))
		assert.False(t, p.Due(at(interval/2-1), interval, 0))
		assert.True(t, p.Due(at(interval/2), interval, 0.9))
	})
	t.Run("each later request is due one interval after the one before", func(t *testing.T) {
		var p Pacer
		assert.True(t, p.Due(at(0), interval, 0))
		p.RecordStart(at(time.Second))
		assert.False(t, p.Due(at(time.Second+interval-1), interval, 0))
		assert.True(t, p.Due(at(time.Second+interval), interval, 0))
	})
	t.Run("a shorter interval takes effect at once", func(t *testing.T) {
		var p Pacer
		p.Due(at(0), interval, 0)
		p.RecordStart(at(0))
		assert.False(t, p.Due(at(1), interval/4, 0))
		assert.True(t, p.Due(at(1+interval/4), interval/4, 0))
	})
	t.Run("a request that starts before the first call to Due has no effect", func(t *testing.T) {
		var p Pacer
		p.RecordStart(at(0))
		assert.True(t, p.Due(at(1), interval, 0))
	})
}
