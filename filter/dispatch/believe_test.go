package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/membership"
)

// askedFirst is the agent that the next request of the fleet's conversation is sent to first; it answers.
func (f *smallFleet) askedFirst(t *testing.T) rillreach.InstanceID {
	t.Helper()
	var first rillreach.InstanceID
	require.NoError(t, f.tryAgents(t.Context(), f.x, func(m *membership.Member, _ int) error {
		first = m.ID
		return nil
	}))
	return first
}

// refuseFirst has a request refused by the agent that it is sent to first, and answered by the next.
func (f *smallFleet) refuseFirst(t *testing.T, refusal *rillreach.Refusal) (first rillreach.InstanceID) {
	t.Helper()
	require.NoError(t, f.tryAgents(t.Context(), f.x, func(m *membership.Member, attempt int) error {
		if attempt > 1 {
			return nil
		}
		first = m.ID
		return refusal
	}))
	return first
}

// TestRefusalHoldsForLaterRequests: agents that had said that they leave or are full were asked first by the next request, too.
func TestRefusalHoldsForLaterRequests(t *testing.T) {
	const full = 2 * time.Second
	t.Run("an agent that leaves is asked no more", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSmallFleet(t, 2)
			home := f.refuseFirst(t, rillreach.NotRun(rillreach.ReasonLeaving, "agent is leaving"))
			assert.NotEqual(t, home, f.askedFirst(t))
			time.Sleep(time.Hour)
			assert.NotEqual(t, home, f.askedFirst(t))
		})
	})
	t.Run("one that is full is asked again once it has room", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSmallFleet(t, 2)
			home := f.refuseFirst(t, rillreach.NotRun(rillreach.ReasonOverload, "queue is full").WithRetryAfter(full))
			assert.NotEqual(t, home, f.askedFirst(t))
			time.Sleep(full)
			assert.Equal(t, home, f.askedFirst(t))
		})
	})
	t.Run("a refusal that speaks of the request alone is held against nobody", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSmallFleet(t, 2)
			home := f.refuseFirst(t, rillreach.NotRun(rillreach.ReasonDeadline, "deadline has passed").WithRetryAfter(full))
			assert.Equal(t, home, f.askedFirst(t))
		})
	})
}
