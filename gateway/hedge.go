package gateway

import (
	"bytes"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach/scheduler"
)

// hedge is a second attempt that starts while the first is still running, because the first runner is about to load
// weights or is silent. The first attempt continues until the second answers, and goes on alone if the second is
// refused or fails. A working runner is thus only given up for one that has accepted the request, never for one that is
// expected to.
type hedge struct {
	// primary is the running attempt, and secondary the one beside it, which works on a copy of the request.
	primary   *attempt
	secondary *attempt
	// result is the attempt that answers: secondary, or a third one that hedged it and replaced it.
	result *attempt
	reason hedgeReason
	// timeout cancels the hedge if it takes too long. It is nil if the primary is not known to be working.
	timeout *time.Timer

	wg    conc.WaitGroup
	state atomic.Int32
}

// hedgeReason is why a hedge is started.
type hedgeReason string

// The reasons for a hedge.
const (
	// hedgeLoading means that the primary's runner waits for its requests to end before it loads weights.
	hedgeLoading hedgeReason = "runner-loads"
	// hedgeSilent means that the primary's runner is silent and not known to be alive.
	hedgeSilent hedgeReason = "runner-silent"
)

// The states of a hedge. After hedgeClosed its attempts have released their runners.
const (
	hedgePending int32 = iota
	hedgeWon
	hedgeCancelled
	hedgeClosed
)

// hedgeTimeout is how long a stream whose runner is working waits for the first event of another runner. A runner with
// room processes a prompt in about 100 ms. One that takes longer has a queue, and both runners would work on the
// request meanwhile.
const hedgeTimeout = 350 * time.Millisecond

// startHedge starts a second attempt beside this one and reports whether it did. It does not if one is already running,
// if the route or the retry budget does not allow it, or if no other runner would start on the request now. A working
// runner is hedged once, a silent one as often as the route allows.
func (a *attempt) startHedge(reason hedgeReason) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hedgingClosed || a.hedge != nil && (reason == hedgeLoading || !a.hedge.closed()) {
		return false
	}
	g, now := a.gateway, time.Now()
	x := a.exchange.fork()
	// Checked first because this runs for each event of a stream whose runner is about to load weights.
	if !x.mayUseAnotherRunner() || g.mayReachCrashLimit(x) || !g.budgets.Allows(now, x.service.Name) {
		return false
	}
	o := g.findOptions(x, g.viewsAt(now), now)
	choice := g.chooseAvailable(x, o, now)
	if choice.Index < 0 || !g.budgets.TrySpend(now, x.service.Name) {
		return false
	}
	t := g.assign(x, o, choice, now)
	if t == nil {
		return false
	}
	h := &hedge{primary: a, reason: reason, secondary: g.newAttempt(a.requestCtx, x, t)}
	if reason == hedgeLoading {
		h.timeout = time.AfterFunc(hedgeTimeout, h.cancel)
	}
	a.retireHedge()
	a.hedge = h
	g.Log.Info("second attempt begins", "decision", "hedge", "reason", reason, "request", x.wire.ID, "runner", a.target.view.ID,
		"software", a.target.view.Software, "chosen", h.secondary.target.view.ID, "lastEvent", x.lastEvent)
	h.wg.Go(h.run)
	return true
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

// run makes the second attempt and cancels the primary once the second answers.
func (h *hedge) run() {
	usable := h.awaitAnswer() && h.result.canContinueFrom(h.primary.currentExchange().snapshot())
	if !usable || !h.state.CompareAndSwap(hedgePending, hedgeWon) {
		h.cancel()
		h.result.close() // at once, because the request takes up capacity of its runner until then
		h.state.Store(hedgeClosed)
		return
	}
	if h.reason == hedgeLoading {
		h.primary.noEjection.Store(true)
	}
	h.primary.cancel(errSecondAttemptAnswers)
}

// awaitAnswer waits for the answer of the second attempt, or of a third one that replaces it.
func (h *hedge) awaitAnswer() bool {
	h.result = h.secondary
	if h.secondary.send() && h.secondary.prefetch() {
		return true
	}
	next := h.secondary.replacement()
	if next == nil {
		return false
	}
	h.secondary.close()
	h.result = next
	return true
}

// cancel cancels the hedge unless it has already answered.
func (h *hedge) cancel() {
	if !h.state.CompareAndSwap(hedgePending, hedgeCancelled) {
		return
	}
	h.secondary.noEjection.Store(true)
	h.secondary.cancel(errSecondAttemptNotNeeded)
}

// wait waits until the hedge has answered or ended, and reports whether it has answered.
func (h *hedge) wait() bool {
	if h.timeout != nil {
		h.timeout.Stop()
	}
	h.wg.Wait()
	return h.state.Load() == hedgeWon
}

// closed reports whether the hedge has ended and released its runner.
func (h *hedge) closed() bool { return h.state.Load() == hedgeClosed }

// discard ends a hedge whose answer is not used.
func (h *hedge) discard() {
	h.cancel()
	if h.wait() {
		h.result.close()
	}
	h.recordOutcome("unused")
}

// recordOutcome logs and counts the outcome of the hedge.
func (h *hedge) recordOutcome(outcome string) {
	x := h.secondary.exchange
	h.primary.gateway.Log.Info("second attempt ended", "decision", outcome, "reason", h.reason, "request", x.wire.ID,
		"runner", h.primary.target.view.ID, "chosen", h.secondary.target.view.ID, "cause", x.reason)
	h.primary.gateway.Metrics.CountHedge(string(h.reason), outcome)
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
	return h != nil && h.wait()
}

// takeHedge removes and returns the hedge, and prevents further ones.
func (a *attempt) takeHedge() *hedge {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.hedge
	a.hedge, a.hedgingClosed = nil, true
	return h
}

// replacement returns the attempt of the hedge that continues in place of this one, which has failed, or nil.
func (a *attempt) replacement() *attempt {
	h, x := a.takeHedge(), a.exchange
	x.maybeRan = x.maybeRan || a.hedgeMayHaveRun
	if h == nil {
		return nil
	}
	if x.mayUseAnotherRunner() {
		h.secondary.watchdog.start(firstByteTimeout(x.route)) // the primary's watchdog no longer covers it
	}
	won := h.wait()
	x.maybeRan = x.maybeRan || h.secondary.exchange.maybeRan
	next := h.result
	if !won || !next.canContinueFrom(x.progress) {
		h.discard()
		return nil
	}
	h.recordOutcome("used")
	next.adoptExchange(x)
	return next
}

// commit prevents any other attempt from replacing this one. It returns false if one already has.
func (a *attempt) commit() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hedgingClosed = true
	if a.hedge == nil {
		return true
	}
	a.hedge.cancel()
	return a.hedge.state.Load() != hedgeWon
}

// prefetch reads enough of the answer to know that it can replace another one: the first complete event of a stream, or
// any other answer up to its end or up to maxBufferedAnswer. It reports whether the answer can be used.
func (a *attempt) prefetch() bool {
	x, status := a.exchange, a.answer.Head.StatusCode
	if status >= minFailureStatus || a.isEventStream() && !a.canContinue() {
		x.maybeRan, x.reason = true, "runner-failed"
		return false
	}
	buf := make([]byte, relayBufferSize)
	for !a.prefetchedEnough() {
		n, err := a.readAnswer(buf)
		a.prefetched.Write(buf[:n])
		if isCompleteAnswer(err) {
			break
		}
		if err == nil && a.prefetched.Len() > maxEventSize && !a.prefetchedEnough() {
			err = errEventTooLarge
		}
		if err != nil {
			a.handleFailure(err)
			return false
		}
	}
	return true
}

// prefetchedEnough reports whether the prefetched part shows that the answer can be used. The first event of a stream
// is enough even if the stream is buffered until it is complete, since two runners must not work on it for long.
func (a *attempt) prefetchedEnough() bool {
	if a.isEventStream() {
		return bytes.Contains(a.prefetched.Bytes(), eventEnd)
	}
	return a.prefetched.Len() > maxBufferedAnswer
}

// currentExchange returns the request that the attempt answers. A hedge that replaces the primary adopts the primary's.
func (a *attempt) currentExchange() *exchange {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.exchange
}

// canContinueFrom reports whether the stream can continue with this attempt's events, given what the caller has of it.
// Events that the caller already has must be known by their IDs.
func (a *attempt) canContinueFrom(p *progress) bool {
	return a.matchesPin(p) && (a.exchange.lastEvent == p.lastEvent || isNumericID(p.lastEvent))
}

// matchesPin reports whether the runner has the software version that has begun the stream.
func (a *attempt) matchesPin(p *progress) bool {
	return p.pin.Allows(a.exchange.service.Name, a.target.view.Software)
}

// adoptExchange makes the attempt answer the original request instead of its copy.
func (a *attempt) adoptExchange(x *exchange) {
	if a.exchange.lastEvent != x.lastEvent {
		a.resumeAfter = x.lastEvent
	}
	x.firstTokenWait = a.exchange.firstTokenWait
	a.mu.Lock()
	a.exchange = x
	a.mu.Unlock()
	if x.mayUseAnotherRunner() {
		a.watchdog.start(a.watchdog.timeout)
	}
}
