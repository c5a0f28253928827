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

// firstAgentTried sends a request of the test's conversation, which the first agent answers, and returns that agent.
func (f *testFleet) firstAgentTried(t *testing.T) rillreach.InstanceID {
	t.Helper()
	var first rillreach.InstanceID
	require.NoError(t, f.tryAgents(t.Context(), f.x, func(m *membership.Member, _ int) error {
		first = m.ID
		return nil
	}))
	return first
}

// refuseAtFirstAgent sends a request that the first agent refuses and the next one answers, and returns the first
// agent.
func (f *testFleet) refuseAtFirstAgent(t *testing.T, refusal *rillreach.Refusal) (first rillreach.InstanceID) {
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

// An agent that refused a request because it was leaving or overloaded was still the first choice for the next request.
func TestLaterRequestsAvoidRefusingAgent(t *testing.T) {
	const retryAfter = 2 * time.Second
	t.Run("a leaving agent gets no more requests", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, 2)
			first := f.refuseAtFirstAgent(t, rillreach.NotRun(rillreach.ReasonLeaving, "agent is leaving"))
			assert.NotEqual(t, first, f.firstAgentTried(t))
			time.Sleep(time.Hour)
			assert.NotEqual(t, first, f.firstAgentTried(t))
		})
	})
	t.Run("an overloaded agent gets requests again after the retry time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, 2)
			first := f.refuseAtFirstAgent(t, rillreach.NotRun(rillreach.ReasonOverload, "queue is full").WithRetryAfter(retryAfter))
			assert.NotEqual(t, first, f.firstAgentTried(t))
			time.Sleep(retryAfter)
			assert.Equal(t, first, f.firstAgentTried(t))
		})
	})
	t.Run("an agent whose backend server is out of reach gets requests again after a while", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, 2)
			first := f.refuseAtFirstAgent(t, errNoBackend)
			assert.NotEqual(t, first, f.firstAgentTried(t))
			time.Sleep(defaultRetryAfter)
			assert.Equal(t, first, f.firstAgentTried(t))
		})
	})
	t.Run("a refusal for a reason of the request does not affect the agent", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, 2)
			first := f.refuseAtFirstAgent(t, rillreach.NotRun(rillreach.ReasonDeadline, "deadline has passed").WithRetryAfter(retryAfter))
			assert.Equal(t, first, f.firstAgentTried(t))
		})
	})
}
