package gateway

import (
	"bytes"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach/place"
)

// hedge is a second attempt that begins while the first still runs, since the first's runner is about to load weights or says nothing.
// The first goes on until the second answers, and beyond where that is refused or fails: a runner that works is given up for one that has
// taken the request, never for one that is expected to.
type hedge struct {
	// first is the attempt that runs, attempt the one beside it, which works on a copy of the request.
	first   *attempt
	attempt *attempt
	// result is the attempt that answers: the second, or a third that was begun beside it and took its place.
	result *attempt
	reason hedgeReason
	// patience ends the second attempt where it takes too long; nil where the first isn't known to work.
	patience *time.Timer

	wg    conc.WaitGroup
	state atomic.Int32
}

// hedgeReason is why a second attempt is begun.
type hedgeReason string

// The reasons for a second attempt.
const (
	// hedgeLoading says that the first runner waits for its requests to end before it loads weights.
	hedgeLoading hedgeReason = "runner-loads"
	// hedgeSilent says that the first runner says nothing, and isn't known to live.
	hedgeSilent hedgeReason = "runner-silent"
)

// The states of a second attempt: it is being made, it answers, it is given up, or nothing is left of it.
const (
	hedgePending int32 = iota
	hedgeWon
	hedgeDropped
	hedgeOver
)

// hedgePatience is how long a stream that its runner works on waits for the first event of another runner. One with room reads a prompt in
// some 0.1 s; one that has not begun by then has a queue, and would have the request worked on twice meanwhile.
const hedgePatience = 350 * time.Millisecond

// beginHedge begins another attempt beside this one, and reports whether it did: not where one is being made, where the route or the
// retry budget allows none, or where no other runner would begin on the request now. A runner that works has one other asked, one that
// says nothing each that the route allows.
func (a *attempt) beginHedge(reason hedgeReason) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.hedge != nil && (reason == hedgeLoading || !a.hedge.over()) {
		return false
	}
	g, now := a.gateway, time.Now()
	x := a.exchange.fork()
	if !x.mayUseAnotherRunner() || g.mayReachCrashLimit(x) || !g.budgets.Allows(now, x.service.Name) { // asked first: a stream of a busy runner comes here with each event
		return false
	}
	o := g.options(x, g.viewsAt(now), now)
	choice := g.chooseFree(x, o, now)
	if choice.Index < 0 || !g.budgets.TrySpend(now, x.service.Name) {
		return false
	}
	t := g.assign(x, o, choice, now)
	if t == nil {
		return false
	}
	h := &hedge{first: a, reason: reason, attempt: g.newAttempt(a.parent, x, t)}
	if reason == hedgeLoading {
		h.patience = time.AfterFunc(hedgePatience, h.drop)
	}
	a.retireHedge()
	a.hedge = h
	g.Log.Info("second attempt begins", "decision", "hedge", "reason", reason, "request", x.wire.ID, "runner", a.target.view.ID,
		"chosen", h.attempt.target.view.ID, "lastEvent", x.lastEvent)
	h.wg.Go(h.run)
	return true
}

// chooseFree chooses a runner that would begin on the request now and that nothing speaks against, an index of -1 where there is none.
func (g *Gateway) chooseFree(x *exchange, o *options, now time.Time) place.Choice {
	choice := place.Choice{Index: -1}
	switch {
	case len(o.views) == 0:
		return choice
	case x.needsEngine():
		choice, _ = g.chooseWithRoom(x, o, roomQuery{senders: g.budgets.Entries()}, now)
	default:
		choice = place.Choose(o.question, o.candidates, g.offset(len(o.views)))
	}
	if choice.Index >= 0 && !o.candidates[choice.Index].Preferred() {
		choice.Index = -1
	}
	return choice
}

// run makes the second attempt, and ends the first once the second answers.
func (h *hedge) run() {
	answers := h.answers() && h.result.joins(h.first.request().snapshot().lastEvent)
	if !answers || !h.state.CompareAndSwap(hedgePending, hedgeWon) {
		h.drop()
		h.result.close() // at once: its runner is kept from others for as long as the request counts there
		h.state.Store(hedgeOver)
		return
	}
	if h.reason == hedgeLoading {
		h.first.spared.Store(true)
	}
	h.first.cancel(errSecondAttemptAnswers)
}

// answers has the request answered by the second attempt, or by a third in its place.
func (h *hedge) answers() bool {
	h.result = h.attempt
	if h.attempt.send() && h.attempt.answers() {
		return true
	}
	next := h.attempt.replacement()
	if next == nil {
		return false
	}
	h.attempt.close()
	h.result = next
	return true
}

// drop gives the second attempt up, unless it answers already.
func (h *hedge) drop() {
	if !h.state.CompareAndSwap(hedgePending, hedgeDropped) {
		return
	}
	h.attempt.spared.Store(true)
	h.attempt.cancel(errSecondAttemptNotNeeded)
}

// wait returns once the second attempt answers or is given up; it reports whether it answers.
func (h *hedge) wait() bool {
	if h.patience != nil {
		h.patience.Stop()
	}
	h.wg.Wait()
	return h.state.Load() == hedgeWon
}

// over reports that nothing is left of the second attempt.
func (h *hedge) over() bool { return h.state.Load() == hedgeOver }

// end closes a second attempt that the request does not go on with.
func (h *hedge) end() {
	h.drop()
	if h.wait() {
		h.result.close()
	}
	h.note("unused")
}

// note records what became of the second attempt.
func (h *hedge) note(outcome string) {
	x := h.attempt.exchange
	h.first.gateway.Log.Info("second attempt ended", "decision", outcome, "reason", h.reason, "request", x.wire.ID,
		"runner", h.first.target.view.ID, "chosen", h.attempt.target.view.ID, "cause", x.reason)
	h.first.gateway.Metrics.Hedge(string(h.reason), outcome)
}

// retireHedge makes room for another second attempt where one is over; the lock is held.
func (a *attempt) retireHedge() {
	if a.hedge == nil {
		return
	}
	a.hedge.note("unused")
	a.ranBeside = a.ranBeside || a.hedge.attempt.exchange.maybeRan
}

// awaitHedge waits for the second attempt, lets no other be begun, and reports whether it answers.
func (a *attempt) awaitHedge() bool {
	a.mu.Lock()
	h := a.hedge
	a.closed = true
	a.mu.Unlock()
	return h != nil && h.wait()
}

// releaseHedge takes the second attempt away, and lets none be begun any more.
func (a *attempt) releaseHedge() *hedge {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.hedge
	a.hedge, a.closed = nil, true
	return h
}

// replacement is the second attempt where that goes on in place of this one, which has failed; nil where there is none.
func (a *attempt) replacement() *attempt {
	h, x := a.releaseHedge(), a.exchange
	x.maybeRan = x.maybeRan || a.ranBeside
	if h == nil {
		return nil
	}
	if x.mayUseAnotherRunner() {
		h.attempt.silence.begin(firstWordAfter(x.route)) // nobody else bounds its silence any more
	}
	won := h.wait()
	x.maybeRan = x.maybeRan || h.attempt.exchange.maybeRan
	next := h.result
	if !won || !next.joins(x.lastEvent) {
		h.end()
		return nil
	}
	h.note("used")
	next.takeOver(x)
	return next
}

// commit lets no other attempt take this one's place any more; it reports false where one has done so already.
func (a *attempt) commit() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	if a.hedge == nil {
		return true
	}
	a.hedge.drop()
	return a.hedge.state.Load() != hedgeWon
}

// answers reads as much of the answer as shows that it can be passed on in place of another: the first whole event of a stream, any other
// answer whole, or as much as is held of one. It reports whether it can.
func (a *attempt) answers() bool {
	x, status := a.exchange, a.answer.Response.StatusCode
	if status >= minFailureStatus || a.isEventStream() && !a.canContinue() {
		x.maybeRan, x.reason = true, "runner-failed"
		return false
	}
	buf := make([]byte, relayBufferSize)
	for !a.readEnough() {
		n, err := a.readAnswer(buf)
		a.ahead.Write(buf[:n])
		if isCompleteAnswer(err) {
			break
		}
		if err == nil && a.ahead.Len() > maxEventSize && !a.readEnough() {
			err = errEventTooLarge
		}
		if err != nil {
			a.failed(err)
			return false
		}
	}
	return true
}

// readEnough reports that what was read of the answer shows that it can be passed on. A stream's first event does, also where nothing
// goes out before the stream is whole: two runners must not work on it for long.
func (a *attempt) readEnough() bool {
	if a.isEventStream() {
		return bytes.Contains(a.ahead.Bytes(), eventEnd)
	}
	return a.ahead.Len() > maxBufferedAnswer
}

// request is the request that the attempt answers: a second attempt takes over the first's.
func (a *attempt) request() *exchange {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.exchange
}

// joins reports that the stream can go on with this attempt's events: it is known which of them a caller has who has those up to the given.
func (a *attempt) joins(lastEvent string) bool {
	return a.exchange.lastEvent == lastEvent || isNumericID(lastEvent)
}

// takeOver has the attempt answer the request that it worked on a copy of.
func (a *attempt) takeOver(x *exchange) {
	if a.exchange.lastEvent != x.lastEvent {
		a.had = x.lastEvent
	}
	x.firstTokenWait = a.exchange.firstTokenWait
	a.mu.Lock()
	a.exchange = x
	a.mu.Unlock()
	if x.mayUseAnotherRunner() {
		a.silence.begin(a.silence.allowed)
	}
}
