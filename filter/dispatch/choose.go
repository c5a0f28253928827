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
	// maxCandidates is the number of untried agents that are compared for a request.
	maxCandidates     = 4
	defaultRetryAfter = time.Second

	// discoveryTimeout is how long a request waits for an agent that is not known yet. It is the time after which the
	// caller would otherwise be told to retry, and five times the pause between two watches (watchGap in
	// controller/spread).
	discoveryTimeout      = defaultRetryAfter
	discoveryPollInterval = 20 * time.Millisecond
)

// choose chooses the agent for the next attempt and logs the decision.
func (f *Filter) choose(x *rillreach.Exchange, tried []rillreach.InstanceID, attempt int) (*membership.Member, error) {
	req := &x.Request
	side := route.Side(req.Row.Weights, req.Conversation)
	m, choice, count := f.chooseOnSide(req, side, tried)
	if other, ok := route.FallbackSide(req.Row.Weights, side); m == nil && ok {
		side = other
		m, choice, count = f.chooseOnSide(req, side, tried)
	}
	if m == nil {
		return nil, rillreach.NotRun(rillreach.ReasonNoBackend, "no backend server is there for the request").WithRetryAfter(defaultRetryAfter)
	}
	f.Log.Info("route", "decision", choice.Reason, "request", req.ID, "account", req.Account, "model", req.Row.Model,
		"version", req.Row.Version, "side", side, "chosen", m.ID, "candidates", count, "attempt", attempt)
	return m, nil
}

// awaitNewAgent waits up to discoveryTimeout until an agent can be chosen. Every wait is preceded by a retry that was
// taken from the budget, so the budget also limits how many requests wait.
func (f *Filter) awaitNewAgent(ctx context.Context, x *rillreach.Exchange, tried []rillreach.InstanceID, attempt int) (*membership.Member, error) {
	f.Log.Info("route", "decision", "await-newcomer", "request", x.Request.ID, "account", x.Request.Account,
		"model", x.Request.Row.Model, "tried", len(tried), "attempt", attempt, "wait", discoveryTimeout.String())
	ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	for {
		pause.For(ctx, discoveryPollInterval)
		m, err := f.choose(x, tried, attempt)
		if err == nil || ctx.Err() != nil {
			return m, err
		}
	}
}

func (f *Filter) chooseOnSide(req *rillreach.Request, side rillreach.Side, tried []rillreach.InstanceID) (*membership.Member, route.Choice, int) {
	members := f.Node.Members.Group(memberGroup(req, side))
	ranked := route.Rank(req.Conversation, len(members), maxCandidates+len(tried), func(i int) uint64 { return members[i].PlacementHash })
	var buf [route.MaxRanked]route.Candidate
	candidates := buf[:ranked.Len()]
	for rank := range candidates {
		m := members[ranked.At(rank)]
		candidates[rank] = f.newCandidate(req, m)
		candidates[rank].Home = rank == 0
		candidates[rank].Avoid = candidates[rank].Avoid || slices.Contains(tried, m.ID)
	}
	choice := route.Choose(route.Request{Tokens: req.Tokens, Objective: req.Row.Objective}, candidates)
	if choice.Index < 0 {
		return nil, choice, len(candidates)
	}
	return members[ranked.At(choice.Index)], choice, len(candidates)
}

// newCandidate returns an agent as a candidate for the request. The queue wait in its last load hint is reduced by
// the age of the hint.
func (f *Filter) newCandidate(req *rillreach.Request, m *membership.Member) route.Candidate {
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

func memberGroup(req *rillreach.Request, side rillreach.Side) membership.Group {
	if req.Service != "" {
		return membership.Group{Role: rillreach.RoleAgent, Side: side, Service: req.Service}
	}
	return membership.Group{Role: rillreach.RoleAgent, Side: side, Model: req.Row.Model, Version: req.Row.Version}
}
