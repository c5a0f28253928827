package main

import (
	"net/http"
	"time"
)

// injectNetwork harms the connections to a runner.
func (w *cluster) injectNetwork(a action, p *runnerSlot) {
	w.recordRunnerFault(p.name(), a.Duration)
	if a.Fault == faultReset {
		w.recordRunnerFault(p.name(), 0)
		p.proxy.reset()
		w.schedule(0, func() {})
		return
	}
	w.recordDisturbanceForAll(a.Duration) // a runner that is out of reach makes no entry late by its own fault
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
			case faultDropResponses:
				x.dropsResponses = on
			}
		}
	}
	p.proxy.update(set(true))
	w.schedule(a.Duration, func() { p.proxy.update(set(false)) })
}

// injectStore has the object store refuse, forget its history, or be silent for one entry.
func (w *cluster) injectStore(a action, e *entry) {
	switch a.Fault {
	case faultStoreForget:
		w.store.Forget()
	case faultStoreDown:
		w.recordDisturbanceForAll(a.Duration)
		for _, one := range w.entries {
			w.recordStoreOutage(one, a.Duration)
		}
		w.store.Fail(http.StatusServiceUnavailable)
		w.schedule(a.Duration, func() { w.store.Fail(0) })
	case faultStoreSilent:
		w.recordDisturbance(e, a.Duration)
		w.recordStoreOutage(e, a.Duration)
		w.silenceStore(a, &e.process)
	}
}

// recordDisturbanceForAll notes that every entry is under a fault for a time.
func (w *cluster) recordDisturbanceForAll(d time.Duration) {
	for _, e := range w.entries {
		w.recordDisturbance(e, d)
	}
}
