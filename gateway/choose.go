package gateway

import (
	"math"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/fetch"
	"github.com/rillreach/rillreach/internal/hash"
	"github.com/rillreach/rillreach/place"
	"github.com/rillreach/rillreach/platform"
	"github.com/rillreach/rillreach/roster"
)

// target is the runner chosen for one attempt.
type target struct {
	runner *roster.Runner
	view   roster.View
	choice place.Choice
	// reading is how many tokens the runner is expected to read, held how many the request takes there.
	reading int
	held    int
	weights deployment.WeightVersion
	// kept and plan say which parts of the prompt are where, and how the runner comes to them.
	kept *promptState
	plan fetch.Plan
	// cancelled says that the request was cancelled at the runner, since it had not begun when that was still allowed.
	cancelled atomic.Bool
}

// choose decides on the runner for the next attempt, or returns nil where there is none.
func (g *Gateway) choose(x *exchange) *target {
	now := time.Now()
	var views []roster.View
	var runners []*roster.Runner
	for _, r := range g.state.Roster.Group(x.service.Name) {
		v := r.View(now)
		if !g.fits(x, &v, now) {
			continue
		}
		views = append(views, v)
		runners = append(runners, r)
	}
	if len(views) == 0 {
		return nil
	}
	question := g.question(x)
	conversation := hash.String(conversation(x))
	candidates := make([]place.Candidate, len(views))
	plans := make([]fetch.Plan, len(views))
	states := map[deployment.WeightVersion]*promptState{}
	for i := range views {
		candidates[i] = g.candidate(x, &views[i], conversation)
		if question.Tokens > 0 {
			plans[i] = g.planAt(x, &views[i], views, states, now).plan(&views[i])
			addPlan(&candidates[i], x.wire.Prompt, &plans[i])
		}
	}
	choice := place.Choose(question, candidates, int(g.seq.Add(1)%uint64(len(views))))
	t := &target{runner: runners[choice.Index], view: views[choice.Index], choice: choice, held: question.Tokens, plan: plans[choice.Index]}
	t.reading = candidates[choice.Index].Missing
	if question.Tokens > 0 {
		t.weights = t.view.Weights[x.wire.Prompt.Model]
		t.kept = states[t.weights]
		g.bookMoves(t, now)
		g.reads.add(t.reading)
	}
	g.logChoice(x, t, len(candidates), now)
	return t
}

// logChoice records what decided on the runner, for whoever has to explain what became of the request.
func (g *Gateway) logChoice(x *exchange, t *target, candidates int, now time.Time) {
	fetchUntil := time.Time{}
	if t.kept != nil && len(t.plan.From) > 0 {
		fetchUntil = t.kept.until
	}
	g.Log.Info("runner chosen", "decision", "send", "request", x.wire.ID, "account", x.accountName(), "route", x.route.Name,
		"chosen", t.view.ID, "candidates", candidates, "cost", t.choice.Cost, "estimate", t.choice.Estimate.String(), "attempt", x.sends+1,
		"weights", t.weights, "replacedFor", g.replacedFor(x, t.weights, now).String(),
		"missing", t.reading, "again", t.plan.Again, "fetched", t.plan.Fetched, "fetchUntil", fetchUntil,
		"avoided", t.view.Avoid, "listAge", now.Sub(g.state.Roster.Updated()).String())
}

func (g *Gateway) question(x *exchange) place.Question {
	q := place.Question{Target: x.route.Target - time.Since(x.arrived), Bytes: len(x.call.Body)}
	if p := x.wire.Prompt; p != nil && x.service.Engine != nil {
		q.Tokens = p.Tokens + p.MaxOut
	}
	return q
}

// candidate is a runner as the choice sees it, for a conversation by its hash.
func (g *Gateway) candidate(x *exchange, v *roster.View, conversation uint64) place.Candidate {
	c := place.Candidate{
		Running:      v.Running,
		Slots:        v.Slots,
		Reading:      v.Reading,
		Held:         v.Held,
		OtherZone:    v.Zone != g.Settings.Zone,
		Avoid:        v.Avoid,
		Tried:        slices.Contains(x.tried, v.ID),
		FailureShare: v.Failures,
	}
	if p := x.wire.Prompt; p != nil && x.service.Engine != nil {
		c.Capacity = x.service.Engine.CapacityTokens
		if v.Reported {
			c.Running = max(c.Running, v.Load.Running+v.Load.Waiting)
			c.Reading = max(c.Reading, (v.Load.Unread+v.Load.Waiting)*g.reads.mean())
			c.Held = max(c.Held, v.Load.Used)
		}
		c.Avoid = avoided(v)
		c.Distance = distance(conversation, v.ID)
		c.Old = g.replacedFor(x, v.Weights[p.Model], time.Now()) > oldFrom
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

// replacedFor is for how long a newer version than the given weights of the request's model has been named, as far as this entry
// knows; zero where there is none.
func (g *Gateway) replacedFor(x *exchange, weights deployment.WeightVersion, now time.Time) time.Duration {
	if x.wire.Prompt == nil {
		return 0
	}
	replaced := g.state.Replaced(x.wire.Prompt.Model, weights)
	if replaced.IsZero() {
		return 0
	}
	return now.Sub(replaced)
}

// oldFrom is how long after the naming of new weights answers on the old ones are as good as others.
const oldFrom = 1200 * time.Millisecond

// salt keeps KV cache apart by model, weights and, for an isolated account, the account.
func salt(x *exchange, weights deployment.WeightVersion) string {
	s := deployment.Salt{Model: x.wire.Prompt.Model, Weights: weights}
	if x.account != nil && x.account.Isolated {
		s.Account = x.account.Name
	}
	return s.String()
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
	c.Fetched = plan.Fetched - plan.Afar
	c.FetchedAfar = plan.Afar
	c.FetchTime = plan.Time
}

// bookMoves records which links the chosen runner's fetches take.
func (g *Gateway) bookMoves(t *target, now time.Time) {
	for _, m := range t.plan.Moves {
		g.stores.book(m.From, m.Took, now)
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
	if len(t.plan.From) > 0 && !t.kept.until.IsZero() {
		d.Fetch = make([]netip.AddrPort, len(x.wire.Prompt.Parts))
		copy(d.Fetch, t.plan.From)
		d.FetchUntil = t.kept.until
	}
	d.Save = g.saves(x, t.kept, &t.view, time.Now())
}
