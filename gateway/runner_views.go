package gateway

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/roster"
)

// runnerViews are copies of what is known of runners at one moment. Requests that wait together are decided on with the same copies: before
// hundreds of runners these cost more than the decisions.
type runnerViews struct {
	roster    *roster.Roster
	now       time.Time
	byService map[rillreach.ServiceID]*serviceViews
}

// serviceViews are the runners of one service.
type serviceViews struct {
	runners []*roster.Runner
	views   []roster.View
}

// viewsAt are copies that are made at the given moment.
func (g *Gateway) viewsAt(now time.Time) *runnerViews {
	return &runnerViews{roster: &g.state.Roster, now: now, byService: map[rillreach.ServiceID]*serviceViews{}}
}

// forService are the runners forService a service.
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
