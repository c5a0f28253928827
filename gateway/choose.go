package gateway

import (
	"slices"
	"strconv"
	"time"

	"github.com/rillreach/rillreach/deployment"
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
	salt    string
}

// choose decides on the runner for the next attempt, or returns nil where there is none.
func (g *Gateway) choose(x *exchange) *target {
	now := time.Now()
	var views []roster.View
	var runners []*roster.Runner
	for _, r := range g.state.Roster.Group(x.service.Name) {
		v := r.View(now)
		if v.Leaving {
			continue
		}
		views = append(views, v)
		runners = append(runners, r)
	}
	if len(views) == 0 {
		return nil
	}
	question := g.question(x)
	candidates := make([]place.Candidate, len(views))
	for i := range views {
		candidates[i] = g.candidate(x, &views[i])
	}
	choice := place.Choose(question, candidates, int(g.seq.Add(1)%uint64(len(views))))
	t := &target{runner: runners[choice.Index], view: views[choice.Index], choice: choice, held: question.Tokens}
	t.reading = candidates[choice.Index].Missing
	if x.wire.Prompt != nil {
		t.weights = t.view.Weights[x.wire.Prompt.Model]
		t.salt = salt(x, t.weights)
	}
	g.Log.Info("runner chosen", "decision", "send", "request", x.wire.ID, "account", x.accountName(), "route", x.route.Name,
		"chosen", t.view.ID, "candidates", len(candidates), "cost", choice.Cost, "estimate", choice.Estimate.String(),
		"attempt", x.sends+1, "weights", t.weights, "avoided", t.view.Avoid, "listAge", now.Sub(g.state.Roster.Updated()).String())
	return t
}

func (g *Gateway) question(x *exchange) place.Question {
	q := place.Question{Target: x.route.Target - time.Since(x.arrived), Bytes: len(x.call.Body)}
	if p := x.wire.Prompt; p != nil && x.service.Engine != nil {
		q.Tokens = p.Tokens + p.MaxOut
	}
	return q
}

func (g *Gateway) candidate(x *exchange, v *roster.View) place.Candidate {
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
		c.Missing = p.Tokens
		named, since := g.state.Weights(p.Model)
		c.Old = v.Weights[p.Model] < named.Version && time.Since(since) > oldFrom
	}
	return c
}

// oldFrom is how long after the naming of new weights answers on the old ones are as good as others.
const oldFrom = 1200 * time.Millisecond

// salt keeps KV cache apart by model, weights and, for an isolated account, the account: what was made under another
// version, or behind the account's wall, cannot be found.
func salt(x *exchange, weights deployment.WeightVersion) string {
	if weights == 0 {
		return ""
	}
	text := string(x.wire.Prompt.Model) + "/" + strconv.FormatUint(uint64(weights), 10)
	if isolated(x.account) {
		text += "/" + string(x.account.Name)
	}
	return text
}

// directEngine adds what an engine is told.
func (t *target) directEngine(x *exchange, d *platform.Directions) {
	if x.wire.Prompt == nil {
		return
	}
	d.Weights = t.weights
	d.Salt = t.salt
	if d.Salt == "" {
		// Without a known version nothing kept may be met: a salt of its own keeps the request to itself.
		d.Salt = "request/" + string(x.wire.ID)
	}
}

// work is a request that counts as running at its runner.
type work struct {
	target *target
	read   bool
}

// begin counts the request as running at the runner.
func (t *target) begin() *work {
	t.runner.Begin(t.reading, t.held)
	return &work{target: t}
}

// first records that the runner has read the prompt.
func (w *work) first() {
	if !w.read {
		w.read = true
		w.target.runner.First(time.Now(), w.target.reading)
	}
}

// end counts the request as running no more.
func (w *work) end() {
	if !w.read {
		w.read = true
		w.target.runner.Drop(w.target.reading)
	}
	w.target.runner.End(w.target.held)
}
