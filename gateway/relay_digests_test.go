package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/digest"
	"github.com/rillreach/rillreach/entrycount"
	"github.com/rillreach/rillreach/roster"
)

// TestDigestsMisapplied guards against runners that an entry takes to be silent, idle or known better than they are
// because their reports come by a relay.
func TestDigestsMisapplied(t *testing.T) {
	begin := func() (*Gateway, *digestFollower) {
		g, _ := gatewayWithEngines(0)
		for _, id := range []rillreach.InstanceID{"a", "b"} {
			g.state.Roster.Put(deployment.Runner{ID: id, Service: "s", Zone: "z1", Generation: 1})
		}
		return g, &digestFollower{gateway: g, reports: map[rillreach.InstanceID]digest.Report{}}
	}
	report := func(id rillreach.InstanceID, running int) digest.Report {
		return digest.Report{Runner: id, Generation: 1, Zone: "z1", Load: bulletin.Load{Running: running}}
	}
	view := func(g *Gateway, id rillreach.InstanceID, now time.Time) roster.View {
		return g.state.Roster.Find(id).View(now)
	}
	now := time.Now()
	t.Run("a report holds until the relay names it again", func(t *testing.T) {
		g, f := begin()
		f.apply(&digest.Digest{Reports: []digest.Report{report("a", 3)}}, now)
		for range 20 {
			now = now.Add(digest.TickInterval)
			f.apply(&digest.Digest{}, now)
		}
		assert.True(t, view(g, "a", now).ReportFresh)
		assert.Equal(t, 3, view(g, "a", now).Load.Running)
		assert.False(t, view(g, "b", now).ReportFresh, "nothing is known of a runner that no digest names")
	})
	t.Run("a runner whose agent is lost has no report soon", func(t *testing.T) {
		g, f := begin()
		f.apply(&digest.Digest{Reports: []digest.Report{report("a", 3)}}, now)
		lost := report("a", 3)
		lost.Lost = true
		f.apply(&digest.Digest{Reports: []digest.Report{lost}}, now)
		later := now.Add(digest.AgentTimeout)
		f.apply(&digest.Digest{}, later)
		assert.False(t, view(g, "a", later).ReportFresh)
	})
	t.Run("a fresher report of the agent itself stays", func(t *testing.T) {
		g, f := begin()
		g.state.Roster.Find("a").SetReport(roster.Report{ReceivedAt: now, Load: deployment.Load{Running: 9}})
		f.apply(&digest.Digest{Reports: []digest.Report{report("a", 3)}}, now)
		assert.Equal(t, 9, view(g, "a", now).Load.Running)
	})
	t.Run("a report of an earlier run, or with impossible values, is ignored", func(t *testing.T) {
		g, f := begin()
		earlier, impossible := report("a", 3), report("b", -1)
		g.state.ObserveRun(rillreach.InstanceRun{ID: "a", Generation: 2})
		f.apply(&digest.Digest{Reports: []digest.Report{earlier, impossible}}, now)
		assert.False(t, view(g, "a", now).ReportFresh)
		assert.False(t, view(g, "b", now).ReportFresh)
	})
	t.Run("the entries of all zones are counted, each with its largest number of the last while", func(t *testing.T) {
		g, f := begin()
		f.apply(&digest.Digest{Entries: []digest.ZoneEntries{{Zone: "z1", Count: 70}, {Zone: "z2", Count: 66}}}, now)
		f.apply(&digest.Digest{Entries: []digest.ZoneEntries{{Zone: "z2", Count: 60}}}, now)
		assert.Equal(t, 136, g.entryCount())
		f.apply(&digest.Digest{Entries: []digest.ZoneEntries{{Zone: "z2", Count: 60}}}, now.Add(2*entrycount.TTL))
		assert.Equal(t, 130, g.entryCount())
	})
}
