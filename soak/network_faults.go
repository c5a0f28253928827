package main

import (
	"net/http"
	"time"
)

// injectLink harms the connections to a runner.
func (w *world) injectLink(a action, p *place) {
	w.harm(p.name(), a.For)
	if a.Fault == faultReset {
		w.harm(p.name(), 0)
		p.proxy.reset()
		w.later(0, func() {})
		return
	}
	w.disturbAll(a.For) // a runner that is out of reach makes no entry late by its own fault
	set := func(on bool) func(x *proxy) {
		return func(x *proxy) {
			switch a.Fault {
			case faultDelay:
				x.delay = 0
				if on {
					x.delay = a.For / 20
				}
			case faultSilence:
				x.silent = on
			case faultOneWay:
				x.oneWay = on
			}
		}
	}
	p.proxy.set(set(true))
	w.later(a.For, func() { p.proxy.set(set(false)) })
}

// injectStore has the object store refuse, forget its history, or be silent for one entry.
func (w *world) injectStore(a action, e *entry) {
	switch a.Fault {
	case faultForget:
		w.store.DropHistory()
	case faultStoreDown:
		w.disturbAll(a.For)
		for _, one := range w.entries {
			w.cutOff(one, a.For)
		}
		w.store.FailWithStatus(http.StatusServiceUnavailable)
		w.later(a.For, func() { w.store.FailWithStatus(0) })
	case faultStoreMute:
		w.disturb(e, a.For)
		w.cutOff(e, a.For)
		w.mute(a, &e.process)
	}
}

// disturbAll notes that every entry is under a fault for a time.
func (w *world) disturbAll(d time.Duration) {
	for _, e := range w.entries {
		w.disturb(e, d)
	}
}
