package main

import "time"

const (
	// maxBurstWeights is how many names come at the most in quick succession; leastBetween and mostBetween bound the time between them.
	maxBurstWeights    = 5
	minWeightsInterval = 500 * time.Millisecond
	maxWeightsInterval = 2500 * time.Millisecond
	// minAgentPause is how long agents stand still at the least, so that several have orders to give when they go on.
	minAgentPause = 2 * time.Second
	// refuseFor is how long an engine refuses whatever its report says.
	refuseFor = time.Second
	// minFreeze and mostFreeze bound how long an engine stands still.
	minFreeze = 500 * time.Millisecond
	maxFreeze = 2 * time.Second
)

// injectEngineOrStore does one fault of those drawn for engines and for their entries in the store.
func (w *cluster) injectEngineOrStore(a action, n *engine) {
	switch a.Fault {
	case faultWeightsBurst, faultConcurrentLoads:
		w.injectLoads(a)
	case faultEngineRefuse, faultEngineFreeze, faultEngineSlow:
		w.injectEngineDegradation(a, n)
	case faultRestartEngine, faultRestartEngineUnreported:
		w.injectRestart(a, n)
	case faultBadRecords, faultOverwrittenRecord:
		w.injectBadRecords(a, n)
	}
}

// injectLoads has engines load under the requests that they answer.
func (w *cluster) injectLoads(a action) {
	switch a.Fault {
	case faultWeightsBurst:
		between := a.scaleDuration(minWeightsInterval, maxWeightsInterval)
		for i := range 2 + a.Target%(maxBurstWeights-1) {
			w.schedule(time.Duration(i)*between, w.publishNextWeights)
			w.schedule(time.Duration(i)*between+a.signalInterval(), w.publishConfig)
		}
	case faultConcurrentLoads:
		w.publishNextWeights()
		for _, n := range w.engines {
			w.pause(action{Duration: minAgentPause + a.Duration}, &n.agent.process)
		}
	}
}

// publishNextWeights names the next version, unless one was just named: overlapping series are no faster than one is at the most.
func (w *cluster) publishNextWeights() {
	w.mu.Lock()
	last := w.weightsPublished[w.weightsVersion]
	w.mu.Unlock()
	if time.Since(last) >= minWeightsInterval {
		w.publishWeights()
	}
}

// scaleDuration maps how long the fault lasts to a time between two others.
func (a *action) scaleDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(float64(a.Duration-shortFault)/float64(longFault-shortFault)*float64(most-least))
}

// injectEngineDegradation has an engine be worse than it says of itself, without breaking anything off.
func (w *cluster) injectEngineDegradation(a action, n *engine) {
	switch a.Fault {
	case faultEngineRefuse:
		n.startRefusing(refuseFor)
		w.schedule(refuseFor, func() {})
	case faultEngineSlow:
		n.slowFor(a.Duration)
		w.schedule(a.Duration, func() {})
	case faultEngineFreeze:
		n.proxy.update(func(x *proxy) { x.silent = true })
		w.schedule(a.scaleDuration(minFreeze, maxFreeze), func() { n.proxy.update(func(x *proxy) { x.silent = false }) })
	}
}

// injectRestart ends an engine and starts it again under its id.
func (w *cluster) injectRestart(a action, n *engine) {
	n.replaceMu.Lock()
	w.recordRunnerFault(n.name(), 0)
	n.crash()
	w.schedule(restartDelay, func() {
		defer n.replaceMu.Unlock()
		n.restart(a.Fault == faultRestartEngine)
		w.registerEngine(n)
	})
}
