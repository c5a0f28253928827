package main

import (
	"syscall"
	"time"

	"github.com/rillreach/rillreach/internal/standin/site"
)

// inject injects one fault and schedules its end.
func (c *cluster) inject(a action) {
	e, p, n := c.entries[a.Target%len(c.entries)], c.plainRunners[a.Target%len(c.plainRunners)], c.engines[a.Target%len(c.engines)]
	switch a.Fault {
	case faultPause, faultKill, faultStop, faultReload, faultBadReload:
		c.injectEntry(a, e)
	case faultStopAll, faultAgentsStop:
		c.injectRollingRestart(a)
	case faultAgentPause, faultAgentKill, faultAgentStop, faultAgentStoreSilent:
		c.injectAgent(a, n.agent)
	case faultEngineCrash, faultEngineReset, faultDelayOrders:
		c.injectEngine(a, n)
	case faultCrash, faultLeave:
		c.injectRunner(a, p)
	case faultDelay, faultReset, faultSilence, faultHoldResponses:
		c.injectNetwork(a, p)
	case faultStoreDown, faultStoreSilent, faultStoreForget:
		c.injectStore(a, e)
	case faultRemoveKey, faultNewVersion, faultWeights:
		c.injectOperatorChange(a)
	case faultRollout:
		c.injectRollout(a)
	case faultFatal, faultFatalPart, faultEvacuate, faultRestore, faultRateLimit, faultRetryAfter, faultLeaveInResponses, faultReplaceSoftware, faultKillSeries, faultOverload, faultSpoil:
		c.injectDedicated(a, p, n)
	default:
		c.injectEngineOrStore(a, n)
	}
}

// injectDedicated injects one of the faults that only dedicated schedules contain.
func (c *cluster) injectDedicated(a action, p *plainRunner, n *engine) {
	switch a.Fault {
	case faultFatal:
		c.injectFatal(a)
	case faultFatalPart:
		c.injectFatalPart(a)
	case faultEvacuate:
		c.injectEvacuation(a)
	case faultRestore:
		c.injectRestore(a)
	case faultReplaceSoftware, faultKillSeries:
		c.injectVersions(a, p, n)
	case faultSpoil:
		c.injectSpoil(a, p, n)
	case faultOverload:
		c.events.overload(a.Duration)
		c.schedule(a.Duration, func() {})
	default:
		c.injectBackpressure(a, p, n)
	}
}

const (
	// agentPauseDuration is how long agents are paused in a rollout. It exceeds the time for which their engines' old
	// weights may still be used.
	agentPauseDuration = weightsWithin + time.Second
	// queueDelayAfter is the time in a rollout after which requests begin to queue at engines, and queueDelayDuration
	// is how long they do.
	queueDelayAfter    = 5 * time.Second
	queueDelayDuration = weightsWithin
)

// injectRollout publishes weights that no agent makes its engine load in time, while requests queue at the engines.
func (c *cluster) injectRollout(a action) {
	c.publishWeights()
	for _, n := range c.engines {
		c.pause(action{Duration: agentPauseDuration}, &n.agent.process)
		c.schedule(queueDelayAfter, func() { n.setQueueDelay(a.Duration) })
		c.schedule(queueDelayAfter+queueDelayDuration, func() { n.setQueueDelay(0) })
	}
}

// injectRollingRestart stops all entries or all agents shortly after one another, and restarts each once it has exited.
func (c *cluster) injectRollingRestart(a action) {
	var all []*process
	for _, e := range c.entries {
		all = append(all, &e.process)
	}
	if a.Fault == faultAgentsStop {
		all = nil
		for _, n := range c.engines {
			all = append(all, &n.agent.process)
		}
	}
	c.signalInSeries(a, all, syscall.SIGTERM)
}

// signalInSeries ends processes shortly after one another, and restarts each once it has exited.
func (c *cluster) signalInSeries(a action, all []*process, sig syscall.Signal) {
	for i, p := range all {
		c.schedule(time.Duration(i)*a.signalInterval(), func() { c.restart(p, sig) })
	}
}

// injectOperatorChange makes a change that an operator would make.
func (c *cluster) injectOperatorChange(a action) {
	switch a.Fault {
	case faultRemoveKey:
		c.removeKey(a.Target)
	case faultNewVersion:
		c.publishConfig()
	case faultWeights:
		c.publishWeights()
	}
}

func (c *cluster) injectEntry(a action, e *entry) {
	switch a.Fault {
	case faultPause:
		c.pause(a, &e.process)
	case faultKill:
		c.schedule(0, func() { c.restart(&e.process, syscall.SIGKILL) })
	case faultStop:
		c.schedule(0, func() { c.restart(&e.process, syscall.SIGTERM) })
	case faultReload:
		c.schedule(0, func() { c.reload(e, e.settings.TOML()) })
	case faultBadReload:
		c.schedule(0, func() { c.reload(e, "= =") })
		c.schedule(a.Duration, func() { c.reload(e, e.settings.TOML()) })
	}
}

func (c *cluster) pause(a action, p *process) {
	p.updateHistory(func(h *processHistory) {
		h.Outages = append(h.Outages, interval{From: time.Now(), To: time.Now().Add(a.Duration)})
	})
	p.signal(syscall.SIGSTOP)
	c.schedule(a.Duration, func() { p.signal(syscall.SIGCONT) })
}

func (c *cluster) injectAgent(a action, g *agent) {
	switch a.Fault {
	case faultAgentPause:
		c.pause(a, &g.process)
	case faultAgentKill:
		c.schedule(0, func() { c.restart(&g.process, syscall.SIGKILL) })
	case faultAgentStop:
		c.schedule(0, func() { c.restart(&g.process, syscall.SIGTERM) })
	case faultAgentStoreSilent:
		c.silenceStore(a, &g.process)
	}
}

// silenceStore makes the store silent for one process.
func (c *cluster) silenceStore(a action, p *process) {
	p.storeProxy.update(func(x *proxy) { x.silent = true })
	c.schedule(a.Duration, func() { p.storeProxy.update(func(x *proxy) { x.silent = false }) })
}

func (c *cluster) injectEngine(a action, n *engine) {
	switch a.Fault {
	case faultDelayOrders:
		n.delayOrders(a.Duration)
		c.schedule(a.Duration, func() {})
	case faultEngineReset:
		c.recordRunnerFault(n.name(), 0)
		n.proxy.reset()
		c.schedule(0, func() {})
	case faultEngineCrash:
		n.replaceMu.Lock()
		c.replaceEngine(n)
	}
}

// replaceEngine ends an engine's run and starts another under a new ID. The caller must hold n.replaceMu, which is
// released once the new run has started.
func (c *cluster) replaceEngine(n *engine) bool {
	old, weights := n.idAndWeights()
	c.crash(n)
	c.schedule(restartDelay, func() {
		defer n.replaceMu.Unlock()
		n.start(weights)
		c.registerEngine(n)
		c.store.Remove("servers", old)
	})
	return true
}

// publishWeights publishes the next version of the weights.
func (c *cluster) publishWeights() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.weightsVersion++
	c.store.Put("versions", site.Model, site.NewModelWeights(c.weightsVersion))
	c.weightsPublished[c.weightsVersion] = time.Now()
}

func (c *cluster) restart(p *process, sig syscall.Signal) {
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	p.terminate(sig)
	time.Sleep(restartDelay)
	p.settingsMu.Lock()
	defer p.settingsMu.Unlock()
	begun := time.Now()
	if err := p.write(p.settings.TOML()); err != nil {
		c.report("settings not written: %v", err)
	}
	if err := p.start(); err != nil {
		c.report("%s not started: %v", p.settings.Name, err)
	}
	if took := time.Since(begun); took > slowStartThreshold {
		c.report("the machine took %s to start %s", took, p.settings.Name)
	}
}

// slowStartThreshold is the time for writing the settings and starting a process above which it is reported. This helps
// to explain violations of guarantees with a time limit.
const slowStartThreshold = time.Second

// reload changes the settings of a running entry. It does not write invalid settings while the entry is starting, since
// the entry would rightly exit.
func (c *cluster) reload(e *entry, text string) {
	e.settingsMu.Lock()
	defer e.settingsMu.Unlock()
	if h := e.historySnapshot(); text != e.settings.TOML() && h.Lifetimes[len(h.Lifetimes)-1].Ready.IsZero() {
		return
	}
	if err := e.write(text); err != nil {
		c.report("settings not written: %v", err)
	}
	e.signal(syscall.SIGHUP)
}

func (c *cluster) injectRunner(a action, p *plainRunner) {
	p.replaceMu.Lock()
	if a.Fault == faultCrash {
		c.replaceRunner(p)
		return
	}
	old := p.id()
	c.register(p, old, "draining")
	c.recordLeaving(old)
	c.schedule(leaveDuration, func() {
		defer p.replaceMu.Unlock()
		c.crash(p)
		c.store.Remove("servers", old)
		c.register(p, p.start(), "ready")
	})
}

// replaceRunner ends a runner and starts another under a new ID. The caller must hold p.replaceMu, which is released
// once the new runner has started.
func (c *cluster) replaceRunner(p *plainRunner) bool {
	old := p.id()
	c.crash(p)
	c.schedule(restartDelay, func() {
		defer p.replaceMu.Unlock()
		c.register(p, p.start(), "ready")
		c.store.Remove("servers", old)
	})
	return true
}

// run is the current run of a plain runner or of an engine.
type run interface {
	name() string
	endRun()
	closeRun()
}

// crash ends a run. All executions of the run begin before the recorded time, and its connections break after it.
func (c *cluster) crash(r run) {
	r.endRun()
	c.recordRunnerFault(r.name(), 0)
	r.closeRun()
}

func (c *cluster) removeKey(which int) {
	key := c.keys()[1+which%keyCount]
	c.mu.Lock()
	_, gone := c.keysRemoved[key]
	if !gone {
		c.keysRemoved[key] = time.Now()
	}
	c.mu.Unlock()
	if gone {
		return
	}
	c.publishConfig()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keysRemoved[key] = time.Now()
}
