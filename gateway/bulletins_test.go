package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
)

// A runner with an invalid load report must be treated as one without a report, and still be used.
func TestInvalidLoadReport(t *testing.T) {
	now := time.Now()
	loads := map[string]bulletin.Load{
		"a negative number of requests":                    {Running: -1},
		"negative memory":                                  {UsedTokens: -5},
		"impossibly much memory":                           {UsedTokens: 1 << 40},
		"more requests without an event than running ones": {Running: 1, AwaitingFirstEvent: 2},
	}
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			g, x := gatewayWithEngines(0)
			g.state.Roster.Put(deployment.Runner{ID: "r", Service: "s"})
			g.applyBulletin(&bulletin.Bulletin{Runner: "r", Load: load}, now)
			assert.False(t, g.state.Roster.Find("r").View(now).ReportFresh)
			choice, _ := g.chooseWithRoom(x, g.findOptions(x, g.viewsAt(now), now), roomQuery{senders: 1}, now)
			assert.Equal(t, 0, choice.Index)
		})
	}
	t.Run("a valid report is used", func(t *testing.T) {
		g, _ := gatewayWithEngines(0)
		g.state.Roster.Put(deployment.Runner{ID: "r", Service: "s"})
		g.applyBulletin(&bulletin.Bulletin{Runner: "r", Load: bulletin.Load{Running: 2, AwaitingFirstEvent: 1, UsedTokens: 100}}, now)
		assert.Equal(t, 100, g.state.Roster.Find("r").View(now).Load.UsedTokens)
	})
}

// Agents report on the runners' clock when a weight load is scheduled. The entry must not depend on its own clock to
// agree.
func TestScheduledWeightLoads(t *testing.T) {
	now := time.Now()
	viewAfter := func(b *bulletin.Bulletin) roster.View {
		g, _ := gatewayWithEngines(0)
		g.state.Roster.Put(deployment.Runner{ID: "r", Service: "s"})
		b.Runner = "r"
		g.applyBulletin(b, now)
		return g.state.Roster.Find("r").View(now)
	}
	t.Run("a reported load is scheduled", func(t *testing.T) {
		v := viewAfter(&bulletin.Bulletin{Clock: 5000, Load: bulletin.Load{WeightLoadAt: 6500}})
		assert.True(t, v.WeightLoadScheduled)
		assert.Equal(t, 1500*time.Millisecond, v.TimeToWeightLoad)
	})
	t.Run("no load is reported", func(t *testing.T) {
		assert.False(t, viewAfter(&bulletin.Bulletin{Clock: 5000}).WeightLoadScheduled)
	})
	t.Run("the report lacks the runners' clock", func(t *testing.T) {
		assert.False(t, viewAfter(&bulletin.Bulletin{Load: bulletin.Load{WeightLoadAt: 6500}}).WeightLoadScheduled)
	})
}
