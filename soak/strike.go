package main

import (
	"net/http"
	"syscall"
	"time"
)

// strike does one fault, and sees to it that it ends.
func (w *world) strike(a action) {
	e, p := w.entries[a.Which%len(w.entries)], w.places[a.Which%len(w.places)]
	switch a.Fault {
	case faultPause, faultKill, faultStop, faultBadReload:
		w.strikeEntry(a, e)
	case faultCrash, faultLeave:
		w.strikeRunner(a, p)
	case faultDelay, faultReset, faultSilence, faultOneWay:
		w.strikeLink(a, p)
	case faultStoreDown, faultStoreMute, faultForget:
		w.strikeStore(a, e)
	case faultRemoveKey:
		w.removeKey(a.Which)
	case faultNewVersion:
		w.configure()
	}
}

func (w *world) strikeEntry(a action, e *entry) {
	switch a.Fault {
	case faultPause:
		w.disturb(e, a.For)
		e.signal(syscall.SIGSTOP)
		w.later(a.For, func() { e.signal(syscall.SIGCONT) })
	case faultKill, faultStop:
		sig := syscall.SIGKILL
		if a.Fault == faultStop {
			sig = syscall.SIGTERM
		}
		w.disturb(e, 10*time.Second)
		w.later(0, func() { w.restart(e, sig) })
	case faultBadReload:
		w.later(0, func() { w.reload(e, "= =") })
		w.later(a.For, func() { w.reload(e, e.good()) })
	}
}

func (w *world) restart(e *entry, sig syscall.Signal) {
	e.restarts.Lock()
	defer e.restarts.Unlock()
	e.end(sig)
	time.Sleep(restartAfter)
	if err := e.write(e.good()); err != nil {
		w.report("settings not written: %v", err)
	}
	if err := e.start(); err != nil {
		w.report("entry %d not started: %v", e.number, err)
	}
}

func (w *world) reload(e *entry, text string) {
	if err := e.write(text); err != nil {
		w.report("settings not written: %v", err)
	}
	e.signal(syscall.SIGHUP)
}

func (w *world) strikeRunner(a action, p *place) {
	p.strikes.Lock()
	old := p.id()
	if a.Fault == faultCrash {
		p.crash()
		w.later(restartAfter, func() {
			defer p.strikes.Unlock()
			w.list(p, p.start(), "ready")
			w.store.Remove("servers", old)
		})
		return
	}
	w.list(p, old, "draining")
	w.mu.Lock()
	w.left[old] = time.Now()
	w.mu.Unlock()
	w.later(gracePause, func() {
		defer p.strikes.Unlock()
		p.crash()
		w.store.Remove("servers", old)
		w.list(p, p.start(), "ready")
	})
}

func (w *world) strikeLink(a action, p *place) {
	if a.Fault == faultReset {
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

func (w *world) strikeStore(a action, e *entry) {
	switch a.Fault {
	case faultForget:
		w.store.Forget()
	case faultStoreDown:
		w.disturbAll(a.For)
		w.store.Fail(http.StatusServiceUnavailable)
		w.later(a.For, func() { w.store.Fail(0) })
	case faultStoreMute:
		w.disturb(e, a.For)
		e.store.set(func(x *proxy) { x.silent = true })
		w.later(a.For, func() { e.store.set(func(x *proxy) { x.silent = false }) })
	}
}

func (w *world) disturbAll(d time.Duration) {
	for _, e := range w.entries {
		w.disturb(e, d)
	}
}

func (w *world) removeKey(which int) {
	key := w.keys()[1+which%keyCount]
	w.mu.Lock()
	_, gone := w.removed[key]
	if !gone {
		w.removed[key] = time.Now()
	}
	w.mu.Unlock()
	if gone {
		return
	}
	w.configure()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removed[key] = time.Now()
}
