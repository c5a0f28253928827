package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/internal/pause"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/route"
)

const (
	candidateCount = 4
	comeBackAfter  = time.Second

	// newcomerWait is how long a request waits at the most for an agent that is not known yet: as long as its caller would
	// otherwise be told to stay away. It is five of the pauses that a watcher makes between two watches (controller/spread).
	newcomerWait = comeBackAfter
	newcomerPoll = 20 * time.Millisecond
)

// choose decides on the agent for the next attempt, and logs the decision.
func (f *Filter) choose(x *rillreach.Exchange, tried []rillreach.InstanceID, attempt int) (*membership.Member, error) {
	req := &x.Request
	side := route.Side(req.Row.Weights, req.Conversation)
	m, choice, count := f.chooseOn(req, side, tried)
	if other, ok := route.FallbackSide(req.Row.Weights, side); m == nil && ok {
		side = other
		m, choice, count = f.chooseOn(req, side, tried)
	}
	if m == nil {
		return nil, rillreach.NotRun(rillreach.ReasonNoBackend, "no backend server is there for the request").WithRetryAfter(comeBackAfter)
	}
	f.Log.Info("route", "decision", choice.Reason, "request", req.ID, "account", req.Account, "model", req.Row.Model,
		"version", req.Row.Version, "side", side, "chosen", m.ID, "candidates", count, "attempt", attempt)
	return m, nil
}

// awaitNewcomer chooses again and again until there is an agent to choose. Each wait has a retry spent on it, so that the
// budget bounds how many requests wait.
func (f *Filter) awaitNewcomer(ctx context.Context, x *rillreach.Exchange, tried []rillreach.InstanceID, attempt int) (*membership.Member, error) {
	f.Log.Info("route", "decision", "await-newcomer", "request", x.Request.ID, "account", x.Request.Account,
		"model", x.Request.Row.Model, "tried", len(tried), "attempt", attempt, "wait", newcomerWait.String())
	ctx, cancel := context.WithTimeout(ctx, newcomerWait)
	defer cancel()
	for {
		pause.For(ctx, newcomerPoll)
		m, err := f.choose(x, tried, attempt)
		if err == nil || ctx.Err() != nil {
			return m, err
		}
	}
}

func (f *Filter) chooseOn(req *rillreach.Request, side rillreach.Side, tried []rillreach.InstanceID) (*membership.Member, route.Choice, int) {
	members := f.Node.Members.Group(groupOf(req, side))
	ranked := route.Rank(req.Conversation, len(members), candidateCount+len(tried), func(i int) uint64 { return members[i].PlacementHash })
	var room [route.MaxRanked]route.Candidate
	candidates := room[:ranked.Len()]
	for rank := range candidates {
		m := members[ranked.At(rank)]
		candidates[rank] = f.candidate(req, m)
		candidates[rank].Home = rank == 0
		candidates[rank].Avoid = candidates[rank].Avoid || slices.Contains(tried, m.ID)
	}
	choice := route.Choose(route.Request{Tokens: req.Tokens, Objective: req.Row.Objective}, candidates)
	if choice.Index < 0 {
		return nil, choice, len(candidates)
	}
	return members[ranked.At(choice.Index)], choice, len(candidates)
}

// candidate is what is known of an agent: its last hint, aged by the time since.
func (f *Filter) candidate(req *rillreach.Request, m *membership.Member) route.Candidate {
	hint := m.LoadHint()
	c := route.Candidate{
		QueueWait:    max(hint.QueueWait-f.Node.Clock.Now().Sub(hint.ReceivedAt), 0),
		PrefillRate:  hint.PrefillRate,
		HitRate:      hint.HitRate,
		Continuation: len(req.Parts) > req.OpeningParts,
		Avoid:        m.IsLeaving() || m.Failing(),
	}
	if c.Continuation && hint.LinkRate > 0 {
		c.StoredTokens = req.Tokens
		c.ImportTime = time.Duration(float64(req.Tokens) * hint.BytesPerToken / hint.LinkRate * float64(time.Second))
	}
	return c
}

func groupOf(req *rillreach.Request, side rillreach.Side) membership.Group {
	if req.Service != "" {
		return membership.Group{Role: rillreach.RoleAgent, Side: side, Service: req.Service}
	}
	return membership.Group{Role: rillreach.RoleAgent, Side: side, Model: req.Row.Model, Version: req.Row.Version}
}
