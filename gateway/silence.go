package gateway

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
)

const (
	// silenceTargetFactor times the route's target for the first event, or for the gap between events, is how long a
	// runner may be silent before the watchdog checks whether it is alive.
	silenceTargetFactor = 2
	// minSilence keeps a short target from hedging requests that are only slightly late.
	minSilence = 300 * time.Millisecond
	// livenessCheckInterval is the interval of further checks while the runner is alive. A slow runner has already done
	// work on the request that another would have to repeat.
	livenessCheckInterval = 50 * time.Millisecond
	// settleTime is how long the entry must have run without a stall before it considers a runner silent,
	// because data that arrived meanwhile has to be read first.
	settleTime = 50 * time.Millisecond
)

// firstByteTimeout returns how long a runner may take to start its answer before the watchdog checks whether it is
// alive.
func firstByteTimeout(r *deployment.Route) time.Duration {
	return max(silenceTargetFactor*r.TargetLatency, minSilence)
}

// watchdog hedges an attempt whose runner is silent for too long and not known to be alive.
type watchdog struct {
	// timeout is how long a gap between events may last before the watchdog checks the runner.
	timeout time.Duration
	// isAlive reports whether the runner is known to be alive. startHedge reports whether another attempt was started or
	// goes on.
	isAlive    func() bool
	startHedge func() bool

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// due is when the timer fires. settling is set if this ends the last part of the wait, which lasts settleTime.
	due      time.Time
	settling bool
}

// newWatchdog returns the watchdog of an attempt; it has yet to be started.
func (g *Gateway) newWatchdog(a *attempt) *watchdog {
	return &watchdog{
		timeout: max(silenceTargetFactor*a.exchange.route.TargetEventGap, minSilence),
		// While an event is being written, it is the caller that is slow and not the runner.
		isAlive:    func() bool { return a.writingToCaller.Load() || isAlive(a.target.runner) },
		startHedge: a.handleSilence,
	}
}

// isAlive reports whether the agent of the runner reports that the process to which the request was sent responds.
func isAlive(r *roster.Runner) bool {
	if hasLaterRun(r) {
		return false
	}
	v := r.View(time.Now())
	return v.ReportFresh && !v.Load.Unresponsive
}

// start starts the watchdog with the given timeout for the first data, after which the wait is reset to w.timeout.
func (w *watchdog) start(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = time.AfterFunc(timeout, w.handleTimer)
	w.setTimer(timeout)
}

// handleTimer checks the runner if the entry has run throughout the last part of the wait.
func (w *watchdog) handleTimer() {
	if w.waitsLonger(time.Now()) {
		return
	}
	w.check()
}

// waitsLonger reports whether the wait goes on because its last part has yet to pass, or because the entry may have
// stalled during it. In both cases it starts the last part.
func (w *watchdog) waitsLonger(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return true
	}
	if w.settling && now.Sub(w.due) < settleTime {
		return false
	}
	w.settling, w.due = true, now.Add(settleTime)
	w.timer.Reset(settleTime)
	return true
}

// check hedges the attempt if the runner is not alive. The next check comes later after a hedge, which may be refused,
// and soon otherwise.
func (w *watchdog) check() {
	if !w.isAlive() && w.startHedge() {
		w.resetTo(minSilence)
		return
	}
	w.resetTo(livenessCheckInterval)
}

// checkNow checks the runner without waiting any longer. It is called when the runner is known to have restarted, since
// a runner that restarts while the network is partitioned does not reset the connections of its callers.
func (w *watchdog) checkNow() { w.resetTo(0) }

// reset restarts the wait because the runner has sent data.
func (w *watchdog) reset() { w.resetTo(w.timeout) }

// resetTo restarts the wait with the given duration if the watchdog is running.
func (w *watchdog) resetTo(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.stopped {
		w.setTimer(d)
	}
}

// setTimer sets the end of the wait. w.mu must be held.
func (w *watchdog) setTimer(d time.Duration) {
	w.settling = d <= settleTime
	if !w.settling {
		d -= settleTime
	}
	w.due = time.Now().Add(d)
	w.timer.Reset(d)
}

// stop stops the watchdog for good, even during a check.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
