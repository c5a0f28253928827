package gateway

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/fetch"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/roster"
	"github.com/rillreach/rillreach/scheduler"
	"github.com/rillreach/rillreach/weights"
)

// target is the runner chosen for an attempt.
type target struct {
	runner *roster.Runner
	view   roster.View
	choice scheduler.Choice
	// prefillTokens is the number of prompt tokens that the runner is expected to process for the request,
	// queuedPrefillTokens the number that it processes first for others, and tokens the memory that the request takes.
	prefillTokens       int
	queuedPrefillTokens int
	tokens              int
	weights             deployment.WeightVersion
	// prompt locates the cached parts of the prompt, and plan is how the runner obtains them.
	prompt *promptState
	plan   fetch.Plan
	// inflight counts the request as running at the runner until it ends.
	inflight *inflightRequest
	// cancelled is set if the attempt was cancelled because it had not started when its start window closed.
	cancelled atomic.Bool
}

// choose chooses the runner for the next attempt, or returns the reason why there is none. If the chosen runner no
// longer admits the request, the next iteration leaves it out.
func (g *Gateway) choose(x *exchange, now time.Time) (*target, string) {
	for {
		o := g.findOptions(x, g.viewsAt(now), now)
		if len(o.views) == 0 {
			return nil, o.exclusions.setRefusal(x)
		}
		choice := scheduler.Choose(o.request, o.candidates, g.offset(len(o.views)))
		if t := g.assign(x, o, choice, now); t != nil {
			return t, ""
		}
	}
}

// offset returns the index among n candidates at which the search for the best one starts.
func (g *Gateway) offset(n int) int { return int(g.choices.Add(1) % uint64(n)) }

// assign makes the choice the target of the next attempt and counts the request as running there. It returns nil if the
// runner no longer admits a request because another one has just taken the last permit.
func (g *Gateway) assign(x *exchange, o *options, choice scheduler.Choice, now time.Time) *target {
	i := choice.Index
	if denial := o.admit(i, now); denial != "" {
		o.views[i].Denied = denial
		return nil
	}
	t := &target{
		runner: o.runners[i], view: *o.views[i], choice: choice, tokens: o.request.Tokens, plan: o.plans[i],
		prefillTokens: o.candidates[i].PrefillTokens, queuedPrefillTokens: o.candidates[i].QueuedPrefillTokens,
	}
	if x.needsEngine() {
		t.weights = t.view.Weights[x.wire.Prompt.Model]
		t.prompt = o.versions[t.weights].prompt
		g.reserveLinks(t, now)
		g.prefillSizes.add(t.prefillTokens)
		g.requestSizes.add(t.tokens)
	}
	t.inflight = g.beginRequest(x, t)
	g.logChoice(x, t, o, now)
	return t
}

// admit takes the permits that the request needs at a runner, or returns why the runner must not be sent it.
func (o *options) admit(i int, now time.Time) roster.Denial {
	if o.leaving {
		return o.runners[i].AdmitRest(now)
	}
	return o.runners[i].Admit(now)
}

// logChoice logs the inputs of the decision, so that what happened to the request can be explained later.
func (g *Gateway) logChoice(x *exchange, t *target, o *options, now time.Time) {
	fetchUntil := time.Time{}
	if t.prompt != nil && len(t.plan.Sources) > 0 {
		fetchUntil = t.prompt.fetchDeadline
	}
	g.Log.Info("runner chosen", "decision", "send", "request", x.wire.ID, "account", x.accountName(), "route", x.route.Name,
		"chosen", t.view.ID, "software", t.view.Software, "candidates", len(o.candidates), "cost", t.choice.Cost, "estimate", t.choice.Estimate.String(), "attempt", x.sends.sendCount()+1,
		"weights", t.weights, "replacedFor", g.sinceReplaced(x, t.weights, now).String(),
		"held", now.Sub(x.arrived).String(), "before", t.queuedPrefillTokens, "perToken", o.request.Latency.PerToken.String(), "base", o.request.Latency.Base.String(),
		"missing", t.prefillTokens, "again", t.plan.RecomputedTokens, "fetched", t.plan.FetchedTokens, "fetchUntil", fetchUntil,
		"avoided", t.view.Ejected, "cold", t.view.Cold, "limited", t.view.Limit.Bounded, "reported", t.view.ReportFresh, "loading", t.view.Load.LoadingWeights, "reportAge", t.view.ReportAge.String(),
		"listAge", g.listAge(now).String())
}

// sinceReplaced returns how long ago the given weights of the request's model were replaced by a newer desired version,
// as far as this entry knows, or zero if they were not.
func (g *Gateway) sinceReplaced(x *exchange, version deployment.WeightVersion, now time.Time) time.Duration {
	return sinceReplaced(g.startWindow(x, version), now)
}

// sinceReplaced returns how long ago the weights that the window is for were replaced, or zero if they were not.
func sinceReplaced(window weights.StartWindow, now time.Time) time.Duration {
	if window.ReplacedAt.IsZero() {
		return 0
	}
	return now.Sub(window.ReplacedAt)
}

// oldWeightsGrace is how long after weights were replaced an answer from them is still as good as any.
const oldWeightsGrace = 1200 * time.Millisecond

// cacheSalt separates KV cache entries by model, weights, regions and, for an isolated account, by account.
func cacheSalt(x *exchange, version deployment.WeightVersion) string {
	s := deployment.Salt{Model: x.wire.Prompt.Model, Weights: version, Regions: x.regions}
	if x.account != nil && x.account.Isolated {
		s.Account = x.account.Name
	}
	return s.String()
}

// reserveLinks records the use of links by the fetches of the chosen runner.
func (g *Gateway) reserveLinks(t *target, now time.Time) {
	for _, transfer := range t.plan.Transfers {
		g.cache.reserveLink(transfer.Source, transfer.Duration, now)
	}
}

// setEngineDirections adds the directions for model engines.
func (g *Gateway) setEngineDirections(x *exchange, t *target, d *platform.RunnerHeaders) {
	if t.prompt == nil {
		return
	}
	d.Weights = t.weights
	d.Salt = t.prompt.salt
	if d.Salt == "" {
		// The weights are unknown, so no cached part can be used. A unique salt keeps the request from sharing any.
		d.Salt = "request/" + string(x.wire.ID)
		return
	}
	if len(t.plan.Sources) > 0 && !t.prompt.fetchDeadline.IsZero() {
		d.Fetch = make([]netip.AddrPort, len(x.wire.Prompt.Parts))
		copy(d.Fetch, t.plan.Sources)
		d.FetchDeadline = t.prompt.fetchDeadline
	}
	d.Save = g.chooseSaveStores(x, t.prompt, &t.view, time.Now())
}
