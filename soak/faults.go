package main

import (
	"syscall"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// inject does one fault, and sees to it that it ends.
func (w *world) inject(a action) {
	e, p, n := w.entries[a.Which%len(w.entries)], w.places[a.Which%len(w.places)], w.engines[a.Which%len(w.engines)]
	switch a.Fault {
	case faultPause, faultKill, faultStop, faultReload, faultBadReload:
		w.injectEntry(a, e)
	case faultStopAll, faultAgentsStop:
		w.injectSeries(a)
	case faultAgentPause, faultAgentKill, faultAgentStop, faultAgentMute:
		w.injectAgent(a, n.agent)
	case faultEngine, faultEngineLink, faultLoseOrders:
		w.injectEngine(a, n)
	case faultCrash, faultLeave:
		w.injectRunner(a, p)
	case faultDelay, faultReset, faultSilence, faultOneWay:
		w.injectLink(a, p)
	case faultStoreDown, faultStoreMute, faultForget:
		w.injectStore(a, e)
	case faultRemoveKey, faultNewVersion, faultWeights:
		w.operate(a)
	case faultRollout:
		w.injectRollout(a)
	case faultFatal, faultEvacuate, faultRestore, faultLimit, faultRest, faultLeaveUntold:
		w.injectSeparate(a, p, n)
	default:
		w.injectAtEngine(a, n)
	}
}

// injectSeparate does one of the faults that are drawn by themselves.
func (w *world) injectSeparate(a action, p *place, n *engine) {
	switch a.Fault {
	case faultFatal:
		w.injectFatal(a)
	case faultEvacuate:
		w.injectEvacuation(a)
	case faultRestore:
		w.injectRestore(a)
	default:
		w.injectPressure(a, p, n)
	}
}

const (
	// agentsAway is how long agents stand still in a rollout: until their engines' old weights may be used no longer.
	agentsAway = weightsWithin + time.Second
	// queueFrom and queueFor are when in a rollout requests begin to wait at engines, and for how long.
	queueFrom = 5 * time.Second
	queueFor  = weightsWithin
)

// injectRollout names weights which no agent has its engine load in time, while requests wait at the engines.
func (w *world) injectRollout(a action) {
	w.nameWeights()
	for _, n := range w.engines {
		w.pause(action{For: agentsAway}, &n.agent.process)
		w.later(queueFrom, func() { n.setQueue(a.For) })
		w.later(queueFrom+queueFor, func() { n.setQueue(0) })
	}
}

// injectSeries stops all entries or all agents, one soon after another, and starts each again when it has ended.
func (w *world) injectSeries(a action) {
	var all []*process
	for _, e := range w.entries {
		all = append(all, &e.process)
	}
	if a.Fault == faultAgentsStop {
		all = nil
		for _, n := range w.engines {
			all = append(all, &n.agent.process)
		}
	}
	for i, p := range all {
		w.later(time.Duration(i)*a.gap(), func() { w.restart(p, syscall.SIGTERM) })
	}
}

// operate changes what the operator writes.
func (w *world) operate(a action) {
	switch a.Fault {
	case faultRemoveKey:
		w.removeKey(a.Which)
	case faultNewVersion:
		w.configure()
	case faultWeights:
		w.nameWeights()
	}
}

func (w *world) injectEntry(a action, e *entry) {
	switch a.Fault {
	case faultPause:
		w.pause(a, &e.process)
	case faultKill:
		w.later(0, func() { w.restart(&e.process, syscall.SIGKILL) })
	case faultStop:
		w.later(0, func() { w.restart(&e.process, syscall.SIGTERM) })
	case faultReload:
		w.later(0, func() { w.reload(e, e.settings.TOML()) })
	case faultBadReload:
		w.later(0, func() { w.reload(e, "= =") })
		w.later(a.For, func() { w.reload(e, e.settings.TOML()) })
	}
}

func (w *world) pause(a action, p *process) {
	p.change(func(h *history) { h.Outages = append(h.Outages, span{From: time.Now(), To: time.Now().Add(a.For)}) })
	p.signal(syscall.SIGSTOP)
	w.later(a.For, func() { p.signal(syscall.SIGCONT) })
}

func (w *world) injectAgent(a action, g *agent) {
	switch a.Fault {
	case faultAgentPause:
		w.pause(a, &g.process)
	case faultAgentKill:
		w.later(0, func() { w.restart(&g.process, syscall.SIGKILL) })
	case faultAgentStop:
		w.later(0, func() { w.restart(&g.process, syscall.SIGTERM) })
	case faultAgentMute:
		w.mute(a, &g.process)
	}
}

// mute has the store be silent for one process.
func (w *world) mute(a action, p *process) {
	p.store.set(func(x *proxy) { x.silent = true })
	w.later(a.For, func() { p.store.set(func(x *proxy) { x.silent = false }) })
}

func (w *world) injectEngine(a action, n *engine) {
	switch a.Fault {
	case faultLoseOrders:
		n.lose(a.For)
		w.later(a.For, func() {})
	case faultEngineLink:
		w.harm(n.name(), 0)
		n.proxy.reset()
		w.later(0, func() {})
	case faultEngine:
		n.replacing.Lock()
		w.replaceEngine(n)
	}
}

// replaceEngine ends an engine's run and starts another under a new id; n.replacing is held, and given back once that is done.
func (w *world) replaceEngine(n *engine) bool {
	old, weights := n.run()
	w.harm(n.name(), 0)
	n.crash()
	w.later(restartAfter, func() {
		defer n.replacing.Unlock()
		n.start(weights)
		w.listEngine(n)
		w.store.Remove("servers", old)
	})
	return true
}

// nameWeights names the next version of the weights.
func (w *world) nameWeights() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.weights++
	w.store.Put("versions", site.Model, site.NewModelWeights(w.weights))
	w.named[w.weights] = time.Now()
}

func (w *world) restart(p *process, sig syscall.Signal) {
	p.restarts.Lock()
	defer p.restarts.Unlock()
	p.end(sig)
	time.Sleep(restartAfter)
	p.files.Lock()
	defer p.files.Unlock()
	begun := time.Now()
	if err := p.write(p.settings.TOML()); err != nil {
		w.report("settings not written: %v", err)
	}
	if err := p.start(); err != nil {
		w.report("%s not started: %v", p.settings.Name, err)
	}
	if took := time.Since(begun); took > slowStart {
		w.report("the machine took %s to start %s", took, p.settings.Name)
	}
}

// slowStart is how long writing the settings and starting a process may take before it is reported, for whoever traces a
// promise that is bound in time.
const slowStart = time.Second

// reload changes the settings of an entry that runs, since one that starts with broken ones rightly ends.
func (w *world) reload(e *entry, text string) {
	e.files.Lock()
	defer e.files.Unlock()
	if h := e.past(); text != e.settings.TOML() && h.Lives[len(h.Lives)-1].Ready.IsZero() {
		return
	}
	if err := e.write(text); err != nil {
		w.report("settings not written: %v", err)
	}
	e.signal(syscall.SIGHUP)
}

func (w *world) injectRunner(a action, p *place) {
	p.replacing.Lock()
	if a.Fault == faultCrash {
		w.replacePlace(p)
		return
	}
	old := p.id()
	w.list(p, old, "draining")
	w.mu.Lock()
	w.left[old] = time.Now()
	w.mu.Unlock()
	w.later(gracePause, func() {
		defer p.replacing.Unlock()
		w.harm(p.name(), 0)
		p.crash()
		w.store.Remove("servers", old)
		w.list(p, p.start(), "ready")
	})
}

// replacePlace ends a runner and starts another under a new id; p.replacing is held, and given back once that is done.
func (w *world) replacePlace(p *place) bool {
	old := p.id()
	w.harm(p.name(), 0)
	p.crash()
	w.later(restartAfter, func() {
		defer p.replacing.Unlock()
		w.list(p, p.start(), "ready")
		w.store.Remove("servers", old)
	})
	return true
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
