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

// TestConfigurationWaitsForRunners: a process that may be a relay knows whether it is one before its first watch of the configuration.
func TestConfigurationWaitsForRunners(t *testing.T) {
	// waits is how long the wait takes where the runners are listed after the given time.
	waits := func(t *testing.T, s *State, listed time.Duration) time.Duration {
		t.Helper()
		var took time.Duration
		synctest.Test(t, func(t *testing.T) {
			time.AfterFunc(listed, func() { s.listRunners(nil, time.Time{}) })
			begun := time.Now()
			s.awaitRunners(t.Context())
			took = time.Since(begun)
			time.Sleep(listed)
		})
		return took
	}
	mayRelay := func() *State {
		return &State{RelayPace: func() (follow.Pace, bool) { return follow.Pace{}, false }}
	}
	t.Run("it waits for their list", func(t *testing.T) {
		assert.Equal(t, 2*awaitEvery, waits(t, mayRelay(), awaitEvery+1))
	})
	t.Run("but not for long", func(t *testing.T) {
		assert.Equal(t, mostAwait, waits(t, mayRelay(), time.Hour))
	})
	t.Run("one that is never a relay does not wait", func(t *testing.T) {
		assert.Zero(t, waits(t, &State{}, time.Second))
	})
	t.Run("nor one that ends", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		begun := time.Now()
		mayRelay().awaitRunners(ctx)
		assert.Less(t, time.Since(begun), mostAwait)
	})
}

// TestNotices: what a relay tells is the revision of the last change of each kind, once the store has answered.
func TestNotices(t *testing.T) {
	var s State
	now := time.Now()
	assert.Empty(t, s.Notices(now))
	s.runnersProgress.RecordResponse(now.Add(-time.Second), rillreach.Revision{Number: 7}, true)
	assert.Equal(t, []notify.Notice{{Kind: notify.KindRunners, Revision: rillreach.Revision{Number: 7}, Age: time.Second}}, s.Notices(now))
}
