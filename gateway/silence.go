package gateway

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
)

const (
	// silenceTargetFactor times what callers expect, of the first event or of a pause, is how long a request that another runner may
	// begin on waits for its runner before it is asked whether that lives.
	silenceTargetFactor = 2
	// minSilence keeps a short target from moving requests that are merely a little late.
	minSilence = 300 * time.Millisecond
	// livenessCheckInterval is how often it is asked then, since a runner that lives and is slow has the request's work behind it that
	// another would begin anew.
	livenessCheckInterval = 50 * time.Millisecond
	// settleTime is how long the entry has to have run without standing still before it takes a runner for silent: what the runner said meanwhile
	// has to be read first.
	settleTime = 50 * time.Millisecond
)

// firstByteTimeout is how long a runner may take for its first word before it is asked whether it lives.
func firstByteTimeout(r *deployment.Route) time.Duration {
	return max(silenceTargetFactor*r.TargetLatency, minSilence)
}

// watchdog has another runner asked beside one that says nothing for too long and is not known to live.
type watchdog struct {
	// timeout is how long a pause may be before it is asked whether the runner lives.
	timeout time.Duration
	// isAlive says whether the runner is known to live; hedge has another one asked, and reports whether there is one.
	isAlive    func() bool
	startHedge func() bool

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// due is when the timer fires, and settling says that this ends the last part of the wait.
	due      time.Time
	settling bool
}

// newWatchdog prepares the wait for the words of the attempt's runner.
func (g *Gateway) newWatchdog(a *attempt) *watchdog {
	return &watchdog{
		timeout: max(silenceTargetFactor*a.exchange.route.TargetEventGap, minSilence),
		// While an event is being written to the caller it is the caller who is slow, and not the runner.
		isAlive:    func() bool { return a.writingToCaller.Load() || isAlive(a.target.runner) },
		startHedge: func() bool { return a.startHedge(hedgeSilent) },
	}
}

// isAlive reports that a runner's agent speaks, and says that the run that the request went to answers.
func isAlive(r *roster.Runner) bool {
	if isOver(r) {
		return false
	}
	v := r.View(time.Now())
	return v.ReportFresh && !v.Load.Unresponsive
}

// start begins to wait for the runner's first word.
func (b *watchdog) start(first time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return
	}
	if b.timer != nil {
		b.timer.Stop()
	}
	b.timer = time.AfterFunc(first, b.handleTimer)
	b.setTimer(first)
}

// handleTimer asks about the runner once a wait has passed through whose last part the entry has run.
func (b *watchdog) handleTimer() {
	if b.waitsLonger(time.Now()) {
		return
	}
	b.check()
}

// waitsLonger reports that the wait goes on, since the entry hasn't run for its last part or may have stood still in it.
func (b *watchdog) waitsLonger(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return true
	}
	if b.settling && now.Sub(b.due) < settleTime {
		return false
	}
	b.settling, b.due = true, now.Add(settleTime)
	b.timer.Reset(settleTime)
	return true
}

// check has another runner asked where there is one, and looks again later, since that may refuse, or soon: the runner may only be slow.
func (b *watchdog) check() {
	if !b.isAlive() && b.startHedge() {
		b.resetTo(minSilence)
		return
	}
	b.resetTo(livenessCheckInterval)
}

// checkNow asks without waiting any longer, since a later run is known to have taken the place of the one that was asked: a runner that
// starts again behind a cut does not reset its callers' connections.
func (b *watchdog) checkNow() { b.resetTo(0) }

// reset records that the runner has said something, and waits for the next.
func (b *watchdog) reset() { b.resetTo(b.timeout) }

func (b *watchdog) resetTo(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.timer != nil && !b.stopped {
		b.setTimer(d)
	}
}

// setTimer has the wait end after the given time; the lock is held.
func (b *watchdog) setTimer(d time.Duration) {
	b.settling = d <= settleTime
	if !b.settling {
		d -= settleTime
	}
	b.due = time.Now().Add(d)
	b.timer.Reset(d)
}

// stop lifts the bound for good, also where it is just being asked.
func (b *watchdog) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	if b.timer != nil {
		b.timer.Stop()
	}
}
