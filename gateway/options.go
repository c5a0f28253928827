package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/fetch"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/roster"
	"github.com/rillreach/rillreach/scheduler"
	"github.com/rillreach/rillreach/weights"
)

// options holds the runners that may take a request, with the decision inputs of each.
type options struct {
	request    scheduler.Request
	views      []*roster.View
	runners    []*roster.Runner
	candidates []scheduler.Candidate
	// plans holds the fetch plans of the candidates for which planCandidate was called.
	plans    []fetch.Plan
	versions map[deployment.WeightVersion]*versionState
	// firstHome is the first home of the conversation that can be used; nil if all runners are examined.
	firstHome *roster.View
	// leaving means that the runners are about to stop, and accept only the rest of streams.
	leaving bool
	// exclusions counts the runners that may not take the request.
	exclusions exclusions
}

// versionState is the state of a request that is common to all runners with one version of its model's weights.
type versionState struct {
	startWindow weights.StartWindow
	// prompt is set by the first call of planCandidate for the version.
	prompt *promptState
}

// findOptions examines the runners of the request's service: in a large service a sample, and all others only if none of
// the sample may take the request. The cost of the prompt at each is added by planCandidate.
func (g *Gateway) findOptions(x *exchange, views *runnerViews, now time.Time) *options {
	o := g.findStayingOptions(x, views, now)
	if len(o.views) > 0 || x.pin.IsZero() {
		return o
	}
	if leaving := g.findLeavingOptions(x, views, now); len(leaving.views) > 0 {
		return leaving
	}
	return o
}

// findLeavingOptions examines the runners that are leaving and may still take the rest of the request's stream.
func (g *Gateway) findLeavingOptions(x *exchange, views *runnerViews, now time.Time) *options {
	group := views.all(x.service.Name)
	leaving := &serviceViews{}
	within := g.Settings.Bounds.RunnerDrainDelay / restDivisor
	for i, v := range group.views {
		if rest, accepts := v.ForRest(now, within); accepts {
			leaving.add(group.runners[i], &rest)
		}
	}
	o := g.findOptionsAmong(x, leaving, g.rollouts.filterFor(x, leaving, now), now)
	o.leaving = true
	return o
}

// restDivisor divides the time for which a runner may get requests after it has announced that it is leaving. The rest of a
// stream is sent within the first part of it, since the announcement may be known late.
const restDivisor = 2

// findStayingOptions is findOptions for the runners that are not leaving.
func (g *Gateway) findStayingOptions(x *exchange, views *runnerViews, now time.Time) *options {
	group := views.forRequest(x)
	o := g.findOptionsIn(x, group, now)
	if len(o.views) == 0 && group.sampled {
		return g.findOptionsIn(x, views.all(x.service.Name), now)
	}
	return o
}

// findOptionsIn is findOptions for a group of runners, restricted by the rollout of the service if there is one.
func (g *Gateway) findOptionsIn(x *exchange, group *serviceViews, now time.Time) *options {
	filter := g.rollouts.filterFor(x, group, now)
	o := g.findOptionsAmong(x, group, filter, now)
	if len(o.views) == 0 && !filter.strict && filter.target != "" {
		return g.findOptionsAmong(x, group, versionFilter{}, now)
	}
	return o
}

// findOptionsAmong is findOptions for the runners that the filter does not exclude.
func (g *Gateway) findOptionsAmong(x *exchange, group *serviceViews, filter versionFilter, now time.Time) *options {
	o := &options{request: g.schedulerRequest(x), versions: map[deployment.WeightVersion]*versionState{}}
	g.paceColdPermits(x, now)
	o.views = make([]*roster.View, 0, len(group.views))
	o.runners = make([]*roster.Runner, 0, len(group.views))
	o.candidates = make([]scheduler.Candidate, 0, len(group.views))
	tried, begun := x.sends.runnersTried(), x.sends.runnersBegun()
	onlyRunners, restricted := x.runnerRestriction()
	conversation := hash.String(conversationID(x))
	meanPrefill := g.prefillSizes.mean()
	evacuations := g.state.Evacuations()
	for i, v := range group.views {
		if filter.excludes(v) || restricted && !slices.Contains(onlyRunners, v.ID) {
			continue
		}
		o.exclusions.addAllowedVersion(v)
		if o.exclusions.add(v, evacuations.Has(v.Zone), !g.allowsZone(x, v.Zone), x.needsEngine()) {
			continue
		}
		state := g.versionStateOf(x, o, v)
		if !state.startWindow.Admits(now, v.ExpectedWait) {
			continue
		}
		c := g.newCandidate(x, v, conversation, meanPrefill)
		c.OldWeights = x.needsEngine() && sinceReplaced(state.startWindow, now) > oldWeightsGrace
		c.Tried = slices.Contains(tried, v.ID)
		c.Begun = slices.Contains(begun, v.ID)
		if distance, sampled := group.distance(i); sampled {
			c.HashDistance = distance
		}
		if group.isFirstHome(i) {
			o.firstHome = v
		}
		o.views = append(o.views, v)
		o.runners = append(o.runners, group.runners[i])
		o.candidates = append(o.candidates, c)
	}
	o.plans = make([]fetch.Plan, len(o.views))
	return o
}

// versionStateOf returns the state for the weights of a runner.
func (g *Gateway) versionStateOf(x *exchange, o *options, v *roster.View) *versionState {
	version := weightVersion(x, v)
	state := o.versions[version]
	if state == nil {
		state = &versionState{startWindow: g.startWindow(x, version)}
		o.versions[version] = state
	}
	return state
}

// weightVersion returns the version of the request's model at a runner, or zero if the request has no prompt.
func weightVersion(x *exchange, v *roster.View) deployment.WeightVersion {
	if x.wire.Prompt == nil {
		return 0
	}
	return v.Weights[x.wire.Prompt.Model]
}

// schedulerRequest describes the request to package scheduler.
func (g *Gateway) schedulerRequest(x *exchange) scheduler.Request {
	request := scheduler.Request{Target: x.route.TargetLatency}
	if x.needsEngine() {
		request.Tokens = x.wire.Prompt.Tokens + x.wire.Prompt.MaxOutputTokens
		request.Latency = g.ttft.model(x.service.Name)
	}
	return request
}

// newCandidate describes a runner to package scheduler. The conversation is given by its hash, and meanPrefill is the
// average number of tokens that an engine processes per prompt.
func (g *Gateway) newCandidate(x *exchange, v *roster.View, conversation uint64, meanPrefill int) scheduler.Candidate {
	c := scheduler.Candidate{
		Running:             v.RunningRequests,
		Slots:               v.Slots,
		QueuedPrefillTokens: v.QueuedPrefillTokens,
		UsedTokens:          v.UsedTokens,
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
		c.QueuedPrefillTokens = max(c.QueuedPrefillTokens, (v.Load.AwaitingFirstEvent+v.Load.Waiting)*meanPrefill+v.UnreportedPrefillTokens)
		c.UsedTokens = max(c.UsedTokens, v.Load.UsedTokens+v.UnreportedUsedTokens)
	}
	c.Avoided = isAvoided(v) || x.headSent && g.weightLoadImminent(x, v)
	c.HashDistance = hashDistance(conversation, v.ID)
	return c
}

// isAvoided reports whether a model engine is chosen only if there is no other, for any request.
func isAvoided(v *roster.View) bool {
	return v.Ejected || v.ReportFresh && (v.Load.LoadingWeights || v.Load.Unresponsive)
}

// hashDistance returns the distance of a runner from a conversation, from 0 to 1.
func hashDistance(conversation uint64, runner rillreach.InstanceID) float64 {
	return float64(hash.Mix(conversation, hash.String(string(runner)))) / math.MaxUint64
}

// planCandidate adds the fetch plan and the cost of the request's prompt to a candidate.
func (g *Gateway) planCandidate(x *exchange, o *options, i int, now time.Time) {
	v := o.views[i]
	state := g.versionStateOf(x, o, v)
	if state.prompt == nil {
		state.prompt = g.lookUpPrompt(x, weightVersion(x, v), o.views, now)
	}
	o.plans[i] = state.prompt.plan(v, v == o.firstHome)
	applyPlan(&o.candidates[i], x.wire.Prompt, &o.plans[i])
}

// applyPlan sets the prompt cost of a candidate from a fetch plan.
func applyPlan(c *scheduler.Candidate, p *deployment.Prompt, plan *fetch.Plan) {
	c.PrefillTokens = p.UnsharedTokens() + plan.PrefillTokens
	c.RecomputedTokens = plan.RecomputedTokens
	c.FetchTime = plan.TransferTime
}
