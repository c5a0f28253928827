package main

import (
	"syscall"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// inject does one fault, and sees to it that it ends.
func (w *cluster) inject(a action) {
	e, p, n := w.entries[a.Target%len(w.entries)], w.runnerSlots[a.Target%len(w.runnerSlots)], w.engines[a.Target%len(w.engines)]
	switch a.Fault {
	case faultPause, faultKill, faultStop, faultReload, faultBadReload:
		w.injectEntry(a, e)
	case faultStopAll, faultAgentsStop:
		w.injectRollingRestart(a)
	case faultAgentPause, faultAgentKill, faultAgentStop, faultAgentStoreSilent:
		w.injectAgent(a, n.agent)
	case faultEngineCrash, faultEngineReset, faultDelayOrders:
		w.injectEngine(a, n)
	case faultCrash, faultLeave:
		w.injectRunner(a, p)
	case faultDelay, faultReset, faultSilence, faultDropResponses:
		w.injectNetwork(a, p)
	case faultStoreDown, faultStoreSilent, faultStoreForget:
		w.injectStore(a, e)
	case faultRemoveKey, faultNewVersion, faultWeights:
		w.injectOperatorChange(a)
	case faultRollout:
		w.injectRollout(a)
	case faultFatal, faultEvacuate, faultRestore, faultRateLimit, faultRetryAfter, faultLeaveInResponses:
		w.injectDedicated(a, p, n)
	default:
		w.injectEngineOrStore(a, n)
	}
}

// injectDedicated does one of the faults that are drawn by themselves.
func (w *cluster) injectDedicated(a action, p *runnerSlot, n *engine) {
	switch a.Fault {
	case faultFatal:
		w.injectFatal(a)
	case faultEvacuate:
		w.injectEvacuation(a)
	case faultRestore:
		w.injectRestore(a)
	default:
		w.injectBackpressure(a, p, n)
	}
}

const (
	// agentPauseDuration is how long agents stand still in a rollout: until their engines' old weights may be used no longer.
	agentPauseDuration = weightsWithin + time.Second
	// queueDelayAfter and queueFor are when in a rollout requests begin to wait at engines, and for how long.
	queueDelayAfter    = 5 * time.Second
	queueDelayDuration = weightsWithin
)

// injectRollout names weights which no agent has its engine load in time, while requests wait at the engines.
func (w *cluster) injectRollout(a action) {
	w.publishWeights()
	for _, n := range w.engines {
		w.pause(action{Duration: agentPauseDuration}, &n.agent.process)
		w.schedule(queueDelayAfter, func() { n.setQueueDelay(a.Duration) })
		w.schedule(queueDelayAfter+queueDelayDuration, func() { n.setQueueDelay(0) })
	}
}

// injectRollingRestart stops all entries or all agents, one soon after another, and starts each again when it has ended.
func (w *cluster) injectRollingRestart(a action) {
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
		w.schedule(time.Duration(i)*a.signalInterval(), func() { w.restart(p, syscall.SIGTERM) })
	}
}

// injectOperatorChange changes what the operator writes.
func (w *cluster) injectOperatorChange(a action) {
	switch a.Fault {
	case faultRemoveKey:
		w.removeKey(a.Target)
	case faultNewVersion:
		w.publishConfig()
	case faultWeights:
		w.publishWeights()
	}
}

func (w *cluster) injectEntry(a action, e *entry) {
	switch a.Fault {
	case faultPause:
		w.pause(a, &e.process)
	case faultKill:
		w.schedule(0, func() { w.restart(&e.process, syscall.SIGKILL) })
	case faultStop:
		w.schedule(0, func() { w.restart(&e.process, syscall.SIGTERM) })
	case faultReload:
		w.schedule(0, func() { w.reload(e, e.settings.Text()) })
	case faultBadReload:
		w.schedule(0, func() { w.reload(e, "= =") })
		w.schedule(a.Duration, func() { w.reload(e, e.settings.Text()) })
	}
}

func (w *cluster) pause(a action, p *process) {
	p.updateHistory(func(h *processHistory) {
		h.Outages = append(h.Outages, interval{From: time.Now(), To: time.Now().Add(a.Duration)})
	})
	p.signal(syscall.SIGSTOP)
	w.schedule(a.Duration, func() { p.signal(syscall.SIGCONT) })
}

func (w *cluster) injectAgent(a action, g *agent) {
	switch a.Fault {
	case faultAgentPause:
		w.pause(a, &g.process)
	case faultAgentKill:
		w.schedule(0, func() { w.restart(&g.process, syscall.SIGKILL) })
	case faultAgentStop:
		w.schedule(0, func() { w.restart(&g.process, syscall.SIGTERM) })
	case faultAgentStoreSilent:
		w.silenceStore(a, &g.process)
	}
}

// silenceStore has the store be silent for one process.
func (w *cluster) silenceStore(a action, p *process) {
	p.storeProxy.update(func(x *proxy) { x.silent = true })
	w.schedule(a.Duration, func() { p.storeProxy.update(func(x *proxy) { x.silent = false }) })
}

func (w *cluster) injectEngine(a action, n *engine) {
	switch a.Fault {
	case faultDelayOrders:
		n.delayOrders(a.Duration)
		w.schedule(a.Duration, func() {})
	case faultEngineReset:
		w.recordRunnerFault(n.name(), 0)
		n.proxy.reset()
		w.schedule(0, func() {})
	case faultEngineCrash:
		n.replaceMu.Lock()
		w.replaceEngine(n)
	}
}

// replaceEngine ends an engine's run and starts another under a new id; n.replacing is held, and given back once that is done.
func (w *cluster) replaceEngine(n *engine) bool {
	old, weights := n.idAndWeights()
	w.recordRunnerFault(n.name(), 0)
	n.crash()
	w.schedule(restartDelay, func() {
		defer n.replaceMu.Unlock()
		n.start(weights)
		w.registerEngine(n)
		w.store.Remove("servers", old)
	})
	return true
}

// publishWeights names the next version of the weights.
func (w *cluster) publishWeights() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.weightsVersion++
	w.store.Put("versions", site.Model, site.WeightsOf(w.weightsVersion))
	w.weightsPublished[w.weightsVersion] = time.Now()
}

func (w *cluster) restart(p *process, sig syscall.Signal) {
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	p.terminate(sig)
	time.Sleep(restartDelay)
	p.settingsMu.Lock()
	defer p.settingsMu.Unlock()
	begun := time.Now()
	if err := p.write(p.settings.Text()); err != nil {
		w.report("settings not written: %v", err)
	}
	if err := p.start(); err != nil {
		w.report("%s not started: %v", p.settings.Name, err)
	}
	if took := time.Since(begun); took > slowStartThreshold {
		w.report("the machine took %s to start %s", took, p.settings.Name)
	}
}

// slowStartThreshold is how long writing the settings and starting a process may take before it is reported, for whoever traces a
// promise that is bound in time.
const slowStartThreshold = time.Second

// reload changes the settings of an entry that runs, since one that starts with broken ones rightly ends.
func (w *cluster) reload(e *entry, text string) {
	e.settingsMu.Lock()
	defer e.settingsMu.Unlock()
	if h := e.historySnapshot(); text != e.settings.Text() && h.Lifetimes[len(h.Lifetimes)-1].Ready.IsZero() {
		return
	}
	if err := e.write(text); err != nil {
		w.report("settings not written: %v", err)
	}
	e.signal(syscall.SIGHUP)
}

func (w *cluster) injectRunner(a action, p *runnerSlot) {
	p.replaceMu.Lock()
	if a.Fault == faultCrash {
		w.replaceRunner(p)
		return
	}
	old := p.id()
	w.register(p, old, "draining")
	w.mu.Lock()
	w.leavingSince[old] = time.Now()
	w.mu.Unlock()
	w.schedule(leaveDuration, func() {
		defer p.replaceMu.Unlock()
		w.recordRunnerFault(p.name(), 0)
		p.crash()
		w.store.Remove("servers", old)
		w.register(p, p.start(), "ready")
	})
}

// replaceRunner ends a runner and starts another under a new id; p.replacing is held, and given back once that is done.
func (w *cluster) replaceRunner(p *runnerSlot) bool {
	old := p.id()
	w.recordRunnerFault(p.name(), 0)
	p.crash()
	w.schedule(restartDelay, func() {
		defer p.replaceMu.Unlock()
		w.register(p, p.start(), "ready")
		w.store.Remove("servers", old)
	})
	return true
}

func (w *cluster) removeKey(which int) {
	key := w.keys()[1+which%keyCount]
	w.mu.Lock()
	_, gone := w.keysRemoved[key]
	if !gone {
		w.keysRemoved[key] = time.Now()
	}
	w.mu.Unlock()
	if gone {
		return
	}
	w.publishConfig()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keysRemoved[key] = time.Now()
}
