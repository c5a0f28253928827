package localstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestStallDetector(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	const thaw = 4 * time.Second
	ran := func() *stallDetector {
		w := &stallDetector{}
		for d := time.Duration(0); d <= time.Second; d += expireEvery {
			w.tick(at(d))
		}
		return w
	}
	t.Run("what a process hears that runs is news", func(t *testing.T) {
		assert.False(t, ran().doubts(at(time.Second+expireEvery)))
		assert.False(t, (&stallDetector{}).doubts(start), "before its first tick")
	})
	t.Run("what it hears right after a stall is not, before its first tick or after it", func(t *testing.T) {
		assert.True(t, ran().doubts(at(thaw)))
		w := ran()
		w.tick(at(thaw))
		assert.True(t, w.doubts(at(thaw+1)))
	})
	t.Run("nor what the first question after it is answered with at once, whenever that is asked", func(t *testing.T) {
		w := ran()
		w.tick(at(thaw))
		w.answer(at(thaw)) // of a question asked before the stall
		const again = thaw + 5*time.Second
		for d := thaw; d < again; d += expireEvery {
			w.tick(at(d))
		}
		w.ask(at(again))
		assert.True(t, w.doubts(at(again+deliverWithin-1)))
		w.answer(at(again + deliverWithin - 1))
		w.ask(at(again + deliverWithin - 1))
		assert.False(t, w.doubts(at(again+deliverWithin)))
	})
	t.Run("what comes while that question waits is news again", func(t *testing.T) {
		w := ran()
		w.tick(at(thaw))
		w.ask(at(thaw))
		assert.False(t, w.doubts(at(thaw+deliverWithin)))
	})
}
