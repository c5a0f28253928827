package gateway

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/roster"
)

// runnerViews caches copies of the runners' state at one moment. All waiting requests are decided on with the same
// copies, since with hundreds of runners making them costs more than the decisions.
type runnerViews struct {
	gateway   *Gateway
	now       time.Time
	byRunner  map[*roster.Runner]*roster.View
	byService map[rillreach.ServiceID]*serviceViews
}

// serviceViews holds the runners of one service that a decision examines.
type serviceViews struct {
	runners []*roster.Runner
	views   []*roster.View
	// sampled reports whether the service has other runners.
	sampled bool
	// homes is the number of runners, from the first, that are the homes of the request's conversation in order of
	// preference. It is zero if all runners are examined.
	homes int
}

// viewsAt returns an empty cache for the given moment.
func (g *Gateway) viewsAt(now time.Time) *runnerViews {
	return &runnerViews{gateway: g, now: now, byRunner: map[*roster.Runner]*roster.View{}, byService: map[rillreach.ServiceID]*serviceViews{}}
}

// view returns the copy of a runner's state, which is made on the first call.
func (r *runnerViews) view(runner *roster.Runner) *roster.View {
	v := r.byRunner[runner]
	if v == nil {
		copied := runner.View(r.now)
		v = &copied
		r.byRunner[runner] = v
	}
	return v
}

// forRequest returns the runners that a decision on the request examines first: all of a small service, and of a large one
// the usable homes of the conversation and the runners whose agents this entry follows.
func (r *runnerViews) forRequest(x *exchange) *serviceViews {
	if len(r.gateway.state.Roster.ByService(x.service.Name)) > maxExamined {
		return r.sample(x)
	}
	return r.all(x.service.Name)
}

// all returns all runners of a service.
func (r *runnerViews) all(service rillreach.ServiceID) *serviceViews {
	if group := r.byService[service]; group != nil {
		return group
	}
	runners := r.gateway.state.Roster.ByService(service)
	group := &serviceViews{runners: runners, views: make([]*roster.View, len(runners))}
	if len(runners) > maxExamined {
		for i, runner := range runners {
			group.views[i] = r.view(runner) // a sample shares the copies
		}
	} else {
		copies := make([]roster.View, len(runners))
		for i, runner := range runners {
			copies[i] = runner.View(r.now)
			group.views[i] = &copies[i]
		}
	}
	r.byService[service] = group
	return group
}

// sample returns the runners of a large service that a decision examines.
func (r *runnerViews) sample(x *exchange) *serviceViews {
	g, group := r.gateway, &serviceViews{sampled: true}
	var others []*roster.Runner
	for _, runner := range g.homesOf(x) {
		if v := r.view(runner); group.homes < maxHomes && v.Denied == "" && !isAvoided(v) {
			group.add(runner, v)
			group.homes++
			continue
		}
		others = append(others, runner)
	}
	for _, runner := range append(g.followedRunners(x.service.Name), others...) {
		group.add(runner, r.view(runner))
	}
	return group
}

// add adds a runner unless it has been added before.
func (s *serviceViews) add(runner *roster.Runner, v *roster.View) {
	for _, added := range s.runners {
		if added == runner {
			return
		}
	}
	s.runners = append(s.runners, runner)
	s.views = append(s.views, v)
}

// distance returns the distance of the runner with an index from the conversation, from 0 for its first home to 1, and
// false if the runners are not a sample.
func (s *serviceViews) distance(i int) (float64, bool) {
	if s.homes == 0 {
		return 0, false
	}
	return min(1, float64(i)/maxHomes), true
}

// isFirstHome reports whether the runner with an index is the conversation's first home that can be used.
func (s *serviceViews) isFirstHome(i int) bool { return s.homes > 0 && i == 0 }
