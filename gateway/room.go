package gateway

import (
	"slices"
	"time"

	"github.com/rillreach/rillreach/admission"
	"github.com/rillreach/rillreach/place"
	"github.com/rillreach/rillreach/roster"
)

// roomQuery says which engines count as ones with room.
type roomQuery struct {
	// claimed are kept by requests that wait, senders is how many entries are taken to send at the same time.
	claimed map[*roster.Runner]bool
	senders int
	// idle asks for engines that have nothing to read.
	idle bool
}

// chooseWithRoom chooses among the engines that have room, and gives the one with the most where none has enough.
func (g *Gateway) chooseWithRoom(x *exchange, o *options, q roomQuery, now time.Time) (choice place.Choice, most int) {
	admitted := make([]place.Candidate, 0, len(o.views))
	index := make([]int, 0, len(o.views))
	most = -1
	free := 0
	good := o.anyGood()
	for i := range o.views {
		if good && !o.candidates[i].Preferred() || q.claimed[o.runners[i]] {
			continue
		}
		if o.views[i].Denied != "" {
			continue
		}
		room := g.roomOf(o, i, q.senders)
		if room.Admits(o.question.Tokens) && (!q.idle || room.Idle()) {
			g.planAt(x, o, i, now)
			admitted = append(admitted, o.candidates[i])
			index = append(index, i)
		}
		if most < 0 || room.FreeTokens() > free {
			most, free = i, room.FreeTokens()
		}
	}
	if len(admitted) == 0 {
		return place.Choice{Index: -1}, most
	}
	choice = place.Choose(o.question, admitted, g.offset(len(admitted)))
	choice.Index = index[choice.Index]
	return choice, most
}

// anyGood reports that an engine is there that nothing speaks against.
func (o *options) anyGood() bool {
	return slices.ContainsFunc(o.candidates, func(c place.Candidate) bool { return c.Preferred() })
}

// roomOf is the room at an engine, by its report where there is one, else by this entry's own requests.
func (g *Gateway) roomOf(o *options, i, senders int) admission.EngineState {
	v, c := o.views[i], &o.candidates[i]
	if !v.ReportFresh {
		// A runner that has just started is empty for every entry, so that each takes the others to send as much as itself.
		entries := g.budgets.Entries()
		ahead := time.Duration(v.PrefillTokens*entries) * o.question.Latency.PerToken
		return admission.EngineState{Capacity: c.Capacity, Used: v.KVTokens * entries, PendingPrefill: ahead}
	}
	return admission.EngineState{
		Capacity: c.Capacity, Used: max(v.Load.UsedTokens, 0), Queued: v.Load.Waiting * g.requestSizes.mean(), SentSinceReport: v.UnreportedKVTokens, Senders: senders,
		PendingPrefill: time.Duration(c.QueuedPrefillTokens) * o.question.Latency.PerToken,
	}
}
