package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/fetch"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/place"
	"github.com/rillreach/rillreach/roster"
)

// options are the runners that may take a request, and what each would do for it.
type options struct {
	question   place.Question
	views      []roster.View
	runners    []*roster.Runner
	candidates []place.Candidate
	plans      []fetch.Plan
	states     map[deployment.WeightVersion]*promptState
}

// options looks at all runners of the request's service.
func (g *Gateway) options(x *exchange, now time.Time) *options {
	o := &options{question: g.question(x), states: map[deployment.WeightVersion]*promptState{}}
	group := g.state.Roster.Group(x.service.Name)
	o.views = make([]roster.View, 0, len(group))
	o.runners = make([]*roster.Runner, 0, len(group))
	for _, r := range group {
		v := r.View(now)
		if !g.fits(x, &v, now) {
			continue
		}
		o.views = append(o.views, v)
		o.runners = append(o.runners, r)
	}
	asked := x.sends.asked()
	conversation := hash.String(conversation(x))
	o.candidates = make([]place.Candidate, len(o.views))
	o.plans = make([]fetch.Plan, len(o.views))
	for i := range o.views {
		o.candidates[i] = g.candidate(x, &o.views[i], conversation, now)
		o.candidates[i].Tried = slices.Contains(asked, o.views[i].ID)
		if x.needsEngine() {
			o.plans[i] = g.planAt(x, &o.views[i], o.views, o.states, now).plan(&o.views[i])
			addPlan(&o.candidates[i], x.wire.Prompt, &o.plans[i])
		}
	}
	return o
}

// question is what the choice has to know of the request.
func (g *Gateway) question(x *exchange) place.Question {
	q := place.Question{Target: x.route.Target}
	if x.needsEngine() {
		q.Tokens = x.wire.Prompt.Tokens + x.wire.Prompt.MaxOut
		q.Speed = g.firsts.of(x.service.Name)
	}
	return q
}

// candidate is a runner as the choice sees it, for a conversation by its hash.
func (g *Gateway) candidate(x *exchange, v *roster.View, conversation uint64, now time.Time) place.Candidate {
	c := place.Candidate{
		Running:      v.Running,
		Slots:        v.Slots,
		Reading:      v.Reading,
		Held:         v.Held,
		OtherZone:    v.Zone != g.Settings.Zone,
		Avoid:        v.Avoid,
		FailureShare: v.Failures,
	}
	if x.needsEngine() {
		c.Capacity = x.service.Engine.CapacityTokens
		if v.Reported {
			c.Running = max(c.Running, v.Load.Running+v.Load.Waiting)
			c.Reading = max(c.Reading, (v.Load.Unread+v.Load.Waiting)*g.reads.mean()+v.SentReading)
			c.Held = max(c.Held, v.Load.Used+v.SentHeld)
		}
		c.Avoid = avoided(v)
		c.Distance = distance(conversation, v.ID)
		c.Old = g.replacedFor(x, v.Weights[x.wire.Prompt.Model], now) > oldFrom
	}
	return c
}

// fits reports that the runner may take the request.
func (g *Gateway) fits(x *exchange, v *roster.View, now time.Time) bool {
	return !v.Leaving && !g.expired(x, v, now)
}

// avoided reports that a runner of engines gets a request only where there is no other.
func avoided(v *roster.View) bool {
	return v.Avoid || v.Reported && (v.Load.Busy || v.Load.Silent)
}

// distance is where a hash puts a runner for a conversation, between 0 and 1.
func distance(conversation uint64, runner rillreach.InstanceID) float64 {
	return float64(hash.Mix(conversation, hash.String(string(runner)))) / math.MaxUint64
}

// planAt gives what is known of the prompt's parts under the weights of a runner.
func (g *Gateway) planAt(x *exchange, v *roster.View, views []roster.View, states map[deployment.WeightVersion]*promptState, now time.Time) *promptState {
	weights := v.Weights[x.wire.Prompt.Model]
	if states[weights] == nil {
		states[weights] = g.promptStateOf(x, weights, views, now)
	}
	return states[weights]
}

// addPlan adds to a candidate what it would read and fetch.
func addPlan(c *place.Candidate, p *deployment.Prompt, plan *fetch.Plan) {
	own := p.Tokens
	for _, part := range p.Shared() {
		own -= part.Tokens
	}
	c.Missing = max(0, own) + plan.Missing
	c.Again = plan.Again
	c.FetchTime = plan.Time
}
