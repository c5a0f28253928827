package gateway

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
	"github.com/rillreach/rillreach/roster"
)

// fullEngine is a load that leaves no room in the memory of the stand-in's engines.
var fullEngine = deployment.Load{Running: 5, UsedTokens: 39000}

// TestPromptWaitsForRoom: a prompt for which no engine has room stays at the entry until one has, or until its caller would be gone.
func TestPromptWaitsForRoom(t *testing.T) {
	begin := func(t *testing.T) (*world, *site.Engine) {
		t.Helper()
		engine := &site.Engine{Model: site.Model, Version: 1}
		engine.ID = "e"
		w := startWithEngines(t, engine)
		w.report("e", fullEngine)
		return w, engine
	}
	t.Run("it is sent once there is room", func(t *testing.T) {
		w, engine := begin(t)
		defer w.stop()
		conn := w.sendPrompt(t, "/prompt/x")
		w.eventually(t, func() bool { return w.gateway.queue.len() == 1 })
		assert.Empty(t, engine.Runs())
		w.report("e", deployment.Load{})
		got := readAnswer(t, conn, "POST")
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status)
	})
	t.Run("one whose caller leaves is sent nowhere", func(t *testing.T) {
		w, engine := begin(t)
		defer w.stop()
		conn := w.sendPrompt(t, "/prompt/x")
		w.eventually(t, func() bool { return w.gateway.queue.len() == 1 })
		require.NoError(t, conn.Close())
		w.eventually(t, func() bool { return w.gateway.queue.len() == 0 })
		w.report("e", deployment.Load{})
		assert.Empty(t, engine.Runs())
	})
	t.Run("where no room comes it is refused as not run, with a time to come back", func(t *testing.T) {
		w, engine := begin(t)
		defer w.stop()
		got := readAnswer(t, w.sendPrompt(t, "/prompt/x"), "POST")
		assertGatewayAnswer(t, got, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.Positive(t, after)
		assert.Empty(t, engine.Runs())
	})
}

// report has the engine's agent say how it is.
func (w *world) report(id rillreach.InstanceID, load deployment.Load) {
	w.gateway.state.Roster.Find(id).SetReport(roster.Report{Load: load, ReceivedAt: time.Now().Add(testTimeout)})
	w.gateway.queue.changed()
}

// TestBacklogRefusesAtOnce: what waits already keeps a prompt from an engine until its caller has gone, so that it isn't held.
func TestBacklogRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, x := beforeEngines(1)
		g.state.Roster.Find("r0").SetReport(roster.Report{Load: deployment.Load{Running: 1, UsedTokens: 70000}, ReceivedAt: time.Now().Add(time.Hour)})
		now := time.Now()
		x.arrived, x.deadline = now, now.Add(3*time.Second)
		g.queue.backlog.Record(now, 3000) // 1,000 tokens a second
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		first := make(chan string, 1)
		go func() {
			_, verdict := g.queue.admit(ctx, x)
			first <- verdict
		}()
		synctest.Wait()
		require.Equal(t, 1, g.queue.len(), "nothing waits before the first")
		second := *x
		_, verdict := g.queue.admit(ctx, &second)
		assert.Equal(t, verdictBacklog, verdict)
		assert.Equal(t, now, time.Now(), "the refusal took no time")
		assert.InDelta(t, 12.2, second.admissionWait.Seconds(), 0.1)
		cancel()
		assert.Equal(t, verdictLeftQueue, <-first)
	})
}

// TestHeadOfLineKeepsItsEngine: small prompts don't take the room that comes back before a large one that waits first.
func TestHeadOfLineKeepsItsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, large := beforeEngines(1)
		report := func(used int) {
			g.state.Roster.Find("r0").SetReport(roster.Report{Load: deployment.Load{Running: 1, UsedTokens: used}, ReceivedAt: time.Now().Add(time.Hour)})
		}
		report(70000)
		small := *large
		small.wire.Prompt = &deployment.Prompt{Model: benchModel, Tokens: 1000}
		ctx := t.Context()
		admitted := make(chan string, 2)
		wait := func(name string, x *exchange) {
			if target, _ := g.queue.admit(ctx, x); target != nil {
				admitted <- name
			}
		}
		go wait("large", large)
		synctest.Wait()
		small.arrived = small.arrived.Add(time.Millisecond)
		go wait("small", &small)
		synctest.Wait()
		require.Equal(t, 2, g.queue.len())
		report(50000) // room for the small one alone
		g.queue.look(time.Now())
		synctest.Wait()
		assert.Empty(t, admitted)
		report(1000)
		g.queue.look(time.Now())
		assert.Equal(t, "large", <-admitted)
	})
}
