package gateway

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/internal/standin/site"
	"github.com/rillreach/rillreach/roster"
)

// Guards against moving a stream from an engine that is about to load weights to one whose load is scheduled. The
// stream would wait there for its first token and be refused when the load starts.
func TestStreamMovesToEngineAboutToLoad(t *testing.T) {
	sendFifth, sendSixth := make(chan struct{}), make(chan struct{})
	loads := &site.Engine{Model: site.Model, Version: 1}
	loads.ID = "loads"
	loads.Handle = func(w http.ResponseWriter, r *http.Request) {
		site.StreamEvents(w, r, 4, 0)
		<-sendFifth
		r.Header.Set("Last-Event-Id", "4")
		site.StreamEvents(w, r, 5, 0)
		select {
		case <-sendSixth:
		case <-r.Context().Done():
			return
		}
		r.Header.Set("Last-Event-Id", "5")
		site.StreamEvents(w, r, 6, 0)
	}
	soon := &site.Engine{Model: site.Model, Version: 1}
	soon.ID = "soon"
	w := startWithEngines(t, loads)
	defer w.stop()
	conn := w.sendPrompt(t, "/prompt/x")
	w.eventually(t, func() bool { return len(loads.ReceivedRequests()) == 1 })
	w.addEngine(t, soon)
	later := time.Now().Add(testTimeout) // so that the reports stay fresh
	w.gateway.state.Roster.Find("soon").SetReport(roster.Report{ReceivedAt: later, WeightLoadAt: time.Now()})
	w.gateway.state.Roster.Find("loads").SetReport(roster.Report{ReceivedAt: later, Load: deployment.Load{Running: 1, UsedTokens: 1540, LoadingWeights: true}})
	close(sendFifth)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	firstPart := make([]byte, len(eventsUpTo(5)))
	_, err = io.ReadFull(resp.Body, firstPart)
	require.NoError(t, err)
	close(sendSixth)
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	assert.Equal(t, eventsUpTo(6), string(firstPart)+string(rest))
	assert.Empty(t, soon.ReceivedRequests())
}

// TestAvoidsRunnersAboutToLoad checks which runners are avoided by a stream that moves.
func TestAvoidsRunnersAboutToLoad(t *testing.T) {
	isAvoidedWith := func(change func(*Gateway, *exchange, *roster.Report)) bool {
		g, x := gatewayWithEngines(1)
		now := time.Now()
		x.headSent = true
		report := roster.Report{ReceivedAt: now}
		change(g, x, &report)
		g.state.Roster.Find("r0").SetReport(report)
		return g.findOptions(x, g.viewsAt(now), now).candidates[0].Avoided
	}
	loadAfter := func(d time.Duration) func(*Gateway, *exchange, *roster.Report) {
		return func(_ *Gateway, _ *exchange, r *roster.Report) { r.WeightLoadAt = r.ReceivedAt.Add(d) }
	}
	setDesiredVersion := func(version deployment.WeightVersion) func(*Gateway, *exchange, *roster.Report) {
		return func(g *Gateway, _ *exchange, _ *roster.Report) {
			g.state.SetWeights(deployment.DesiredWeights{Model: benchModel, Version: version, Revision: rillreach.Revision{Number: 9}})
		}
	}
	t.Run("a runner whose load may start before the first token is avoided", func(t *testing.T) {
		assert.True(t, isAvoidedWith(loadAfter(minExpectedWait-time.Millisecond)))
	})
	t.Run("a runner whose expected wait is longer than the time to its load is avoided", func(t *testing.T) {
		assert.True(t, isAvoidedWith(func(g *Gateway, _ *exchange, r *roster.Report) {
			g.state.Roster.Find("r0").BeginRequest(r.ReceivedAt.Add(-3*time.Second), 100, 100)
			r.WeightLoadAt = r.ReceivedAt.Add(2 * time.Second)
		}))
	})
	t.Run("a runner whose load starts later is not avoided", func(t *testing.T) {
		assert.False(t, isAvoidedWith(loadAfter(minExpectedWait)))
	})
	t.Run("a runner with replaced weights and no scheduled load is avoided", func(t *testing.T) {
		assert.True(t, isAvoidedWith(setDesiredVersion(2)))
	})
	t.Run("a runner with the newest weights is not avoided", func(t *testing.T) {
		assert.False(t, isAvoidedWith(setDesiredVersion(1)))
	})
	t.Run("a request whose answer has not started avoids none", func(t *testing.T) {
		assert.False(t, isAvoidedWith(func(_ *Gateway, x *exchange, r *roster.Report) { x.headSent, r.WeightLoadAt = false, r.ReceivedAt }))
	})
}
