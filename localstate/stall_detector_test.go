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
	t.Run("a suspension of the machine is a stall, though the clock stands still meanwhile", func(t *testing.T) {
		for _, suspension := range []time.Duration{300 * time.Millisecond, 3 * time.Second, 30 * time.Second} {
			w := ran()
			suspended := time.Duration(0)
			w.Suspended = func() time.Duration { return suspended }
			const asked = time.Second + expireEvery
			w.ask(at(asked))
			assert.False(t, w.doubts(at(asked+1)))
			suspended += suspension
			assert.True(t, w.doubts(at(asked+2)), "after %s", suspension)
			assert.True(t, w.stalledSince(at(asked), at(asked+2)))
		}
	})
	t.Run("what comes while that question waits is news again", func(t *testing.T) {
		w := ran()
		w.tick(at(thaw))
		w.ask(at(thaw))
		assert.False(t, w.doubts(at(thaw+deliverWithin)))
	})
}

// TestAnswerThatSleptThroughASuspension: a list that waited for the machine to wake is as old as the suspension was long.
func TestAnswerThatSleptThroughASuspension(t *testing.T) {
	start := time.Unix(1000, 0)
	suspended := time.Duration(0)
	s := &State{}
	s.stalls.Suspended = func() time.Duration { return suspended }
	s.stalls.tick(start)
	asked := question{at: start, suspended: suspended}
	assert.Equal(t, start.Add(expireEvery), s.answeredAt(asked, start.Add(expireEvery)))
	suspended = 10 * time.Second
	assert.Equal(t, start.Add(-10*time.Second), s.answeredAt(asked, start.Add(expireEvery)))
}
