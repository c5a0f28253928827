package gateway

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/fetch"
	"github.com/rillreach/rillreach/place"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/roster"
	"github.com/rillreach/rillreach/weights"
)

// target is the runner chosen for one attempt.
type target struct {
	runner *roster.Runner
	view   roster.View
	choice place.Choice
	// prefillTokens is how many tokens the runner is expected to read for the request, before how many it reads before that, and held how
	// many the request takes there.
	prefillTokens       int
	queuedPrefillTokens int
	tokens              int
	weights             deployment.WeightVersion
	// prompt and plan say which parts of the prompt are where, and how the runner comes to them.
	prompt *promptState
	plan   fetch.Plan
	// inflight counts the request as running at the runner until it ends.
	inflight *inflightRequest
	// cancelled says that the request was cancelled at the runner, since it had not begun when that was still allowed.
	cancelled atomic.Bool
}

// choose decides on the runner for the next attempt, or says why there is none. One that may no longer be given the request once it is chosen is
// left out by the next look.
func (g *Gateway) choose(x *exchange, now time.Time) (*target, string) {
	for {
		o := g.findOptions(x, g.viewsAt(now), now)
		if len(o.views) == 0 {
			return nil, o.exclusions.setRefusal(x)
		}
		choice := place.Choose(o.request, o.candidates, g.offset(len(o.views)))
		if t := g.assign(x, o, choice, now); t != nil {
			return t, ""
		}
	}
}

// offset is where among so many candidates a choice begins to look.
func (g *Gateway) offset(n int) int { return int(g.seq.Add(1) % uint64(n)) }

// assign makes a choice the target of the next attempt, and counts the request as running there. It returns nil where the runner may no longer be
// given one: another request has just taken the last permit.
func (g *Gateway) assign(x *exchange, o *options, choice place.Choice, now time.Time) *target {
	i := choice.Index
	if denial := o.runners[i].Admit(now); denial != "" {
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
		g.reads.add(t.prefillTokens)
		g.sizes.add(t.tokens)
	}
	t.inflight = g.beginRequest(x, t)
	g.logChoice(x, t, o, now)
	return t
}

// logChoice records what decided on the runner, for whoever has to explain what became of the request.
func (g *Gateway) logChoice(x *exchange, t *target, o *options, now time.Time) {
	fetchUntil := time.Time{}
	if t.prompt != nil && len(t.plan.Sources) > 0 {
		fetchUntil = t.prompt.until
	}
	g.Log.Info("runner chosen", "decision", "send", "request", x.wire.ID, "account", x.accountName(), "route", x.route.Name,
		"chosen", t.view.ID, "candidates", len(o.candidates), "cost", t.choice.Cost, "estimate", t.choice.Estimate.String(), "attempt", x.sends.sendCount()+1,
		"weights", t.weights, "replacedFor", g.sinceReplaced(x, t.weights, now).String(),
		"held", now.Sub(x.arrived).String(), "before", t.queuedPrefillTokens, "perToken", o.request.Latency.PerToken.String(), "base", o.request.Latency.Base.String(),
		"missing", t.prefillTokens, "again", t.plan.RecomputedTokens, "fetched", t.plan.FetchedTokens, "fetchUntil", fetchUntil,
		"avoided", t.view.Ejected, "cold", t.view.Cold, "limited", t.view.Limit.Bounded, "reported", t.view.ReportFresh, "loading", t.view.Load.LoadingWeights, "reportAge", t.view.ReportAge.String(),
		"listAge", g.listAge(now).String())
}

// sinceReplaced is for how long a newer version than the given weights of the request's model has been named, as far as this entry
// knows; zero where there is none.
func (g *Gateway) sinceReplaced(x *exchange, version deployment.WeightVersion, now time.Time) time.Duration {
	return sinceReplaced(g.startWindow(x, version), now)
}

// sinceReplaced is for how long newer weights than those of the window have been named; zero where there are none.
func sinceReplaced(window weights.StartWindow, now time.Time) time.Duration {
	if window.ReplacedAt.IsZero() {
		return 0
	}
	return now.Sub(window.ReplacedAt)
}

// oldWeightsGrace is how long after the naming of new weights answers on the old ones are as good as others.
const oldWeightsGrace = 1200 * time.Millisecond

// cacheSalt keeps KV cache apart by model, weights, regions and, for an isolated account, the account.
func cacheSalt(x *exchange, version deployment.WeightVersion) string {
	s := deployment.Salt{Model: x.wire.Prompt.Model, Weights: version, Regions: x.regions}
	if x.account != nil && x.account.Isolated {
		s.Account = x.account.Name
	}
	return s.String()
}

// reserveLinks records which links the chosen runner's fetches take.
func (g *Gateway) reserveLinks(t *target, now time.Time) {
	for _, m := range t.plan.Transfers {
		g.stores.book(m.Source, m.Duration, now)
	}
}

// setEngineDirections adds what an engine is told.
func (g *Gateway) setEngineDirections(x *exchange, t *target, d *platform.Directions) {
	if t.prompt == nil {
		return
	}
	d.Weights = t.weights
	d.Salt = t.prompt.salt
	if d.Salt == "" {
		// Without a known version nothing kept may be met: a salt of its own keeps the request to itself.
		d.Salt = "request/" + string(x.wire.ID)
		return
	}
	if len(t.plan.Sources) > 0 && !t.prompt.until.IsZero() {
		d.Fetch = make([]netip.AddrPort, len(x.wire.Prompt.Parts))
		copy(d.Fetch, t.plan.Sources)
		d.FetchUntil = t.prompt.until
	}
	d.Save = g.saves(x, t.prompt, &t.view, time.Now())
}
