package gateway

import (
	"slices"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/admission"
	"github.com/rillreach/rillreach/roster"
	"github.com/rillreach/rillreach/scheduler"
)

// roomQuery restricts which engines are considered to have room.
type roomQuery struct {
	// reserved engines are kept for waiting requests. senders is the number of entries assumed to send at the same
	// time.
	reserved map[*roster.Runner]bool
	senders  int
	// idleOnly restricts the choice to engines without queued prefill work.
	idleOnly bool
}

// chooseWithRoom chooses among the engines that have room. It also returns the index of the engine that has the most
// room, or -1.
func (g *Gateway) chooseWithRoom(x *exchange, o *options, q roomQuery, now time.Time) (choice scheduler.Choice, mostFree int) {
	admitted := make([]scheduler.Candidate, 0, len(o.views))
	indexes := make([]int, 0, len(o.views))
	mostFree = -1
	maxFree := 0
	preferredOnly := o.anyPreferred()
	for i := range o.views {
		if preferredOnly && !o.candidates[i].Preferred() || q.reserved[o.runners[i]] {
			continue
		}
		if o.views[i].Denied != "" {
			continue
		}
		state := g.engineState(o, i, q.senders)
		if state.Admits(o.request.Tokens) && (!q.idleOnly || state.Idle()) {
			g.planCandidate(x, o, i, now)
			admitted = append(admitted, o.candidates[i])
			indexes = append(indexes, i)
		}
		if mostFree < 0 || state.FreeTokens() > maxFree {
			mostFree, maxFree = i, state.FreeTokens()
		}
	}
	if len(admitted) == 0 {
		return scheduler.Choice{Index: -1}, mostFree
	}
	choice = scheduler.Choose(o.request, admitted, g.offset(len(admitted)))
	choice.Index = indexes[choice.Index]
	return choice, mostFree
}

// anyPreferred reports whether any candidate is preferred.
func (o *options) anyPreferred() bool {
	return slices.ContainsFunc(o.candidates, func(c scheduler.Candidate) bool { return c.Preferred() })
}

// concurrentSenders returns the number of entries assumed to send to the same engine at the same time. In a large service,
// an entry considers only a few engines for a request.
func (g *Gateway) concurrentSenders(service rillreach.ServiceID) int {
	entries, engines := g.entryCount(), len(g.state.Roster.ByService(service))
	if engines <= maxExamined {
		return entries
	}
	return 1 + entries*(maxHomes+maxFollowed)/engines
}

// engineState returns the load of an engine according to its report or, without a recent one, to this entry's own
// requests.
func (g *Gateway) engineState(o *options, i, senders int) admission.EngineState {
	v, c := o.views[i], &o.candidates[i]
	if !v.ReportFresh {
		// All entries see a runner that has just started as empty, so each assumes that the others send as much as
		// itself.
		entries := g.concurrentSenders(v.Service)
		queuedPrefill := time.Duration(v.QueuedPrefillTokens*entries) * o.request.Latency.PerToken
		return admission.EngineState{Capacity: c.Capacity, UsedTokens: v.UsedTokens * entries, QueuedPrefill: queuedPrefill}
	}
	return admission.EngineState{
		Capacity: c.Capacity, UsedTokens: max(v.Load.UsedTokens, 0), QueuedTokens: v.Load.Waiting * g.requestSizes.mean(), UnreportedUsedTokens: v.UnreportedUsedTokens, Senders: senders,
		QueuedPrefill: time.Duration(c.QueuedPrefillTokens) * o.request.Latency.PerToken,
	}
}
