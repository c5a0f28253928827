package localstate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/follow"
	"github.com/rillreach/rillreach/notify"
)

// A process that may be a relay must know whether it is one before its first watch of the configuration.
func TestAwaitRunners(t *testing.T) {
	// waits returns how long awaitRunners takes if the runners are listed after the given time.
	waits := func(t *testing.T, s *State, listed time.Duration) time.Duration {
		t.Helper()
		var took time.Duration
		synctest.Test(t, func(t *testing.T) {
			time.AfterFunc(listed, func() { s.replaceRunners(nil, time.Time{}) })
			start := time.Now()
			s.awaitRunners(t.Context())
			took = time.Since(start)
			time.Sleep(listed)
		})
		return took
	}
	mayRelay := func() *State {
		return &State{RelayPace: func() (follow.Pace, bool) { return follow.Pace{}, false }}
	}
	t.Run("it waits for the list of runners", func(t *testing.T) {
		assert.Equal(t, 2*runnersPollInterval, waits(t, mayRelay(), runnersPollInterval+1))
	})
	t.Run("the wait is bounded", func(t *testing.T) {
		assert.Equal(t, maxRunnersWait, waits(t, mayRelay(), time.Hour))
	})
	t.Run("a process that cannot be a relay does not wait", func(t *testing.T) {
		assert.Zero(t, waits(t, &State{}, time.Second))
	})
	t.Run("a canceled context ends the wait", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		start := time.Now()
		mayRelay().awaitRunners(ctx)
		assert.Less(t, time.Since(start), maxRunnersWait)
	})
}

// A relay reports the revision of the last change of each kind, once the store has answered.
func TestNotices(t *testing.T) {
	var s State
	now := time.Now()
	assert.Empty(t, s.Notices(now))
	s.runnersProgress.RecordResponse(now.Add(-time.Second), rillreach.Revision{Number: 7}, true)
	assert.Equal(t, []notify.Notice{{Kind: notify.KindRunners, Revision: rillreach.Revision{Number: 7}, Age: time.Second}}, s.Notices(now))
}
