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
	"github.com/rillreach/rillreach/weights"
)

// options are the runners that may take a request, and what each would do for it.
type options struct {
	question   place.Request
	views      []*roster.View
	runners    []*roster.Runner
	candidates []place.Candidate
	// plans are those of the candidates that were looked at in full.
	plans    []fetch.Plan
	versions map[deployment.WeightVersion]*versionState
	// leftOut counts runners that may not take the request.
	leftOut leftOut
}

// versionState is what holds for a request at all runners that have one version of its model's weights.
type versionState struct {
	window weights.StartWindow
	// prompt is set once a plan has been asked for.
	prompt *promptState
}

// options looks at all runners of the request's service. What each would read and fetch is added by planAt.
func (g *Gateway) options(x *exchange, all *runnerViews, now time.Time) *options {
	o := &options{question: g.question(x), versions: map[deployment.WeightVersion]*versionState{}}
	g.spacePermits(x, now)
	group := all.of(x.service.Name)
	o.views = make([]*roster.View, 0, len(group.views))
	o.runners = make([]*roster.Runner, 0, len(group.views))
	o.candidates = make([]place.Candidate, 0, len(group.views))
	asked := x.sends.asked()
	conversation := hash.String(conversationID(x))
	meanRead := g.prefillSizes.mean()
	evacuations := g.state.Evacuations()
	for i := range group.views {
		v := &group.views[i]
		if o.leftOut.add(v, evacuations.Has(v.Zone), !g.allows(x, v.Zone), x.needsEngine()) {
			continue
		}
		state := g.versionAt(x, o, v)
		if !state.window.Admits(now, v.ExpectedWait) {
			continue
		}
		c := g.candidate(x, v, conversation, meanRead)
		c.OldWeights = x.needsEngine() && replacedFor(state.window, now) > oldFrom
		c.Tried = slices.Contains(asked, v.ID)
		o.views = append(o.views, v)
		o.runners = append(o.runners, group.runners[i])
		o.candidates = append(o.candidates, c)
	}
	o.plans = make([]fetch.Plan, len(o.views))
	return o
}

// versionAt is the state of the weights that a runner has.
func (g *Gateway) versionAt(x *exchange, o *options, v *roster.View) *versionState {
	version := weightsAt(x, v)
	state := o.versions[version]
	if state == nil {
		state = &versionState{window: g.window(x, version)}
		o.versions[version] = state
	}
	return state
}

// weightsAt is the version that a runner has of the request's model, zero for a request without one.
func weightsAt(x *exchange, v *roster.View) deployment.WeightVersion {
	if x.wire.Prompt == nil {
		return 0
	}
	return v.Weights[x.wire.Prompt.Model]
}

// question is what the choice has to know of the request.
func (g *Gateway) question(x *exchange) place.Request {
	q := place.Request{Target: x.route.TargetLatency}
	if x.needsEngine() {
		q.Tokens = x.wire.Prompt.Tokens + x.wire.Prompt.MaxOutputTokens
		q.Latency = g.ttft.of(x.service.Name)
	}
	return q
}

// candidate is a runner as the choice sees it, for a conversation by its hash, where prompts on average leave so many tokens to read.
func (g *Gateway) candidate(x *exchange, v *roster.View, conversation uint64, meanRead int) place.Candidate {
	c := place.Candidate{
		Running:             v.RunningRequests,
		Slots:               v.Slots,
		QueuedPrefillTokens: v.PrefillTokens,
		UsedTokens:          v.KVTokens,
		OtherZone:           v.Zone != g.Settings.Zone,
		Avoided:             v.Ejected,
		FailureRate:         v.FailureRate,
	}
	if !x.needsEngine() {
		return c
	}
	c.Capacity = x.service.Engine.CapacityTokens
	if v.ReportFresh {
		c.Running = max(c.Running, v.Load.Running+v.Load.Waiting)
		c.QueuedPrefillTokens = max(c.QueuedPrefillTokens, (v.Load.AwaitingFirstEvent+v.Load.Waiting)*meanRead+v.UnreportedPrefillTokens)
		c.UsedTokens = max(c.UsedTokens, v.Load.UsedTokens+v.UnreportedKVTokens)
	}
	c.Avoided = avoided(v) || x.headSent && g.loadsSoon(x, v)
	c.HashDistance = distance(conversation, v.ID)
	return c
}

// avoided reports that a runner of engines gets a request only where there is no other.
func avoided(v *roster.View) bool {
	return v.Ejected || v.ReportFresh && (v.Load.LoadingWeights || v.Load.Unresponsive)
}

// distance is where a hash puts a runner for a conversation, between 0 and 1.
func distance(conversation uint64, runner rillreach.InstanceID) float64 {
	return float64(hash.Mix(conversation, hash.String(string(runner)))) / math.MaxUint64
}

// planAt adds to a candidate what it would read and fetch of the request's prompt.
func (g *Gateway) planAt(x *exchange, o *options, i int, now time.Time) {
	v := o.views[i]
	state := g.versionAt(x, o, v)
	if state.prompt == nil {
		state.prompt = g.lookUpPrompt(x, weightsAt(x, v), o.views, now)
	}
	o.plans[i] = state.prompt.plan(v)
	addPlan(&o.candidates[i], x.wire.Prompt, &o.plans[i])
}

// addPlan adds to a candidate what it would read and fetch by a plan.
func addPlan(c *place.Candidate, p *deployment.Prompt, plan *fetch.Plan) {
	c.PrefillTokens = p.UnsharedTokens() + plan.PrefillTokens
	c.RecomputedTokens = plan.RecomputedTokens
	c.FetchTime = plan.TransferTime
}
