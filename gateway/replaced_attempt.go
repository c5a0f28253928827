package gateway

import (
	"github.com/cockroachdb/errors"

	"github.com/rillreach/rillreach/forward"
)

// yieldToHedge makes the attempt's hedge go on, and yieldToReplaced the attempt that this one has replaced.
func (a *attempt) yieldToHedge()    { a.interrupt(false) }
func (a *attempt) yieldToReplaced() { a.interrupt(true) }

// interrupt makes the attempt's goroutine stop waiting for the runner, so that another attempt goes on.
func (a *attempt) interrupt(yieldsToReplaced bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.interrupted == nil || a.isInterrupted || a.committed {
		return
	}
	a.isInterrupted, a.yieldsToReplaced = true, yieldsToReplaced
	close(a.interrupted)
}

// park records that the attempt's goroutine has stopped waiting for the runner. It returns false: the request is not
// finished.
func (a *attempt) park() bool {
	a.parked = true
	return false
}

// resume makes an interrupted attempt go on after the event that the caller has.
func (a *attempt) resume() {
	a.mu.Lock()
	a.isInterrupted, a.hedgingClosed = false, false
	a.interrupted = make(chan struct{})
	a.mu.Unlock()
	a.parked = false
	a.skipTo(a.exchange.lastEvent)
}

// setReplaced records that the attempt goes on in place of another one, which is kept.
func (a *attempt) setReplaced(other *attempt, p *pair) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.replaced, a.pair = other, p
}

// takeReplaced removes and returns the attempt that this one has replaced, if it is kept.
func (a *attempt) takeReplaced() *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	other := a.replaced
	a.replaced, a.pair = nil, nil
	return other
}

// endReplaced ends the attempt that this one has replaced, if it is kept.
func (a *attempt) endReplaced() {
	_, p := a.pairs()
	other := a.takeReplaced()
	if other == nil {
		return
	}
	if other.hasUnusedData() || p != nil && p.relieves(other) {
		other.noEjection.Store(true) // its runner works
	}
	if p != nil {
		p.close()
	}
	other.conclude()
	other.close()
}

// hasUnusedData reports whether the runner has sent data that is not used, since another attempt goes on.
func (a *attempt) hasUnusedData() bool {
	return a.reader.hasData.Load() || a.accepted && a.answer.HasUnreadData()
}

// conclude records how the attempt has ended that another one has replaced.
func (a *attempt) conclude() {
	err, ok := a.sending.Poll()
	switch {
	case ok && err != nil:
		a.handleSendFailure(err)
		return
	case ok && !a.accept():
		return
	}
	if err := a.reader.failure(); err != nil {
		a.handleFailure(err)
		return
	}
	a.withdraw(errSecondAttemptAnswers)
	a.handleFailure(a.endSend(errSecondAttemptAnswers))
}

// endSend waits until a cancelled attempt has ended its send, and returns the cause, marked if the runner has received the
// request.
func (a *attempt) endSend(cause error) error {
	a.endOperations()
	if err, ok := a.sending.Poll(); ok && errors.Is(err, forward.ErrReceived) {
		return errors.Mark(cause, forward.ErrReceived)
	}
	return cause
}

// withdraw ends the attempt for another one. Its runner may be asked again should that one fail.
func (a *attempt) withdraw(cause error) {
	a.currentExchange().sends.recordWithdrawn(a.target.view.ID)
	a.cancel(cause)
}
