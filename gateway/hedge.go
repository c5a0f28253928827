package gateway

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/rillreach/rillreach/hedging"
)

// hedge is a second attempt that starts while the first is still running, because the first runner is about to load
// weights or is silent. The first attempt goes on until the second answers, and is kept for as long as two runners may work
// on the request. A working runner is thus only given up for one that works on the request, never for one that is expected
// to.
type hedge struct {
	// primary is the running attempt, and secondary the one beside it, which works on a copy of the request.
	primary   *attempt
	secondary *attempt
	// result is the attempt that answers: secondary, or one that was started beside it and has replaced it.
	result *attempt
	reason hedgeReason
	pair   *pair
	// cancelAll ends secondary and result.
	cancelAll context.CancelCauseFunc

	wg conc.WaitGroup
	// answered is closed once result has answered or failed, and released once it is taken over or not needed.
	answered chan struct{}
	released chan struct{}
	mu       sync.Mutex
	state    hedgeState
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

// hedgeState is the state of a hedge.
type hedgeState int

// The states of a hedge. After hedgeClosed its attempts have released their runners.
const (
	hedgePending hedgeState = iota
	hedgeAnswered
	hedgeTaken
	hedgeCancelled
	hedgeClosed
)

// run makes the second attempt and offers its answer, until it is taken over or not needed.
func (h *hedge) run() {
	offered := h.awaitAnswer() && h.result.canContinueFrom(h.primary.currentExchange().snapshot()) && h.offer()
	if !offered {
		h.pair.failed(h.result)
	}
	close(h.answered)
	if offered {
		<-h.released
	}
	if h.currentState() == hedgeTaken {
		return
	}
	h.cancelPending()
	h.result.close() // at once, because the request takes up capacity of its runner until then
	h.setState(hedgeClosed)
}

// awaitAnswer waits for the answer of the second attempt, or of one that replaces it.
func (h *hedge) awaitAnswer() bool {
	for !h.result.awaitAnswer() {
		next := h.result.successor()
		if next == nil {
			return false
		}
		h.result = next
	}
	return true
}

// offer records that the hedge has answered, and interrupts the primary if the hedge is to go on with the answer. It
// returns false if the hedge was cancelled before.
func (h *hedge) offer() bool {
	h.mu.Lock()
	offered := h.state == hedgePending
	if offered {
		h.state = hedgeAnswered
	}
	h.mu.Unlock()
	if offered && h.pair.answered(h.result) == hedging.Switch {
		h.primary.yieldToHedge()
	}
	return offered
}

// take takes the answer of the hedge over, and reports whether there is one. It waits for it if necessary.
func (h *hedge) take() bool {
	answered := h.awaitOutcome()
	if answered {
		answered = h.release(hedgeTaken)
	}
	h.wg.Wait()
	return answered
}

// awaitOutcome waits until the hedge has answered or failed, and reports whether it has answered.
func (h *hedge) awaitOutcome() bool {
	<-h.answered
	return h.currentState() == hedgeAnswered
}

// release ends the offer of the hedge's answer, and reports whether there was one.
func (h *hedge) release(state hedgeState) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != hedgeAnswered {
		return false
	}
	h.state = state
	close(h.released)
	return true
}

// cancelPending cancels the hedge unless it has already answered. It reports whether it did.
func (h *hedge) cancelPending() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != hedgePending {
		return false
	}
	h.state = hedgeCancelled
	h.cancelAll(errSecondAttemptNotNeeded)
	return true
}

// cancel ends the hedge unless its answer was taken over.
func (h *hedge) cancel() {
	h.pair.close()
	switch {
	case h.cancelPending():
		h.secondary.withdraw(errSecondAttemptNotNeeded)
	case h.release(hedgeCancelled):
		h.result.withdraw(errSecondAttemptNotNeeded)
		h.cancelAll(errSecondAttemptNotNeeded)
	}
}

// discard ends a hedge whose answer is not used.
func (h *hedge) discard() {
	h.cancel()
	h.wg.Wait()
	h.recordOutcome("unused")
}

func (h *hedge) currentState() hedgeState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

func (h *hedge) setState(state hedgeState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = state
}

// isOpen reports whether the hedge may still be taken over.
func (h *hedge) isOpen() bool {
	state := h.currentState()
	return state == hedgePending || state == hedgeAnswered
}

// closed reports whether the hedge has ended and released its runner.
func (h *hedge) closed() bool { return h.currentState() == hedgeClosed }

// recordOutcome logs and counts the outcome of the hedge.
func (h *hedge) recordOutcome(outcome string) {
	x := h.secondary.exchange
	h.primary.gateway.Log.Info("second attempt ended", "decision", outcome, "reason", h.reason, "request", x.wire.ID,
		"runner", h.primary.target.view.ID, "chosen", h.secondary.target.view.ID, "cause", x.reason)
	h.primary.gateway.Metrics.CountHedge(string(h.reason), outcome)
}
