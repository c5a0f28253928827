package dispatch

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/node"
	"github.com/rillreach/rillreach/retry"
)

var (
	errInterrupted = rillreach.MayHaveRun(rillreach.ReasonInterrupted, "backend server closed the connection")
	errOverloaded  = rillreach.NotRun(rillreach.ReasonOverload, "queue is full")
	errNoBackend   = rillreach.NotRun(rillreach.ReasonNoBackend, "backend server is out of reach")
)

// testFleet is a filter that knows a few agents of one model, and a request with a deadline in ten minutes.
type testFleet struct {
	*Filter
	x        *rillreach.Exchange
	attempts int
}

func newTestFleet(t *testing.T, agents int) *testFleet {
	t.Helper()
	f := &testFleet{
		Filter: &Filter{
			Log: logr.Discard(), Budget: &retry.Budget{},
			Node: &node.Node{Members: membership.New(), Clock: rillreach.ClockFunc(time.Now)},
		},
		x: &rillreach.Exchange{Request: *newPromptRequest("m")},
	}
	f.x.Request.Deadline = time.Now().Add(10 * time.Minute)
	for i := range agents {
		f.announce(i)
	}
	return f
}

func (f *testFleet) announce(i int) {
	f.Node.Members.Upsert(rillreach.Instance{
		ID: rillreach.InstanceID(fmt.Sprint("agent-", i)), Role: rillreach.RoleAgent, Incarnation: "1",
		Address: netip.MustParseAddrPort("127.0.0.1:1"), Side: rillreach.SideOld, Model: "m", Versions: []rillreach.VersionID{"v1"},
	})
}

// announceDelayed announces an agent after longer than the pause between two watches (watchGap in controller/spread).
func (f *testFleet) announceDelayed(i int) {
	time.AfterFunc(300*time.Millisecond, func() { f.announce(i) })
}

// runAttempts processes the request. Its attempts have the given results in order, and any further attempt succeeds.
func (f *testFleet) runAttempts(ctx context.Context, results ...error) error {
	return f.tryAgents(ctx, f.x, func(*membership.Member, int) error {
		f.attempts++
		if f.attempts > len(results) {
			return nil
		}
		return results[f.attempts-1]
	})
}

func assertRefusal(t *testing.T, err error, outcome rillreach.Outcome) {
	t.Helper()
	var refusal *rillreach.Refusal
	require.ErrorAs(t, err, &refusal)
	assert.Equal(t, outcome, refusal.Outcome, refusal.Message)
}

func TestFinalRefusalCoversAllAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		agents  int
		results []error
		outcome rillreach.Outcome
	}{
		"no attempt was run":                                  {2, []error{errOverloaded, errNoBackend}, rillreach.OutcomeNotRun},
		"one may have run, then no agent is left":             {1, []error{errInterrupted}, rillreach.OutcomeUnknown},
		"one may have run, the next was not run":              {2, []error{errInterrupted, errNoBackend}, rillreach.OutcomeUnknown},
		"one was not run, the next may have run":              {2, []error{errNoBackend, errInterrupted}, rillreach.OutcomeUnknown},
		"one may have run, and no further attempt is allowed": {5, []error{errInterrupted, errOverloaded, errOverloaded, errOverloaded}, rillreach.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assertRefusal(t, newTestFleet(t, c.agents).runAttempts(t.Context(), c.results...), c.outcome)
			})
		})
	}
}

// Guards against requests that use up the retry budget though there is no agent to retry at, so that others fail later.
func TestRetryWithoutAgentUsesUpBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		for range 3 * retry.DefaultReserve {
			assertRefusal(t, f.runAttempts(t.Context(), errNoBackend), rillreach.OutcomeNotRun)
			f.attempts = 0
		}
		f.announce(1)
		require.NoError(t, f.runAttempts(t.Context(), errNoBackend))
	})
}

// A request that may have run failed because the entry learned of an agent only after all others had failed. Time is
// virtual.
func TestWaitForUndiscoveredAgent(t *testing.T) {
	t.Run("a new agent gets the request after the only known agent was interrupted", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, 1)
			f.announceDelayed(9)
			require.NoError(t, f.runAttempts(t.Context(), errInterrupted))
			assert.Equal(t, 2, f.attempts)
		})
	})
	t.Run("a new agent gets the request after one agent was interrupted and another was unreachable, in either order", func(t *testing.T) {
		for _, results := range [][]error{{errInterrupted, errNoBackend}, {errNoBackend, errInterrupted}} {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 2)
				f.announceDelayed(9)
				require.NoError(t, f.runAttempts(t.Context(), results...))
				assert.Equal(t, 3, f.attempts)
			})
		}
	})
	t.Run("no wait if another agent is already known", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f, start := newTestFleet(t, 3), time.Now()
			require.NoError(t, f.runAttempts(t.Context(), errInterrupted, errNoBackend))
			assert.Zero(t, time.Since(start))
		})
	})
	t.Run("no wait if the request was certainly not run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f, start := newTestFleet(t, 2), time.Now()
			assertRefusal(t, f.runAttempts(t.Context(), errOverloaded, errNoBackend), rillreach.OutcomeNotRun)
			assert.Zero(t, time.Since(start))
		})
	})
	t.Run("no wait if the retry budget is used up", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f, start := newTestFleet(t, 1), time.Now()
			for f.Budget.TrySpend() {
				continue
			}
			assertRefusal(t, f.runAttempts(t.Context(), errInterrupted), rillreach.OutcomeUnknown)
			assert.Zero(t, time.Since(start))
		})
	})
	t.Run("the wait ends after the time that a caller would be told to wait before a retry", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f, start := newTestFleet(t, 1), time.Now()
			assertRefusal(t, f.runAttempts(t.Context(), errInterrupted), rillreach.OutcomeUnknown)
			assert.Equal(t, defaultRetryAfter, time.Since(start))
		})
	})
	t.Run("the wait ends if the caller disconnects", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f, start := newTestFleet(t, 1), time.Now()
			time.AfterFunc(100*time.Millisecond, cancel)
			assertRefusal(t, f.runAttempts(ctx, errInterrupted), rillreach.OutcomeUnknown)
			assert.Equal(t, 100*time.Millisecond, time.Since(start))
		})
	})
}
