package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/localstate"
	"github.com/rillreach/rillreach/roster"
)

// Guards against a decision whose cost grows with the number of engines times the number of holders of the prompt's
// parts. It must grow with the number of engines only.
func TestDecisionCostGrowsWithHolders(t *testing.T) {
	const (
		engines   = maxExamined
		perEngine = 5 // memory allocations
	)
	g, x := gatewayWithEngines(engines)
	addPartHolders(g, x, engines)
	now := time.Now()
	allocs := testing.AllocsPerRun(3, func() {
		o := g.findOptions(x, g.viewsAt(now), now)
		choice, _ := g.chooseWithRoom(x, o, roomQuery{senders: 1}, now)
		require.GreaterOrEqual(t, choice.Index, 0)
	})
	assert.LessOrEqual(t, allocs, float64(perEngine*engines))
}

// Guards against decisions that examine all engines of a large service, so that their cost grows with the deployment.
func TestDecisionExaminesAllEngines(t *testing.T) {
	examined := func(engines int) int {
		g, x := gatewayWithEngines(engines)
		views := g.viewsAt(time.Now())
		o := g.findOptions(x, views, views.now)
		require.NotEmpty(t, o.views)
		return max(len(views.byRunner), len(o.views))
	}
	assert.Equal(t, 10, examined(10))
	assert.Equal(t, 30, examined(30))
	for _, engines := range []int{100, 300, 900} {
		assert.LessOrEqual(t, examined(engines), 21, "%d engines", engines)
	}
}

func TestHomes(t *testing.T) {
	homesOf := func(g *Gateway, x *exchange) []rillreach.InstanceID {
		var ids []rillreach.InstanceID
		group := g.viewsAt(time.Now()).forRequest(x)
		for _, v := range group.views[:group.homes] {
			ids = append(ids, v.ID)
		}
		return ids
	}
	t.Run("all entries place a conversation at the same engines", func(t *testing.T) {
		a, x := gatewayWithEngines(100)
		b, _ := gatewayWithEngines(100)
		b.Settings.Name, b.Settings.Zone = "other", "z1"
		assert.Equal(t, homesOf(a, x), homesOf(b, x))
	})
	t.Run("the first home that has room is chosen", func(t *testing.T) {
		g, x := gatewayWithEngines(100)
		now := time.Now()
		for _, r := range g.state.Roster.ByService("s") {
			r.SetReport(roster.Report{ReceivedAt: now.Add(2 * time.Hour)})
		}
		o := g.findOptions(x, g.viewsAt(now), now)
		choice, _ := g.chooseWithRoom(x, o, roomQuery{senders: 1}, now)
		assert.Equal(t, homesOf(g, x)[0], o.views[choice.Index].ID)
	})
	t.Run("another engine takes the place of a home that loads weights", func(t *testing.T) {
		g, x := gatewayWithEngines(100)
		before := homesOf(g, x)
		g.state.Roster.Find(before[0]).SetReport(roster.Report{ReceivedAt: time.Now().Add(2 * time.Hour), Load: deployment.Load{LoadingWeights: true}})
		after := homesOf(g, x)
		assert.Equal(t, before[1:], after[:len(before)-1])
		assert.Len(t, after, maxHomes)
	})
	t.Run("they are in the entry's own region, unless that has too few engines", func(t *testing.T) {
		inRegion := func(zones map[rillreach.ZoneID]rillreach.RegionID) map[rillreach.ZoneID]bool {
			g, x := gatewayWithEngines(100)
			g.Settings.Regions = zones
			used := map[rillreach.ZoneID]bool{}
			for _, id := range homesOf(g, x) {
				used[g.state.Roster.Find(id).Info().Zone] = true
			}
			return used
		}
		assert.Equal(t, map[rillreach.ZoneID]bool{"z0": true}, inRegion(map[rillreach.ZoneID]rillreach.RegionID{"z0": "here", "z1": "there", "z2": "there"}))
		assert.Greater(t, len(inRegion(map[rillreach.ZoneID]rillreach.RegionID{"z0": "r", "z1": "r", "z2": "r"})), 1)
	})
	t.Run("they are where a request may run although that is not the entry's region", func(t *testing.T) {
		g, x := gatewayWithEngines(100)
		g.Settings.Regions = map[rillreach.ZoneID]rillreach.RegionID{"z0": "here", "z1": "there", "z2": "elsewhere"}
		x.regionsLimited, x.regions = true, []rillreach.RegionID{"there"}
		for _, id := range homesOf(g, x) {
			assert.Equal(t, rillreach.ZoneID("z1"), g.state.Roster.Find(id).Info().Zone)
		}
		assert.NotEmpty(t, g.findOptions(x, g.viewsAt(time.Now()), time.Now()).views)
	})
	t.Run("a conversation stays where it is when another engine leaves", func(t *testing.T) {
		g, x := gatewayWithEngines(100)
		before := homesOf(g, x)
		for _, r := range g.state.Roster.ByService("s") {
			if id := r.Info().ID; !slices.Contains(before, id) {
				g.state.Roster.Remove(time.Now(), id, time.Time{})
				break
			}
		}
		assert.Equal(t, before, homesOf(g, x))
	})
}

// Guards against an entry that follows all agents, so that connections and messages grow with entries times agents.
func TestSubscriptionsGrowWithAgents(t *testing.T) {
	followed := func(engines int) int {
		g, _ := gatewayWithEngines(engines)
		groups := g.sampleGroups(map[rillreach.ServiceID][]*roster.Runner{"s": g.state.Roster.ByService("s")})
		return len(groups["s"])
	}
	for _, engines := range []int{30, 100, 900} {
		assert.LessOrEqual(t, followed(engines), maxFollowed)
	}
	t.Run("the agents of a zone have about as many followers each", func(t *testing.T) {
		g, _ := gatewayWithEngines(300)
		followers := map[rillreach.InstanceID]int{}
		for i := range 100 {
			g.Settings.Name = fmt.Sprint("entry-", i)
			for _, r := range g.sampleGroups(map[rillreach.ServiceID][]*roster.Runner{"s": g.state.Roster.ByService("s")})["s"] {
				followers[r.Info().ID]++
			}
		}
		for _, n := range followers {
			assert.LessOrEqual(t, n, 4*100*maxFollowed/100)
		}
	})
}

// Guards against a plan in which an engine that holds a part is its own fallback holder.
func TestEngineFetchesFromItself(t *testing.T) {
	g, x := gatewayWithEngines(10)
	addPartHolders(g, x, 10)
	now := time.Now()
	o := g.findOptions(x, g.viewsAt(now), now)
	for i, v := range o.views {
		g.planCandidate(x, o, i, now)
		assert.NotContains(t, o.plans[i].Sources, v.Address)
		assert.True(t, o.plans[i].Sources[0].IsValid())
	}
}

// Guards against a request to a large service that is refused because no engine of its sample may take it, although others
// may.
func TestRefusedAlthoughEnginesOutsideSampleAreUsable(t *testing.T) {
	t.Run("all engines of the entry's region leave", func(t *testing.T) {
		g, x := gatewayWithEngines(100)
		g.Settings.Regions = map[rillreach.ZoneID]rillreach.RegionID{"z0": "here", "z1": "there", "z2": "there"}
		for _, r := range g.state.Roster.ByService("s") {
			if info := r.Info(); info.Zone == "z0" {
				info.Leaving = true
				g.state.Roster.Put(info)
			}
		}
		now := time.Now()
		o := g.findOptions(x, g.viewsAt(now), now)
		require.NotEmpty(t, o.views)
		for _, v := range o.views {
			assert.NotEqual(t, rillreach.ZoneID("z0"), v.Zone)
		}
	})
	t.Run("one of 900 engines has the version of a completed rollout", func(t *testing.T) {
		g, x := gatewayWithEngines(900)
		info := g.state.Roster.Find("r500").Info()
		info.Software = "v2"
		g.state.Roster.Put(info)
		completed := deployment.Rollout{Service: "s", Target: "v2", Duration: time.Minute, State: deployment.RolloutCompleted}
		g.rollouts.gateway = g
		g.rollouts.add("s", &activeRollout{known: localstate.KnownRollout{Rollout: completed, LearnedAt: time.Now()}})
		for i := range 10 {
			x.wire.Prompt.Parts[1].ID = fmt.Sprint("conversation-", i)
			now := time.Now()
			o := g.findOptions(x, g.viewsAt(now), now)
			require.Len(t, o.views, 1)
			assert.Equal(t, info.ID, o.views[0].ID)
		}
	})
	t.Run("a rollout exposes requests although one of 900 engines has the current version", func(t *testing.T) {
		g, x := gatewayWithEngines(900)
		for _, r := range g.state.Roster.ByService("s") {
			if info := r.Info(); info.ID != "r500" {
				info.Software = "v2"
				g.state.Roster.Put(info)
			}
		}
		requested := deployment.Rollout{Service: "s", Target: "v2", Duration: time.Minute}
		g.rollouts.gateway = g
		g.rollouts.add("s", &activeRollout{known: localstate.KnownRollout{Rollout: requested, LearnedAt: time.Now()}})
		for i := range 10 {
			x.wire.Prompt.Parts[1].ID = fmt.Sprint("conversation-", i)
			now := time.Now()
			o := g.findOptions(x, g.viewsAt(now), now)
			require.Len(t, o.views, 1)
			assert.Equal(t, rillreach.InstanceID("r500"), o.views[0].ID)
		}
	})
	t.Run("requests that wait after such a one examine samples of their own", func(t *testing.T) {
		g, x := gatewayWithEngines(900)
		views := g.viewsAt(time.Now())
		views.all("s")
		assert.LessOrEqual(t, len(g.findOptions(x, views, views.now).views), 21)
	})
}
