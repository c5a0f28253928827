package main

import "time"

const (
	// maxBurstWeights is the maximum number of weights versions in a burst. minWeightsInterval and maxWeightsInterval
	// bound the time between two of them.
	maxBurstWeights    = 5
	minWeightsInterval = 500 * time.Millisecond
	maxWeightsInterval = 2500 * time.Millisecond
	// minAgentPause is the minimum time for which agents are paused, so that several have orders to send when they
	// resume.
	minAgentPause = 2 * time.Second
	// refuseFor is how long an engine refuses requests, whatever its load report says.
	refuseFor = time.Second
	// minFreeze and maxFreeze bound how long an engine is frozen.
	minFreeze = 500 * time.Millisecond
	maxFreeze = 2 * time.Second
)

// injectEngineOrStore injects one of the faults of engines and of their records in the store.
func (c *cluster) injectEngineOrStore(a action, n *engine) {
	switch a.Fault {
	case faultWeightsBurst, faultConcurrentLoads:
		c.injectLoads(a)
	case faultEngineRefuse, faultEngineFreeze, faultEngineSlow:
		c.injectEngineDegradation(a, n)
	case faultRestartEngine, faultRestartEngineUnreported:
		c.injectRestart(a, n)
	case faultBadRecords, faultOverwrittenRecord:
		c.injectBadRecords(a, n)
	}
}

// injectLoads makes engines load weights while they serve requests.
func (c *cluster) injectLoads(a action) {
	switch a.Fault {
	case faultWeightsBurst:
		between := a.scaleDuration(minWeightsInterval, maxWeightsInterval)
		for i := range 2 + a.Target%(maxBurstWeights-1) {
			c.schedule(time.Duration(i)*between, c.publishNextWeights)
			c.schedule(time.Duration(i)*between+a.signalInterval(), c.publishConfig)
		}
	case faultConcurrentLoads:
		c.publishNextWeights()
		for _, n := range c.engines {
			c.pause(action{Duration: minAgentPause + a.Duration}, &n.agent.process)
		}
	}
}

// publishNextWeights publishes the next version of the weights, unless another was published less than
// minWeightsInterval ago. Overlapping bursts are therefore no faster than the fastest single one.
func (c *cluster) publishNextWeights() {
	c.mu.Lock()
	last := c.weightsPublished[c.weightsVersion]
	c.mu.Unlock()
	if time.Since(last) >= minWeightsInterval {
		c.publishWeights()
	}
}

// scaleDuration maps the fault's duration linearly to the range between minimum and maximum.
func (a *action) scaleDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(float64(a.Duration-shortFault)/float64(longFault-shortFault)*float64(maximum-minimum))
}

// injectEngineDegradation makes an engine perform worse than it reports, without breaking connections.
func (c *cluster) injectEngineDegradation(a action, n *engine) {
	switch a.Fault {
	case faultEngineRefuse:
		n.startRefusing(refuseFor)
		c.schedule(refuseFor, func() {})
	case faultEngineSlow:
		n.slowFor(a.Duration)
		c.schedule(a.Duration, func() {})
	case faultEngineFreeze:
		c.recordSilence(n.name(), a.scaleDuration(minFreeze, maxFreeze))
		n.proxy.update(func(x *proxy) { x.silent = true })
		c.schedule(a.scaleDuration(minFreeze, maxFreeze), func() { n.proxy.update(func(x *proxy) { x.silent = false }) })
	}
}

// injectRestart ends an engine and restarts it with the same ID.
func (c *cluster) injectRestart(a action, n *engine) {
	n.replaceMu.Lock()
	c.crash(n)
	c.schedule(restartDelay, func() {
		defer n.replaceMu.Unlock()
		n.restart(a.Fault == faultRestartEngine)
		c.registerEngine(n)
	})
}
