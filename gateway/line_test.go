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

// fullEngineLoad is a load that leaves no room in the memory of the test engines.
var fullEngineLoad = deployment.Load{Running: 5, UsedTokens: 39000}

// Guards against sending a prompt to an engine without room. It waits at the entry until an engine has room or the
// caller would have given up.
func TestPromptSentToFullEngine(t *testing.T) {
	begin := func(t *testing.T) (*world, *site.Engine) {
		t.Helper()
		engine := &site.Engine{Model: site.Model, Version: 1}
		engine.ID = "e"
		w := startWithEngines(t, engine)
		w.reportLoad("e", fullEngineLoad)
		return w, engine
	}
	t.Run("the prompt is sent once there is room", func(t *testing.T) {
		w, engine := begin(t)
		defer w.stop()
		conn := w.sendPrompt(t, "/prompt/x")
		w.eventually(t, func() bool { return w.gateway.queue.len() == 1 })
		assert.Empty(t, engine.ReceivedRequests())
		w.reportLoad("e", deployment.Load{})
		got := readAnswer(t, conn, "POST")
		require.NoError(t, got.err)
		assert.Equal(t, http.StatusOK, got.status)
	})
	t.Run("a prompt whose caller disconnects is not sent", func(t *testing.T) {
		w, engine := begin(t)
		defer w.stop()
		conn := w.sendPrompt(t, "/prompt/x")
		w.eventually(t, func() bool { return w.gateway.queue.len() == 1 })
		require.NoError(t, conn.Close())
		w.eventually(t, func() bool { return w.gateway.queue.len() == 0 })
		w.reportLoad("e", deployment.Load{})
		assert.Empty(t, engine.ReceivedRequests())
	})
	t.Run("without room the prompt is refused as not run with a Retry-After header", func(t *testing.T) {
		w, engine := begin(t)
		defer w.stop()
		got := readAnswer(t, w.sendPrompt(t, "/prompt/x"), "POST")
		assertGatewayAnswer(t, got, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.Positive(t, after)
		assert.Empty(t, engine.ReceivedRequests())
	})
}

// reportLoad sets the report of an engine's agent.
func (w *world) reportLoad(id rillreach.InstanceID, load deployment.Load) {
	w.gateway.state.Roster.Find(id).SetReport(roster.Report{Load: load, ReceivedAt: time.Now().Add(testTimeout)})
	w.gateway.queue.notify()
}

// Guards against holding a request that cannot be admitted before its caller gives up because of the requests ahead of
// it.
func TestBacklogHoldsDoomedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, x := gatewayWithEngines(1)
		g.state.Roster.Find("r0").SetReport(roster.Report{Load: deployment.Load{Running: 1, UsedTokens: 70000}, ReceivedAt: time.Now().Add(time.Hour)})
		now := time.Now()
		x.arrived, x.deadline = now, now.Add(3*time.Second)
		g.queue.admitRate.Record(now, 3000) // 1000 tokens per second
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		first := make(chan string, 1)
		go func() {
			_, verdict := g.queue.admit(ctx, x)
			first <- verdict
		}()
		synctest.Wait()
		require.Equal(t, 1, g.queue.len(), "the first request waits")
		second := *x
		_, verdict := g.queue.admit(ctx, &second)
		assert.Equal(t, verdictBacklog, verdict)
		assert.Equal(t, now, time.Now(), "the second request was not refused at once")
		assert.InDelta(t, 12.2, second.admissionWait.Seconds(), 0.1)
		cancel()
		assert.Equal(t, verdictLeftQueue, <-first)
	})
}

// Guards against small prompts that take the memory that becomes free before it is enough for a large prompt ahead of
// them.
func TestSmallPromptsStarveLargePrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, large := gatewayWithEngines(1)
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
		report(50000) // enough room for the small one only
		g.queue.admitWaiting(time.Now())
		synctest.Wait()
		assert.Empty(t, admitted)
		report(1000)
		g.queue.admitWaiting(time.Now())
		assert.Equal(t, "large", <-admitted)
	})
}
