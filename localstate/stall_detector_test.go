package localstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestStallDetector(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	const stallEnd = 4 * time.Second
	running := func() *stallDetector {
		w := &stallDetector{}
		for d := time.Duration(0); d <= time.Second; d += expireInterval {
			w.tick(at(d))
		}
		return w
	}
	t.Run("a running process receives changes without delay", func(t *testing.T) {
		assert.False(t, running().mayBeDelayed(at(time.Second+expireInterval)))
		assert.False(t, (&stallDetector{}).mayBeDelayed(start), "before its first tick")
	})
	t.Run("changes right after a stall may be delayed, before and after the next tick", func(t *testing.T) {
		assert.True(t, running().mayBeDelayed(at(stallEnd)))
		w := running()
		w.tick(at(stallEnd))
		assert.True(t, w.mayBeDelayed(at(stallEnd+1)))
	})
	t.Run("an immediate response to the first request after a stall may be delayed", func(t *testing.T) {
		w := running()
		w.tick(at(stallEnd))
		w.responseApplied(at(stallEnd)) // the response to a request sent before the stall
		const nextRequest = stallEnd + 5*time.Second
		for d := stallEnd; d < nextRequest; d += expireInterval {
			w.tick(at(d))
		}
		w.requestSent(at(nextRequest))
		assert.True(t, w.mayBeDelayed(at(nextRequest+maxDeliveryDelay-1)))
		w.responseApplied(at(nextRequest + maxDeliveryDelay - 1))
		w.requestSent(at(nextRequest + maxDeliveryDelay - 1))
		assert.False(t, w.mayBeDelayed(at(nextRequest+maxDeliveryDelay)))
	})
	t.Run("a suspension of the machine is a stall, although the clock does not count it", func(t *testing.T) {
		for _, suspension := range []time.Duration{300 * time.Millisecond, 3 * time.Second, 30 * time.Second} {
			w := running()
			suspended := time.Duration(0)
			w.SuspendedTime = func() time.Duration { return suspended }
			const asked = time.Second + expireInterval
			w.requestSent(at(asked))
			assert.False(t, w.mayBeDelayed(at(asked+1)))
			suspended += suspension
			assert.True(t, w.mayBeDelayed(at(asked+2)), "after %s", suspension)
			assert.True(t, w.stalledSince(at(asked), at(asked+2)))
		}
	})
	t.Run("changes that arrive while that request waits are not delayed", func(t *testing.T) {
		w := running()
		w.tick(at(stallEnd))
		w.requestSent(at(stallEnd))
		assert.False(t, w.mayBeDelayed(at(stallEnd+maxDeliveryDelay)))
	})
}

// A list that waited for the machine to resume is as old as the suspension was long.
func TestResponseDelayedBySuspension(t *testing.T) {
	start := time.Unix(1000, 0)
	suspended := time.Duration(0)
	s := &State{}
	s.stalls.SuspendedTime = func() time.Duration { return suspended }
	s.stalls.tick(start)
	asked := sourceRequest{sentAt: start, suspendedTime: suspended}
	assert.Equal(t, start.Add(expireInterval), s.answeredAt(asked, start.Add(expireInterval)))
	suspended = 10 * time.Second
	assert.Equal(t, start.Add(-10*time.Second), s.answeredAt(asked, start.Add(expireInterval)))
}
