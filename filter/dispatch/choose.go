package dispatch

import (
	"slices"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/membership"
	"github.com/rillreach/rillreach/route"
)

const (
	candidateCount = 4
	comeBackAfter  = time.Second
)

// choose decides on the agent for the next attempt, and logs the decision.
func (f *Filter) choose(x *rillreach.Exchange, tried []rillreach.InstanceID, attempt int) (*membership.Member, error) {
	req := &x.Request
	side := route.Side(req.Row.Weights, req.Conversation)
	m, choice, count := f.chooseOn(req, side, tried)
	if other, ok := route.Other(req.Row.Weights, side); m == nil && ok {
		side = other
		m, choice, count = f.chooseOn(req, side, tried)
	}
	if m == nil {
		return nil, rillreach.NotRun(rillreach.ReasonNoBackend, "no backend server is there for the request").After(comeBackAfter)
	}
	f.Log.Info("route", "decision", choice.Reason, "request", req.ID, "account", req.Account, "model", req.Row.Model,
		"version", req.Row.Version, "side", side, "chosen", m.ID, "candidates", count, "attempt", attempt)
	return m, nil
}

func (f *Filter) chooseOn(req *rillreach.Request, side rillreach.Side, tried []rillreach.InstanceID) (*membership.Member, route.Choice, int) {
	members := f.Node.Members.Group(groupOf(req, side))
	ranked := route.Rank(req.Conversation, len(members), candidateCount+len(tried), func(i int) uint64 { return members[i].Place })
	var room [route.MaxRanked]route.Candidate
	candidates := room[:ranked.Len()]
	for rank := range candidates {
		m := members[ranked.At(rank)]
		candidates[rank] = f.candidate(req, m)
		candidates[rank].Home = rank == 0
		candidates[rank].Avoid = candidates[rank].Avoid || slices.Contains(tried, m.ID)
	}
	choice := route.Choose(route.Question{Tokens: req.Tokens, Objective: req.Row.Objective}, candidates)
	if choice.Index < 0 {
		return nil, choice, len(candidates)
	}
	return members[ranked.At(choice.Index)], choice, len(candidates)
}

// candidate is what is known of an agent: its last hint, aged by the time since.
func (f *Filter) candidate(req *rillreach.Request, m *membership.Member) route.Candidate {
	hint := m.Hint()
	c := route.Candidate{
		Wait:        max(hint.Wait-f.Node.Clock.Now().Sub(hint.At), 0),
		PrefillRate: hint.PrefillRate,
		HitRate:     hint.HitRate,
		Returning:   len(req.Parts) > req.Opening,
		Avoid:       m.IsLeaving() || m.Failing(),
	}
	if c.Returning && hint.LinkRate > 0 {
		c.Kept = req.Tokens
		c.ImportTime = time.Duration(float64(req.Tokens) * hint.StateBytes / hint.LinkRate * float64(time.Second))
	}
	return c
}

func groupOf(req *rillreach.Request, side rillreach.Side) membership.Group {
	if req.Service != "" {
		return membership.Group{Role: rillreach.RoleAgent, Side: side, Service: req.Service}
	}
	return membership.Group{Role: rillreach.RoleAgent, Side: side, Model: req.Row.Model, Version: req.Row.Version}
}
