package gateway

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach/hedging"
)

// pair is two attempts of a request that run at the same time. It is safe for concurrent use.
type pair struct {
	reason hedgeReason
	// hedge is the hedge of the primary, nil if it was taken over before the pair was made.
	hedge *hedge

	mu       sync.Mutex
	decision hedging.Pair
	attempts [2]*attempt
	// timer fires at due, the deadline of the pair. It is nil while there is none, and isLate is set once the deadline was
	// put off because the entry had stalled.
	timer  *time.Timer
	due    time.Time
	isLate bool
	// isOver is set once one of the attempts has failed or is not needed any more.
	isOver bool
}

// stallSettleTime is how long the deadline of a pair is put off if the entry has stalled for as long before it, so that data
// that has arrived meanwhile is read first.
const stallSettleTime = 20 * time.Millisecond

// newPair returns the pair of an attempt and of its hedge, which is being sent.
func newPair(h *hedge) *pair {
	p := &pair{
		reason: h.reason, hedge: h, attempts: [2]*attempt{h.primary, h.secondary},
		decision: hedging.Pair{
			Relieving: h.reason == hedgeLoading, WholeAnswer: !h.primary.isEventStream(), Continuing: h.secondary.isContinuation(), Started: time.Now(),
		},
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.schedule()
	return p
}

// newTakenPair returns the pair of an attempt and of a hedge that goes on in its place.
func newTakenPair(reason hedgeReason, primary, taken *attempt) *pair {
	p := &pair{reason: reason, attempts: [2]*attempt{primary, taken}, decision: hedging.Pair{Continuing: true, Started: time.Now()}}
	p.answered(taken)
	return p
}

// schedule sets the timer to the deadline. p.mu must be held.
func (p *pair) schedule() {
	deadline, limited := p.decision.Deadline()
	if p.isOver || !limited || deadline.Equal(p.due) {
		return
	}
	p.due = deadline
	if p.timer == nil {
		p.timer = time.AfterFunc(time.Until(deadline), p.expire)
		return
	}
	p.timer.Reset(time.Until(deadline))
}

// expire ends one of the attempts at the deadline.
func (p *pair) expire() {
	switch p.decide(time.Now()) {
	case hedging.EndPrimary:
		p.endPrimary()
	case hedging.EndHedge:
		p.endHedge()
	default:
	}
}

// decide returns which attempt is ended at the deadline.
func (p *pair) decide(now time.Time) hedging.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isOver {
		return hedging.KeepBoth
	}
	if !p.isLate && now.Sub(p.due) >= stallSettleTime {
		p.isLate = true
		p.timer.Reset(stallSettleTime)
		return hedging.KeepBoth
	}
	e := p.evidence()
	action := p.decision.Expire(now, e)
	if action == hedging.EndPrimary && p.decision.PrimaryWorks(e) {
		p.attempts[hedging.Primary].noEjection.Store(true)
	}
	return action
}

// evidence returns what is known of the attempt whose data is not read. p.mu must be held.
func (p *pair) evidence() hedging.Evidence {
	primary, second := p.attempts[hedging.Primary], p.attempts[hedging.Hedge]
	e := hedging.Evidence{PrimaryHasData: primary.reader.hasData.Load()}
	if p.decision.HasAnswered() && p.decision.Active() == hedging.Primary {
		e.HedgeUsable = second.answer.IsOpen() && second.canContinueFrom(primary.currentExchange().snapshot())
	}
	return e
}

// endPrimary ends the primary's run, since two runners must not work on a stream for long. The goroutine of the request
// notices that when it reads from the primary or from the hedge.
func (p *pair) endPrimary() {
	primary := p.attempts[hedging.Primary]
	p.logEnd(primary)
	primary.withdraw(errSecondAttemptAnswers)
}

// endHedge is the same for the hedge.
func (p *pair) endHedge() {
	p.mu.Lock()
	second := p.attempts[hedging.Hedge]
	p.mu.Unlock()
	p.logEnd(second)
	if p.hedge == nil || p.hedge.currentState() == hedgeTaken {
		second.withdraw(errSecondAttemptNotNeeded)
		return
	}
	p.hedge.cancel()
}

// logEnd logs which attempt is ended for the other one.
func (p *pair) logEnd(a *attempt) {
	x := a.currentExchange()
	a.gateway.Log.Info("one of two attempts ended", "decision", "hedge", "reason", p.reason, "request", x.wire.ID, "runner", a.target.view.ID, "together", time.Since(p.decision.Started).String())
}

// answered records that the hedge has answered, by the given attempt.
func (p *pair) answered(by *attempt) hedging.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.schedule()
	p.attempts[hedging.Hedge] = by
	return p.decision.Answered(time.Now())
}

// received records that data of an attempt was read, and reports whether the other one was ended for it.
func (p *pair) received(from *attempt) (otherEnded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.schedule()
	role := p.roleOf(from)
	p.decision.Received(time.Now(), role)
	return p.decision.HasEnded(role.Other())
}

// silent records that an attempt has been silent for too long.
func (p *pair) silent(a *attempt) hedging.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	role := p.roleOf(a)
	if p.decision.Active() != role {
		return hedging.KeepBoth
	}
	return p.decision.Silent(p.attempts[role.Other()].reader.hasData.Load())
}

// failed records that an attempt has failed, after which neither is ended for the other one.
func (p *pair) failed(a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decision.Failed(p.roleOf(a))
	p.stop()
}

// close stops the deadline, since one of the attempts is not needed any more.
func (p *pair) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop()
}

// stop stops the deadline. p.mu must be held.
func (p *pair) stop() {
	p.isOver = true
	if p.timer != nil {
		p.timer.Stop()
	}
}

// relieves reports whether the attempt is the primary of a runner that is to be relieved of the request.
func (p *pair) relieves(a *attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.decision.Relieving && p.roleOf(a) == hedging.Primary
}

// roleOf returns the role of an attempt. p.mu must be held.
func (p *pair) roleOf(a *attempt) hedging.Attempt {
	if a == p.attempts[hedging.Primary] {
		return hedging.Primary
	}
	return hedging.Hedge
}

// pairs returns the attempt's hedge, and the pair of the attempt and of the one that it has replaced. Both may be nil.
func (a *attempt) pairs() (*hedge, *pair) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hedge, a.pair
}

// recordRead records that data of the attempt was read, and releases the attempts beside it that were ended for it.
func (a *attempt) recordRead() {
	h, p := a.pairs()
	if h != nil && h.isOpen() {
		h.pair.received(a)
	}
	if p != nil && p.received(a) {
		a.endReplaced()
	}
}
