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

// TestStreamStaysWhereOthersLoadSoon: an engine is about to load weights, and so is the only other one. A stream that moved there in
// the time between announcement and load waited for its first token, and was refused 0.21 to 0.28 s later when the load began: three
// of three cut answers in ten plays had that shape.
func TestStreamStaysWhereOthersLoadSoon(t *testing.T) {
	announced, last := make(chan struct{}), make(chan struct{})
	loads := &site.Engine{Model: site.Model, Version: 1}
	loads.ID = "loads"
	loads.Handle = func(w http.ResponseWriter, r *http.Request) {
		site.Events(w, r, 4, 0)
		<-announced
		r.Header.Set("Last-Event-Id", "4")
		site.Events(w, r, 5, 0)
		select {
		case <-last:
		case <-r.Context().Done():
			return
		}
		r.Header.Set("Last-Event-Id", "5")
		site.Events(w, r, 6, 0)
	}
	soon := &site.Engine{Model: site.Model, Version: 1}
	soon.ID = "soon"
	w := startWithEngines(t, loads)
	defer w.stop()
	conn := w.sendPrompt(t, "/prompt/x")
	w.eventually(t, func() bool { return len(loads.Runs()) == 1 })
	w.addEngine(t, soon)
	later := time.Now().Add(testTimeout) // the age of these reports stays below zero
	w.gateway.state.Roster.Find("soon").SetReport(roster.Report{ReceivedAt: later, WeightLoadAt: time.Now()})
	w.gateway.state.Roster.Find("loads").SetReport(roster.Report{ReceivedAt: later, Load: deployment.Load{Running: 1, UsedTokens: 1540, LoadingWeights: true}})
	close(announced)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	begun := make([]byte, len(eventsUpTo(5)))
	_, err = io.ReadFull(resp.Body, begun)
	require.NoError(t, err)
	close(last)
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	assert.Equal(t, eventsUpTo(6), string(begun)+string(rest))
	assert.Empty(t, soon.Runs())
}

// TestRunnersThatLoadSoon: which runners a stream that moves leaves out as long as there are others.
func TestRunnersThatLoadSoon(t *testing.T) {
	avoids := func(change func(*Gateway, *exchange, *roster.Report)) bool {
		g, x := beforeEngines(1)
		now := time.Now()
		x.headSent = true
		report := roster.Report{ReceivedAt: now}
		change(g, x, &report)
		g.state.Roster.Find("r0").SetReport(report)
		return g.options(x, g.viewsAt(now), now).candidates[0].Avoided
	}
	loadsIn := func(d time.Duration) func(*Gateway, *exchange, *roster.Report) {
		return func(_ *Gateway, _ *exchange, r *roster.Report) { r.WeightLoadAt = r.ReceivedAt.Add(d) }
	}
	name := func(version deployment.WeightVersion) func(*Gateway, *exchange, *roster.Report) {
		return func(g *Gateway, _ *exchange, _ *roster.Report) {
			g.state.SetWeights(deployment.DesiredWeights{Model: benchModel, Version: version, Revision: rillreach.Revision{Number: 9}})
		}
	}
	t.Run("one whose load may begin before the stream does", func(t *testing.T) {
		assert.True(t, avoids(loadsIn(beginsWithin-time.Millisecond)))
	})
	t.Run("one that is expected to have the stream wait until its load", func(t *testing.T) {
		assert.True(t, avoids(func(g *Gateway, _ *exchange, r *roster.Report) {
			g.state.Roster.Find("r0").BeginRequest(r.ReceivedAt.Add(-3*time.Second), 100, 100)
			r.WeightLoadAt = r.ReceivedAt.Add(2 * time.Second)
		}))
	})
	t.Run("not one whose load is far", func(t *testing.T) {
		assert.False(t, avoids(loadsIn(beginsWithin)))
	})
	t.Run("one with replaced weights whose agent has not told yet when it loads", func(t *testing.T) {
		assert.True(t, avoids(name(2)))
	})
	t.Run("not one with the newest weights", func(t *testing.T) {
		assert.False(t, avoids(name(1)))
	})
	t.Run("a request that has not begun takes any", func(t *testing.T) {
		assert.False(t, avoids(func(_ *Gateway, x *exchange, r *roster.Report) { x.headSent, r.WeightLoadAt = false, r.ReceivedAt }))
	})
}
