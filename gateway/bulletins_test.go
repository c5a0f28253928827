package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
)

// TestReportThatCannotBeTrue: a runner whose report makes no sense is one without a report, and still serves.
func TestReportThatCannotBeTrue(t *testing.T) {
	now := time.Now()
	loads := map[string]bulletin.Load{
		"a negative number of requests":    {Running: -1},
		"negative memory":                  {UsedTokens: -5},
		"more memory than there can be":    {UsedTokens: 1 << 40},
		"more unread requests than it has": {Running: 1, AwaitingFirstEvent: 2},
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
	t.Run("one that makes sense counts", func(t *testing.T) {
		g, _ := gatewayWithEngines(0)
		g.state.Roster.Put(deployment.Runner{ID: "r", Service: "s"})
		g.applyBulletin(&bulletin.Bulletin{Runner: "r", Load: bulletin.Load{Running: 2, AwaitingFirstEvent: 1, UsedTokens: 100}}, now)
		assert.Equal(t, 100, g.state.Roster.Find("r").View(now).Load.UsedTokens)
	})
}

// TestScheduledLoads: an agent tells on the runners' clock when its runner loads; the entry's own clock may say anything.
func TestScheduledLoads(t *testing.T) {
	now := time.Now()
	viewAfter := func(b *bulletin.Bulletin) roster.View {
		g, _ := gatewayWithEngines(0)
		g.state.Roster.Put(deployment.Runner{ID: "r", Service: "s"})
		b.Runner = "r"
		g.applyBulletin(b, now)
		return g.state.Roster.Find("r").View(now)
	}
	t.Run("a load that is told of is scheduled", func(t *testing.T) {
		v := viewAfter(&bulletin.Bulletin{Clock: 5000, Load: bulletin.Load{WeightLoadAt: 6500}})
		assert.True(t, v.WeightLoadScheduled)
		assert.Equal(t, 1500*time.Millisecond, v.TimeToWeightLoad)
	})
	t.Run("without one none is", func(t *testing.T) {
		assert.False(t, viewAfter(&bulletin.Bulletin{Clock: 5000}).WeightLoadScheduled)
	})
	t.Run("nor is it where the runners' clock is not told", func(t *testing.T) {
		assert.False(t, viewAfter(&bulletin.Bulletin{Load: bulletin.Load{WeightLoadAt: 6500}}).WeightLoadScheduled)
	})
}
