package gateway

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/roster"
)

// runnerViews caches copies of the runners' state at one moment. All waiting requests are decided on with the same
// copies, since with hundreds of runners making them costs more than the decisions.
type runnerViews struct {
	roster    *roster.Roster
	now       time.Time
	byService map[rillreach.ServiceID]*serviceViews
}

// serviceViews holds the runners of one service, in matching order.
type serviceViews struct {
	runners []*roster.Runner
	views   []roster.View
}

// viewsAt returns an empty cache for the given moment.
func (g *Gateway) viewsAt(now time.Time) *runnerViews {
	return &runnerViews{roster: &g.state.Roster, now: now, byService: map[rillreach.ServiceID]*serviceViews{}}
}

// forService returns the runners of a service and copies their state on the first call.
func (r *runnerViews) forService(service rillreach.ServiceID) *serviceViews {
	if group := r.byService[service]; group != nil {
		return group
	}
	group := &serviceViews{runners: r.roster.ByService(service)}
	group.views = make([]roster.View, len(group.runners))
	for i, runner := range group.runners {
		group.views[i] = runner.View(r.now)
	}
	r.byService[service] = group
	return group
}
