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
)

// firstWordAfter is how long a runner may take for its first word before it is asked whether it lives.
func firstWordAfter(r *deployment.Route) time.Duration {
	return max(silenceTargets*r.Target, leastSilence)
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
}

// boundSilence prepares the wait for the words of the attempt's runner.
func (g *Gateway) boundSilence(a *attempt) *silenceBound {
	return &silenceBound{
		allowed: max(silenceTargets*a.exchange.route.PauseTarget, leastSilence),
		// While an event is being written to the caller it is the caller who is slow, and not the runner.
		lives: func() bool { return a.passing.Load() || lives(a.target.runner) },
		hedge: func() bool { return a.beginHedge(hedgeSilent) },
	}
}

// lives reports that a runner's agent speaks, and says that the run that the request went to answers.
func lives(r *roster.Runner) bool {
	if isOver(r) {
		return false
	}
	v := r.View(time.Now())
	return v.Reported && !v.Load.Silent
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
	b.timer = time.AfterFunc(first, b.ask)
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
		b.timer.Reset(d)
	}
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
