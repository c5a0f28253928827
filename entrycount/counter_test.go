package entrycount

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestNumberOfOneAgentReplacesTheOthers guards against a number of entries that is too small because an agent has just
// started or only some entries reach it.
func TestNumberOfOneAgentReplacesTheOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("nothing is known at first", func(t *testing.T) {
		assert.Zero(t, (&Counter{}).Entries())
	})
	t.Run("the largest number of the last while counts", func(t *testing.T) {
		c := &Counter{}
		c.ObserveAgent(10, now)
		c.ObserveAgent(1, now.Add(TTL))
		assert.Equal(t, 10, c.Entries())
		c.ObserveAgent(2, now.Add(TTL+1))
		assert.Equal(t, 2, c.Entries())
	})
	t.Run("the last number stays if no other is named", func(t *testing.T) {
		c := &Counter{}
		c.ObserveAgent(10, now)
		c.ObserveZone("z1", 3, now.Add(time.Hour))
		assert.Equal(t, 10, c.Entries())
	})
	t.Run("zones add up, each with its largest number", func(t *testing.T) {
		c := &Counter{}
		c.ObserveZone("z1", 30, now)
		c.ObserveZone("z2", 20, now)
		c.ObserveZone("z1", 1, now)
		c.ObserveAgent(7, now)
		assert.Equal(t, 50, c.Entries())
	})
}
