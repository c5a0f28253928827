package gateway

import (
	"sync"
	"time"

	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
)

const (
	// silenceTargets times what callers expect, of the first event or of a pause, is how long a request that another runner may
	// begin on waits for its runner before it is asked whether that lives.
	silenceTargets = 2
	// leastSilence keeps a short target from moving requests that are merely a little late.
	leastSilence = 300 * time.Millisecond
	// askEvery is how often it is asked then, since a runner that lives and is slow has the request's work behind it that
	// another would begin anew.
	askEvery = 50 * time.Millisecond
	// settleTime is how long the entry has to have run without standing still before it takes a runner for silent: what the runner said meanwhile
	// has to be read first.
	settleTime = 50 * time.Millisecond
)

// firstWordAfter is how long a runner may take for its first word before it is asked whether it lives.
func firstWordAfter(r *deployment.Route) time.Duration {
	return max(silenceTargets*r.TargetLatency, leastSilence)
}

// silenceBound has another runner asked beside one that says nothing for too long and is not known to live.
type silenceBound struct {
	// allowed is how long a pause may be before it is asked whether the runner lives.
	allowed time.Duration
	// lives says whether the runner is known to live; hedge has another one asked, and reports whether there is one.
	lives func() bool
	hedge func() bool

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// due is when the timer fires, and settling says that this ends the last part of the wait.
	due      time.Time
	settling bool
}

// boundSilence prepares the wait for the words of the attempt's runner.
func (g *Gateway) boundSilence(a *attempt) *silenceBound {
	return &silenceBound{
		allowed: max(silenceTargets*a.exchange.route.TargetEventGap, leastSilence),
		// While an event is being written to the caller it is the caller who is slow, and not the runner.
		lives: func() bool { return a.passing.Load() || lives(a.target.runner) },
		hedge: func() bool { return a.beginHedge(hedgeSilent) },
	}
}

// lives reports that a runner's agent speaks, and says that the run that the request went to answers.
func lives(r *roster.Runner) bool {
	if hasLaterRun(r) {
		return false
	}
	v := r.View(time.Now())
	return v.ReportFresh && !v.Load.Unresponsive
}

// begin begins to wait for the runner's first word.
func (b *silenceBound) begin(first time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return
	}
	if b.timer != nil {
		b.timer.Stop()
	}
	b.timer = time.AfterFunc(first, b.expire)
	b.set(first)
}

// expire asks about the runner once a wait has passed through whose last part the entry has run.
func (b *silenceBound) expire() {
	if b.settles(time.Now()) {
		return
	}
	b.ask()
}

// settles reports that the wait goes on, since the entry hasn't run for its last part or may have stood still in it.
func (b *silenceBound) settles(now time.Time) bool {
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

// ask has another runner asked where there is one, and looks again later, since that may refuse, or soon: the runner may only be slow.
func (b *silenceBound) ask() {
	if !b.lives() && b.hedge() {
		b.wait(leastSilence)
		return
	}
	b.wait(askEvery)
}

// askNow asks without waiting any longer, since a later run is known to have taken the place of the one that was asked: a runner that
// starts again behind a cut does not reset its callers' connections.
func (b *silenceBound) askNow() { b.wait(0) }

// heard records that the runner has said something, and waits for the next.
func (b *silenceBound) heard() { b.wait(b.allowed) }

func (b *silenceBound) wait(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.timer != nil && !b.stopped {
		b.set(d)
	}
}

// set has the wait end after the given time; the lock is held.
func (b *silenceBound) set(d time.Duration) {
	b.settling = d <= settleTime
	if !b.settling {
		d -= settleTime
	}
	b.due = time.Now().Add(d)
	b.timer.Reset(d)
}

// stop lifts the bound for good, also where it is just being asked.
func (b *silenceBound) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	if b.timer != nil {
		b.timer.Stop()
	}
}
