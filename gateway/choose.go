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
	// reading is how many tokens the runner is expected to read for the request, before how many it reads before that, and held how
	// many the request takes there.
	reading int
	before  int
	held    int
	weights deployment.WeightVersion
	// kept and plan say which parts of the prompt are where, and how the runner comes to them.
	kept *promptState
	plan fetch.Plan
	// work counts the request as running at the runner until it ends.
	work *work
	// cancelled says that the request was cancelled at the runner, since it had not begun when that was still allowed.
	cancelled atomic.Bool
}

// choose decides on the runner for the next attempt, or says why there is none. One that may no longer be given the request once it is chosen is
// left out by the next look.
func (g *Gateway) choose(x *exchange, now time.Time) (*target, string) {
	for {
		o := g.options(x, g.viewsAt(now), now)
		if len(o.views) == 0 {
			return nil, o.leftOut.refuse(x)
		}
		choice := place.Choose(o.question, o.candidates, g.offset(len(o.views)))
		if t := g.assign(x, o, choice, now); t != nil {
			return t, ""
		}
	}
}

// offset is where among so many candidates a choice begins to look.
func (g *Gateway) offset(n int) int { return int(g.choices.Add(1) % uint64(n)) }

// assign makes a choice the target of the next attempt, and counts the request as running there. It returns nil where the runner may no longer be
// given one: another request has just taken the last permit.
func (g *Gateway) assign(x *exchange, o *options, choice place.Choice, now time.Time) *target {
	i := choice.Index
	if denial := o.runners[i].Admit(now); denial != "" {
		o.views[i].Denied = denial
		return nil
	}
	t := &target{
		runner: o.runners[i], view: *o.views[i], choice: choice, held: o.question.Tokens, plan: o.plans[i],
		reading: o.candidates[i].PrefillTokens, before: o.candidates[i].QueuedPrefillTokens,
	}
	if x.needsEngine() {
		t.weights = t.view.Weights[x.wire.Prompt.Model]
		t.kept = o.versions[t.weights].prompt
		g.bookMoves(t, now)
		g.prefillSizes.add(t.reading)
		g.requestSizes.add(t.held)
	}
	t.work = g.begin(x, t)
	g.logChoice(x, t, o, now)
	return t
}

// logChoice records what decided on the runner, for whoever has to explain what became of the request.
func (g *Gateway) logChoice(x *exchange, t *target, o *options, now time.Time) {
	fetchUntil := time.Time{}
	if t.kept != nil && len(t.plan.Sources) > 0 {
		fetchUntil = t.kept.fetchDeadline
	}
	g.Log.Info("runner chosen", "decision", "send", "request", x.wire.ID, "account", x.accountName(), "route", x.route.Name,
		"chosen", t.view.ID, "candidates", len(o.candidates), "cost", t.choice.Cost, "estimate", t.choice.Estimate.String(), "attempt", x.sends.sent()+1,
		"weights", t.weights, "replacedFor", g.replacedFor(x, t.weights, now).String(),
		"held", now.Sub(x.arrived).String(), "before", t.before, "perToken", o.question.Latency.PerToken.String(), "base", o.question.Latency.Base.String(),
		"missing", t.reading, "again", t.plan.RecomputedTokens, "fetched", t.plan.FetchedTokens, "fetchUntil", fetchUntil,
		"avoided", t.view.Ejected, "cold", t.view.Cold, "limited", t.view.Limit.Bounded, "reported", t.view.ReportFresh, "loading", t.view.Load.LoadingWeights, "reportAge", t.view.ReportAge.String(),
		"listAge", g.listAge(now).String())
}

// replacedFor is for how long a newer version than the given weights of the request's model has been named, as far as this entry
// knows; zero where there is none.
func (g *Gateway) replacedFor(x *exchange, version deployment.WeightVersion, now time.Time) time.Duration {
	return replacedFor(g.window(x, version), now)
}

// replacedFor is for how long newer weights than those of the window have been named; zero where there are none.
func replacedFor(window weights.StartWindow, now time.Time) time.Duration {
	if window.ReplacedAt.IsZero() {
		return 0
	}
	return now.Sub(window.ReplacedAt)
}

// oldFrom is how long after the naming of new weights answers on the old ones are as good as others.
const oldFrom = 1200 * time.Millisecond

// salt keeps KV cache apart by model, weights, regions and, for an isolated account, the account.
func salt(x *exchange, version deployment.WeightVersion) string {
	s := deployment.Salt{Model: x.wire.Prompt.Model, Weights: version, Regions: x.regions}
	if x.account != nil && x.account.Isolated {
		s.Account = x.account.Name
	}
	return s.String()
}

// bookMoves records which links the chosen runner's fetches take.
func (g *Gateway) bookMoves(t *target, now time.Time) {
	for _, m := range t.plan.Transfers {
		g.cache.reserveLink(m.Source, m.Duration, now)
	}
}

// directEngine adds what an engine is told.
func (g *Gateway) directEngine(x *exchange, t *target, d *platform.Directions) {
	if t.kept == nil {
		return
	}
	d.Weights = t.weights
	d.Salt = t.kept.salt
	if d.Salt == "" {
		// Without a known version nothing kept may be met: a salt of its own keeps the request to itself.
		d.Salt = "request/" + string(x.wire.ID)
		return
	}
	if len(t.plan.Sources) > 0 && !t.kept.fetchDeadline.IsZero() {
		d.Fetch = make([]netip.AddrPort, len(x.wire.Prompt.Parts))
		copy(d.Fetch, t.plan.Sources)
		d.FetchUntil = t.kept.fetchDeadline
	}
	d.Save = g.chooseSaveStores(x, t.kept, &t.view, time.Now())
}
