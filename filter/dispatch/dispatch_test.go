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
	errDied  = rillreach.MayHaveRun(rillreach.ReasonInterrupted, "backend server broke off")
	errFull  = rillreach.NotRun(rillreach.ReasonOverload, "queue is full")
	errNoOne = rillreach.NotRun(rillreach.ReasonNoBackend, "backend server is out of reach")
)

// smallFleet knows some agents of one model, and has a caller who waits for ten minutes.
type smallFleet struct {
	*Filter
	x     *rillreach.Exchange
	tries int
}

func newSmallFleet(t *testing.T, agents int) *smallFleet {
	t.Helper()
	f := &smallFleet{
		Filter: &Filter{
			Log: logr.Discard(), Budget: &retry.Budget{},
			Node: &node.Node{Members: membership.New(), Clock: rillreach.ClockFunc(time.Now)},
		},
		x: &rillreach.Exchange{Request: *promptFor("m")},
	}
	f.x.Request.Deadline = time.Now().Add(10 * time.Minute)
	for i := range agents {
		f.announce(i)
	}
	return f
}

func (f *smallFleet) announce(i int) {
	f.Node.Members.Upsert(rillreach.Instance{
		ID: rillreach.InstanceID(fmt.Sprint("agent-", i)), Role: rillreach.RoleAgent, Incarnation: "1",
		Address: netip.MustParseAddrPort("127.0.0.1:1"), Side: rillreach.SideOld, Model: "m", Versions: []rillreach.VersionID{"v1"},
	})
}

// announceLater announces an agent after longer than a watcher pauses.
func (f *smallFleet) announceLater(i int) {
	time.AfterFunc(300*time.Millisecond, func() { f.announce(i) })
}

// ask has the attempts end one after another as given, each later one with an answer.
func (f *smallFleet) ask(ctx context.Context, ends ...error) error {
	return f.tryAgents(ctx, f.x, func(*membership.Member, int) error {
		f.tries++
		if f.tries > len(ends) {
			return nil
		}
		return ends[f.tries-1]
	})
}

func assertRefusal(t *testing.T, err error, outcome rillreach.Outcome) {
	t.Helper()
	var refusal *rillreach.Refusal
	require.ErrorAs(t, err, &refusal)
	assert.Equal(t, outcome, refusal.Outcome, refusal.Message)
}

func TestRefusalCoversAllAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		agents  int
		ends    []error
		outcome rillreach.Outcome
	}{
		"none has run it":                                      {2, []error{errFull, errNoOne}, rillreach.OutcomeNotRun},
		"one may have run it, then nobody is left":             {1, []error{errDied}, rillreach.OutcomeUnknown},
		"one may have run it, the next has not":                {2, []error{errDied, errNoOne}, rillreach.OutcomeUnknown},
		"one has not run it, the next may have":                {2, []error{errNoOne, errDied}, rillreach.OutcomeUnknown},
		"one may have run it, and no further attempt is given": {5, []error{errDied, errFull, errFull, errFull}, rillreach.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assertRefusal(t, newSmallFleet(t, c.agents).ask(t.Context(), c.ends...), c.outcome)
			})
		})
	}
}

// TestAgentThatIsNotKnownYet has the entry learn of an agent only after all others have failed; time is virtual.
func TestAgentThatIsNotKnownYet(t *testing.T) {
	t.Run("answers what the only known agent has broken off", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSmallFleet(t, 1)
			f.announceLater(9)
			require.NoError(t, f.ask(t.Context(), errDied))
			assert.Equal(t, 2, f.tries)
		})
	})
	t.Run("answers what one agent has broken off and another could not take, in either order", func(t *testing.T) {
		for _, ends := range [][]error{{errDied, errNoOne}, {errNoOne, errDied}} {
			synctest.Test(t, func(t *testing.T) {
				f := newSmallFleet(t, 2)
				f.announceLater(9)
				require.NoError(t, f.ask(t.Context(), ends...))
				assert.Equal(t, 3, f.tries)
			})
		}
	})
	t.Run("is asked at once where it is known before", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f, start := newSmallFleet(t, 3), time.Now()
			require.NoError(t, f.ask(t.Context(), errDied, errNoOne))
			assert.Zero(t, time.Since(start))
		})
	})
	t.Run("is not waited for by a request that certainly was not run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f, start := newSmallFleet(t, 2), time.Now()
			assertRefusal(t, f.ask(t.Context(), errFull, errNoOne), rillreach.OutcomeNotRun)
			assert.Zero(t, time.Since(start))
		})
	})
	t.Run("is not waited for without a retry to spend", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f, start := newSmallFleet(t, 1), time.Now()
			for f.Budget.TrySpend() {
				continue
			}
			assertRefusal(t, f.ask(t.Context(), errDied), rillreach.OutcomeUnknown)
			assert.Zero(t, time.Since(start))
		})
	})
	t.Run("is waited for no longer than the caller would be told to stay away", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f, start := newSmallFleet(t, 1), time.Now()
			assertRefusal(t, f.ask(t.Context(), errDied), rillreach.OutcomeUnknown)
			assert.Equal(t, comeBackAfter, time.Since(start))
		})
	})
	t.Run("is not waited for by a caller who has gone", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f, start := newSmallFleet(t, 1), time.Now()
			time.AfterFunc(100*time.Millisecond, cancel)
			assertRefusal(t, f.ask(ctx, errDied), rillreach.OutcomeUnknown)
			assert.Equal(t, 100*time.Millisecond, time.Since(start))
		})
	})
}
