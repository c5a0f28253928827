package gateway

import (
	"context"
	"time"

	"github.com/rillreach/rillreach/hedging"
	"github.com/rillreach/rillreach/scheduler"
)

// handleSilence makes the attempt beside this one go on if it can, and starts another one otherwise. It reports whether it
// has done one of the two.
func (a *attempt) handleSilence() bool {
	h, p := a.pairs()
	if h != nil && h.isOpen() && h.pair.silent(a) == hedging.Switch {
		a.yieldToHedge()
		return true
	}
	if p != nil && p.silent(a) == hedging.Switch {
		a.yieldToReplaced()
		return true
	}
	return a.startHedge(hedgeSilent)
}

// startHedge starts a second attempt beside this one and reports whether it did. It does not if one is already running,
// if the route or the retry budget does not allow it, or if no other runner would start on the request now. A working
// runner is hedged once, a silent one as often as the route allows.
func (a *attempt) startHedge(reason hedgeReason) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.mayHedge(reason) {
		return false
	}
	g, now := a.gateway, time.Now()
	x := a.exchange.fork()
	// Checked first because this runs for each event of a stream whose runner is about to load weights.
	if x.runnersLeft() <= 0 || g.mayReachCrashLimit(x) || !g.allowsRepeat(x) {
		return false
	}
	o := g.findOptions(x, g.viewsAt(now), now)
	choice := g.chooseAvailable(x, o, now)
	if choice.Index < 0 || !g.reserveRepeat(x, repeatHedge) {
		return false
	}
	t := g.assign(x, o, choice, now)
	if t == nil {
		g.returnRepeat(x)
		return false
	}
	a.retireHedge()
	h := a.newHedge(reason, x, t)
	a.hedge, a.hasHedged = h, true
	g.Log.Info("second attempt begins", "decision", "hedge", "reason", reason, "request", x.wire.ID, "runner", a.target.view.ID,
		"software", a.target.view.Software, "chosen", h.secondary.target.view.ID, "lastEvent", x.lastEvent)
	h.wg.Go(h.run)
	return true
}

// mayHedge reports whether the attempt may be hedged now. a.mu must be held.
func (a *attempt) mayHedge(reason hedgeReason) bool {
	if a.hedgingClosed || reason == hedgeLoading && a.hasHedged {
		return false
	}
	return a.hedge == nil || a.hedge.closed()
}

// newHedge returns a hedge of the attempt on the target; it has yet to be run.
func (a *attempt) newHedge(reason hedgeReason, x *exchange, t *target) *hedge {
	h := &hedge{primary: a, reason: reason, answered: make(chan struct{}), released: make(chan struct{})}
	var ctx context.Context
	ctx, h.cancelAll = context.WithCancelCause(a.requestCtx)
	h.secondary = a.gateway.newAttempt(ctx, x, t)
	h.result = h.secondary
	h.pair = newPair(h)
	return h
}

// chooseAvailable chooses a preferred runner that would start on the request now. The index is -1 if there is none.
func (g *Gateway) chooseAvailable(x *exchange, o *options, now time.Time) scheduler.Choice {
	choice := scheduler.Choice{Index: -1}
	switch {
	case len(o.views) == 0:
		return choice
	case x.needsEngine():
		choice, _ = g.chooseWithRoom(x, o, roomQuery{senders: g.concurrentSenders(x.service.Name)}, now)
	default:
		choice = scheduler.Choose(o.request, o.candidates, g.offset(len(o.views)))
	}
	if choice.Index >= 0 && !o.candidates[choice.Index].Preferred() {
		choice.Index = -1
	}
	return choice
}

// retireHedge records the outcome of the previous hedge, which has ended, before another one replaces it. a.mu must be
// held.
func (a *attempt) retireHedge() {
	if a.hedge == nil {
		return
	}
	a.hedge.recordOutcome("unused")
	a.hedgeMayHaveRun = a.hedgeMayHaveRun || a.hedge.secondary.exchange.maybeRan
}

// awaitHedge waits for the hedge and prevents further ones. It reports whether the hedge has answered.
func (a *attempt) awaitHedge() bool {
	a.mu.Lock()
	h := a.hedge
	a.hedgingClosed = true
	a.mu.Unlock()
	return h != nil && h.awaitOutcome()
}

// takeHedge removes and returns the hedge, and prevents further ones.
func (a *attempt) takeHedge() *hedge {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.hedge
	a.hedge, a.hedgingClosed = nil, true
	return h
}
