package main

import (
	"net/http"
	"time"
)

// injectNetwork disrupts the connections to a runner.
func (c *cluster) injectNetwork(a action, p *plainRunner) {
	c.recordRunnerFault(p.name(), a.Duration)
	c.recordSilence(p.name(), a.Duration)
	if a.Fault == faultReset {
		c.recordRunnerFault(p.name(), 0)
		p.proxy.reset()
		c.schedule(0, func() {})
		return
	}
	c.recordDisturbanceForAll(a.Duration) // entries may be late if a runner is unreachable
	set := func(on bool) func(x *proxy) {
		return func(x *proxy) {
			switch a.Fault {
			case faultDelay:
				x.delay = 0
				if on {
					x.delay = a.Duration / 20
				}
			case faultSilence:
				x.silent = on
			case faultHoldResponses:
				x.holdsResponses = on
			}
		}
	}
	p.proxy.update(set(true))
	c.schedule(a.Duration, func() { p.proxy.update(set(false)) })
}

// injectStore makes the object store unavailable, drop its history, or stay silent for one entry.
func (c *cluster) injectStore(a action, e *entry) {
	switch a.Fault {
	case faultStoreForget:
		c.store.DropHistory()
	case faultStoreDown:
		c.recordDisturbanceForAll(a.Duration)
		for _, each := range c.entries {
			c.recordStoreOutage(each, a.Duration)
		}
		c.store.FailWithStatus(http.StatusServiceUnavailable)
		c.schedule(a.Duration, func() { c.store.FailWithStatus(0) })
	case faultStoreSilent:
		c.recordDisturbance(e, a.Duration)
		c.recordStoreOutage(e, a.Duration)
		c.silenceStore(a, &e.process)
	}
}

// recordDisturbanceForAll records that every entry is under a fault for the given time.
func (c *cluster) recordDisturbanceForAll(d time.Duration) {
	for _, e := range c.entries {
		c.recordDisturbance(e, d)
	}
}
