package gateway

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/roster"
)

// runnerViews are copies of what is known of runners at one moment. Requests that wait together are decided on with the same copies: before
// hundreds of runners these cost more than the decisions.
type runnerViews struct {
	roster *roster.Roster
	now    time.Time
	groups map[rillreach.ServiceID]*serviceViews
}

// serviceViews are the runners of one service.
type serviceViews struct {
	runners []*roster.Runner
	views   []roster.View
}

// viewsAt are copies that are made at the given moment.
func (g *Gateway) viewsAt(now time.Time) *runnerViews {
	return &runnerViews{roster: &g.state.Roster, now: now, groups: map[rillreach.ServiceID]*serviceViews{}}
}

// of are the runners of a service.
func (r *runnerViews) of(service rillreach.ServiceID) *serviceViews {
	if group := r.groups[service]; group != nil {
		return group
	}
	group := &serviceViews{runners: r.roster.ByService(service)}
	group.views = make([]roster.View, len(group.runners))
	for i, runner := range group.runners {
		group.views[i] = runner.View(r.now)
	}
	r.groups[service] = group
	return group
}
