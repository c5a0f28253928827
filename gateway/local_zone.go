package gateway

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/roster"
)

const (
	// minLocalEngines is how many engines a zone needs for its entries to hear little of those in others, and localUntil with how many it no longer
	// has enough. Among so many, one that is free or holds a prompt's parts is nearly always there, and what all entries hear of what all
	// engines hold grows with the square of a deployment.
	minLocalEngines    = 24
	minRetainedEngines = 16
)

// localServices are the services of which the entry's own zone has engines enough; the zero value has none.
type localServices struct {
	mu    sync.Mutex
	local map[rillreach.ServiceID]bool
}

// update counts the engines of each service in the zone.
func (l *localServices) update(groups map[rillreach.ServiceID][]*roster.Runner, zone rillreach.ZoneID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	enough := map[rillreach.ServiceID]bool{}
	for service, group := range groups {
		least := minLocalEngines
		if l.local[service] {
			least = minRetainedEngines
		}
		enough[service] = countAvailable(group, zone) >= least
	}
	l.local = enough
}

// updateLocalServices counts the engines of the entry's own zone, none of which can be used while it is evacuated.
func (g *Gateway) updateLocalServices(groups map[rillreach.ServiceID][]*roster.Runner) {
	if g.state.Evacuations().Has(g.Settings.Zone) {
		groups = nil
	}
	g.localServices.update(groups, g.Settings.Zone)
}

// countAvailable is how many of the runners are in the zone and don't leave.
func countAvailable(group []*roster.Runner, zone rillreach.ZoneID) int {
	n := 0
	for _, r := range group {
		if info := r.Info(); info.Zone == zone && !info.Leaving {
			n++
		}
	}
	return n
}

// isLocal reports that the entry's zone isLocal engines of the service enough.
func (l *localServices) isLocal(service rillreach.ServiceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.local[service]
}

// engineGroups are the listed runners of each service of engines.
func (g *Gateway) engineGroups() map[rillreach.ServiceID][]*roster.Runner {
	groups := map[rillreach.ServiceID][]*roster.Runner{}
	config := g.state.Config()
	if config == nil {
		return groups
	}
	for name, service := range config.Services {
		if service.Engine != nil {
			groups[name] = g.state.Roster.ByService(name)
		}
	}
	return groups
}

// isEngineService reports that the runners of a service are engines, which have agents.
func (g *Gateway) isEngineService(service rillreach.ServiceID) bool {
	config := g.state.Config()
	return config != nil && config.Services[service] != nil && config.Services[service].Engine != nil
}

// applyLoadOnlyBulletin takes over a bulletin of an agent that was asked for little: what its runner held when more was heard of it is out of date.
func (g *Gateway) applyLoadOnlyBulletin(b *bulletin.Bulletin, now time.Time) {
	if r := g.state.Roster.Find(b.Runner); r != nil {
		if place := r.Info().Address; g.cache.index.TotalTokens(place) > 0 {
			g.cache.index.Forget(place)
		}
	}
	g.applyBulletin(b, now)
}
