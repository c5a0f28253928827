package gateway

// successor returns the attempt that goes on with the request after this one has failed or was interrupted. It returns
// nil if there is none.
func (a *attempt) successor() *attempt {
	h, p := a.pairs()
	if a.parked {
		a.position = a.exchange.lastEvent
	} else {
		a.recordFailed(h, p)
	}
	if a.shouldHandBack() {
		return a.handBack(a.takeReplaced(), p)
	}
	h = a.takeHedge() // it may have been started since
	if next := a.replacement(h); next != nil {
		return a.handOver(next, h.pair)
	}
	if other := a.takeReplaced(); other != nil {
		return a.handBack(other, p)
	}
	if a.parked {
		a.resume() // the other attempt cannot go on after all
		return a
	}
	return nil
}

// recordFailed records in the attempt's pairs that it has failed.
func (a *attempt) recordFailed(h *hedge, p *pair) {
	if h != nil {
		h.pair.failed(a)
	}
	if p != nil {
		p.failed(a)
	}
}

// shouldHandBack reports whether the attempt that this one has replaced goes on, rather than a hedge of this one.
func (a *attempt) shouldHandBack() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.replaced == nil {
		return false
	}
	if a.parked {
		return a.yieldsToReplaced
	}
	return a.replaced.hasUnusedData()
}

// replacement returns the attempt of the hedge that goes on in place of this one, which has failed or was interrupted,
// or nil. The hedge may be nil.
func (a *attempt) replacement(h *hedge) *attempt {
	x := a.exchange
	x.maybeRan = x.maybeRan || a.hedgeMayHaveRun
	if h == nil {
		return nil
	}
	if x.runnersLeft() > 0 {
		h.secondary.watchdog.start(firstByteTimeout(x.route)) // the primary's watchdog no longer covers it
	}
	taken := h.take()
	x.maybeRan = x.maybeRan || h.secondary.exchange.maybeRan
	next := h.result
	if !taken {
		h.recordOutcome("unused")
		return nil
	}
	if !next.canContinueFrom(x.progress) {
		next.close()
		h.recordOutcome("unused")
		return nil
	}
	h.recordOutcome("used")
	next.adoptExchange(x)
	return next
}

// handOver makes the attempt of the hedge go on. This attempt is kept if it was interrupted, and closed if it has failed.
// In that case the one that it has replaced is kept in its place.
func (a *attempt) handOver(next *attempt, p *pair) *attempt {
	if a.parked {
		a.exchange.maybeRan = true
		next.endReplaced()
		next.setReplaced(a, p)
	} else {
		if other := a.takeReplaced(); other != nil {
			next.endReplaced()
			next.setReplaced(other, newTakenPair(p.reason, other, next))
		}
		a.close()
	}
	next.startWatchdogAgain()
	return next
}

// handBack makes the attempt go on that this one has replaced. It returns nil if neither can go on.
func (a *attempt) handBack(other *attempt, p *pair) *attempt {
	x := a.exchange
	usable := other.ctx.Err() == nil && other.canContinueFrom(x.progress)
	switch {
	case usable && a.parked:
		other.endReplaced() // silent for longer than both
		other.setReplaced(a, p)
	case usable:
		a.close()
	case a.parked:
		other.close()
		a.resume()
		return a
	default:
		other.close()
		return nil
	}
	a.gateway.Log.Info("replaced attempt goes on", "decision", "hedge", "reason", p.reason, "request", x.wire.ID, "runner", a.target.view.ID,
		"chosen", other.target.view.ID, "failed", !a.parked, "lastEvent", x.lastEvent)
	a.gateway.Metrics.CountHedge(string(p.reason), "returned")
	other.setExchange(x)
	other.resume()
	other.startWatchdogAgain()
	return other
}

// canContinueFrom reports whether the stream can continue with this attempt's events, given what the caller has of it.
// Events that the caller already has must be known by their IDs.
func (a *attempt) canContinueFrom(p *progress) bool {
	return a.matchesPin(p) && (a.position == p.lastEvent || isNumericID(p.lastEvent))
}

// matchesPin reports whether the runner has the software version that has begun the stream.
func (a *attempt) matchesPin(p *progress) bool {
	return p.pin.Allows(a.exchange.service.Name, a.target.view.Software)
}

// currentExchange returns the request that the attempt answers. A hedge that replaces the primary adopts the primary's.
func (a *attempt) currentExchange() *exchange {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.exchange
}

// adoptExchange makes the attempt answer the original request instead of its copy.
func (a *attempt) adoptExchange(x *exchange) {
	a.skipTo(x.lastEvent)
	x.firstTokenWait = a.exchange.firstTokenWait
	a.setExchange(x)
}

func (a *attempt) setExchange(x *exchange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.exchange = x
}

// skipTo makes the attempt skip its events up to the given one, which the caller has.
func (a *attempt) skipTo(lastEvent string) {
	if a.position == lastEvent {
		return
	}
	a.position, a.resumeAfter = lastEvent, lastEvent
	if a.events != nil {
		a.events.resumeAfter = lastEvent
	}
}

// startWatchdogAgain starts the watchdog of an attempt that goes on in place of another, if another one can be used.
func (a *attempt) startWatchdogAgain() {
	a.mu.Lock()
	hasOther := a.replaced != nil
	a.mu.Unlock()
	if hasOther || a.exchange.runnersLeft() > 0 {
		a.watchdog.start(a.watchdog.timeout)
	}
}

// commit prevents any other attempt from going on with the answer. It returns false if one is about to.
func (a *attempt) commit() bool {
	a.mu.Lock()
	a.hedgingClosed = true
	a.committed = !a.isInterrupted
	committed, h := a.committed, a.hedge
	a.mu.Unlock()
	if !committed {
		return false
	}
	if h != nil {
		h.cancel()
	}
	a.endReplaced()
	return true
}
