package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/holdings"
	"github.com/rillreach/rillreach/roster"
)

// zones is in how many zones beforeEngines puts its engines.
const zones = 3

// beforeLocalEngines is an entry whose zone has so many engines, as the two others have.
func beforeLocalEngines(inZone int) (*Gateway, *exchange) {
	g, x := gatewayWithEngines(zones * inZone)
	x.config.Services = map[rillreach.ServiceID]*deployment.Service{x.service.Name: x.service}
	g.state.SetConfig(x.config)
	g.local.update(g.engineGroups(), g.Settings.Zone)
	return g, x
}

func TestLocalZone(t *testing.T) {
	t.Run("a zone with engines enough has little told of those in others", func(t *testing.T) {
		g, _ := beforeLocalEngines(localFrom)
		sparse := 0
		for _, w := range (&agents{gateway: g}).wanted(g.engineGroups()) {
			if w.sparse {
				sparse++
			}
		}
		assert.Equal(t, (zones-1)*localFrom, sparse)
	})
	t.Run("a zone with fewer does not count as enough", func(t *testing.T) {
		g, x := beforeLocalEngines(localFrom - 1)
		assert.False(t, g.local.has(x.service.Name))
	})
	t.Run("one that loses a few goes on, and one that loses many does not", func(t *testing.T) {
		g, x := beforeLocalEngines(localFrom)
		for _, c := range []struct {
			left  int
			local bool
		}{{localUntil, true}, {localUntil - 1, false}, {localFrom - 1, false}} {
			group := g.state.Roster.ByService(x.service.Name)
			groups := map[rillreach.ServiceID][]*roster.Runner{x.service.Name: inZone(group, g.Settings.Zone)[:c.left]}
			g.local.update(groups, g.Settings.Zone)
			assert.Equal(t, c.local, g.local.has(x.service.Name), "%d left", c.left)
		}
	})
}

// inZone are the runners of a zone.
func inZone(group []*roster.Runner, zone rillreach.ZoneID) []*roster.Runner {
	var all []*roster.Runner
	for _, r := range group {
		if r.Info().Zone == zone {
			all = append(all, r)
		}
	}
	return all
}

// TestLittleIsHeard: what a runner held when its agent told more is forgotten.
func TestLittleIsHeard(t *testing.T) {
	g, _ := beforeLocalEngines(1)
	info := g.state.Roster.Find("r1").Info()
	key := holdings.Key{Salt: "1/m", Part: "p"}
	g.stores.index.Apply(info.Address, []holdings.Change{{Key: key, Tokens: 5}})
	g.applySparseBulletin(&bulletin.Bulletin{Runner: info.ID, Load: bulletin.Load{Running: 3}}, time.Now())
	assert.Empty(t, g.stores.index.Holders(key))
	assert.Equal(t, 3, g.state.Roster.Find(info.ID).View(time.Now()).Load.Running)
}
