package gateway

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach/hedging"
)

// pair is two attempts of a request that run at the same time. It is safe for concurrent use.
type pair struct {
	reason hedgeReason

	mu       sync.Mutex
	decision hedging.Pair
	attempts [2]*attempt
}

// answered records that the hedge has answered, by the given attempt.
func (p *pair) answered(by *attempt) hedging.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts[hedging.Hedge] = by
	return p.decision.Answered(time.Now())
}

// received records that data of an attempt was read.
func (p *pair) received(from *attempt, open bool) hedging.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.decision.Received(time.Now(), p.roleOf(from), open)
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

// failed records that an attempt has failed.
func (p *pair) failed(a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decision.Failed(p.roleOf(a))
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

// newTakenPair returns the pair of an attempt and of a hedge that goes on in its place.
func newTakenPair(reason hedgeReason, primary, taken *attempt) *pair {
	p := &pair{reason: reason, attempts: [2]*attempt{primary, taken}}
	p.answered(taken)
	return p
}

// pairs returns the attempt's hedge, and the pair of the attempt and of the one that it has replaced. Both may be nil.
func (a *attempt) pairs() (*hedge, *pair) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hedge, a.pair
}

// recordRead records that data of the attempt was read, and ends the attempts beside it that are not needed any more.
func (a *attempt) recordRead() {
	h, p := a.pairs()
	if h != nil && h.isOpen() && h.pair.received(a, a.answer.IsQuiet()) == hedging.EndOther {
		h.cancel()
	}
	if p != nil && p.received(a, a.answer.IsQuiet()) == hedging.EndOther {
		a.endReplaced()
	}
}
