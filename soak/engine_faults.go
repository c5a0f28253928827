package main

import "time"

const (
	// mostNames is how many names come at the most in quick succession; leastBetween and mostBetween bound the time between them.
	mostNames    = 5
	leastBetween = 500 * time.Millisecond
	mostBetween  = 2500 * time.Millisecond
	// heldBack is how long agents stand still at the least, so that several have orders to give when they go on.
	heldBack = 2 * time.Second
	// refuseFor is how long an engine refuses whatever its report says.
	refuseFor = time.Second
	// leastFreeze and mostFreeze bound how long an engine stands still.
	leastFreeze = 500 * time.Millisecond
	mostFreeze  = 2 * time.Second
)

// injectAtEngine does one fault of those drawn for engines and for their entries in the store.
func (w *world) injectAtEngine(a action, n *engine) {
	switch a.Fault {
	case faultNames, faultLoadsAtOnce:
		w.injectLoads(a)
	case faultRefuse, faultFreeze, faultSlow:
		w.injectWeakness(a, n)
	case faultAgain, faultAgainUntold:
		w.injectRestart(a, n)
	case faultBadEntries, faultSpoiledEntry:
		w.injectBadEntries(a, n)
	}
}

// injectLoads has engines load under the requests that they answer.
func (w *world) injectLoads(a action) {
	switch a.Fault {
	case faultNames:
		between := a.within(leastBetween, mostBetween)
		for i := range 2 + a.Which%(mostNames-1) {
			w.later(time.Duration(i)*between, w.nameNextWeights)
			w.later(time.Duration(i)*between+a.gap(), w.configure)
		}
	case faultLoadsAtOnce:
		w.nameNextWeights()
		for _, n := range w.engines {
			w.pause(action{For: heldBack + a.For}, &n.agent.process)
		}
	}
}

// nameNextWeights names the next version, unless one was just named: overlapping series are no faster than one is at the most.
func (w *world) nameNextWeights() {
	w.mu.Lock()
	last := w.named[w.weights]
	w.mu.Unlock()
	if time.Since(last) >= leastBetween {
		w.nameWeights()
	}
}

// within maps how long the fault lasts to a time between two others.
func (a *action) within(least, most time.Duration) time.Duration {
	return least + time.Duration(float64(a.For-shortFault)/float64(longFault-shortFault)*float64(most-least))
}

// injectWeakness has an engine be worse than it says of itself, without breaking anything off.
func (w *world) injectWeakness(a action, n *engine) {
	switch a.Fault {
	case faultRefuse:
		n.refuse(refuseFor)
		w.later(refuseFor, func() {})
	case faultSlow:
		n.slowDown(a.For)
		w.later(a.For, func() {})
	case faultFreeze:
		n.proxy.set(func(x *proxy) { x.silent = true })
		w.later(a.within(leastFreeze, mostFreeze), func() { n.proxy.set(func(x *proxy) { x.silent = false }) })
	}
}

// injectRestart ends an engine and starts it again under its id.
func (w *world) injectRestart(a action, n *engine) {
	n.replacing.Lock()
	w.harm(n.name(), 0)
	n.crash()
	w.later(restartAfter, func() {
		defer n.replacing.Unlock()
		n.startAgain(a.Fault == faultAgain)
		w.listEngine(n)
	})
}
