package gateway

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/bulletin"
	"github.com/rillreach/rillreach/roster"
)

const (
	// minLocalEngines is the number of engines of a service from which a zone's entries get only load reports from the
	// engines in other zones, and minRetainedEngines the number below which they get full reports again. Among so many
	// engines there is nearly always one that is free or holds a prompt's parts, and the traffic of full reports from
	// all engines to all entries grows with the square of the deployment's size.
	minLocalEngines    = 24
	minRetainedEngines = 16
)

// localServices tracks the services for which the entry's zone has enough engines. The zero value has none.
type localServices struct {
	mu    sync.Mutex
	local map[rillreach.ServiceID]bool
}

// update counts the available engines of each service in the zone.
func (l *localServices) update(groups map[rillreach.ServiceID][]*roster.Runner, zone rillreach.ZoneID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isLocal := map[rillreach.ServiceID]bool{}
	for service, group := range groups {
		required := minLocalEngines
		if l.local[service] {
			required = minRetainedEngines
		}
		isLocal[service] = countAvailable(group, zone) >= required
	}
	l.local = isLocal
}

// updateLocalServices updates localServices. In an evacuated zone no engine can be used, and so no service is local.
func (g *Gateway) updateLocalServices(groups map[rillreach.ServiceID][]*roster.Runner) {
	if g.state.Evacuations().Has(g.Settings.Zone) {
		groups = nil
	}
	g.localServices.update(groups, g.Settings.Zone)
}

// countAvailable returns the number of runners that are in the zone and not leaving.
func countAvailable(group []*roster.Runner, zone rillreach.ZoneID) int {
	n := 0
	for _, r := range group {
		if info := r.Info(); info.Zone == zone && !info.Leaving {
			n++
		}
	}
	return n
}

// isLocal reports whether the entry's zone has enough engines of the service.
func (l *localServices) isLocal(service rillreach.ServiceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.local[service]
}

// engineGroups returns the listed runners of each engine service.
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

// isEngineService reports whether the runners of a service are engines, which have agents.
func (g *Gateway) isEngineService(service rillreach.ServiceID) bool {
	config := g.state.Config()
	return config != nil && config.Services[service] != nil && config.Services[service].Engine != nil
}

// applyLoadOnlyBulletin applies a bulletin of an agent that is asked for load reports only. What the runner held
// according to earlier full reports is out of date.
func (g *Gateway) applyLoadOnlyBulletin(b *bulletin.Bulletin, now time.Time) {
	if r := g.state.Roster.Find(b.Runner); r != nil {
		if address := r.Info().Address; g.cache.index.TotalTokens(address) > 0 {
			g.cache.index.Forget(address)
		}
	}
	g.applyBulletin(b, now)
}
