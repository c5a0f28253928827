package gateway

import (
	"sync"
	"time"
)

const (
	// silenceTargets times what callers expect, of the first event or of a pause, is how long a request that may move on
	// waits for its runner before it is asked whether that lives.
	silenceTargets = 2
	// leastSilence keeps a short target from moving requests that are merely a little late.
	leastSilence = 300 * time.Millisecond
	// askEvery is how often it is asked then, since a runner that lives and is slow has the request's work behind it that
	// another would begin anew.
	askEvery = 50 * time.Millisecond
)

// silenceBound ends an attempt whose runner says nothing for too long and is not known to live.
type silenceBound struct {
	// allowed is how long a pause may be before it is asked whether the runner lives.
	allowed time.Duration
	// lives says whether the runner is known to live, replaced whether another may go on in its place; end ends the attempt.
	lives    func() bool
	replaced func() bool
	end      func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// boundSilence begins to wait for the runner's first word; where the request may not move on there is no bound.
func (g *Gateway) boundSilence(x *exchange, t *target, end func()) *silenceBound {
	b := &silenceBound{allowed: max(silenceTargets*x.route.PauseTarget, leastSilence), end: end}
	b.lives = func() bool {
		v := t.runner.View(time.Now())
		return v.Reported && !v.Load.Silent // its agent speaks, and says that the runner answers
	}
	b.replaced = func() bool {
		now := time.Now()
		return g.budgets.Allows(now, x.service.Name) && g.hasOther(x, t, now)
	}
	if !x.route.Once() && len(x.runners)+1 < x.route.MaxRunners {
		b.begin(max(silenceTargets*x.route.Target, leastSilence))
	}
	return b
}

func (b *silenceBound) begin(first time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = time.AfterFunc(first, b.ask)
}

// ask ends the attempt where another can follow, or asks again soon: the runner may only be slow.
func (b *silenceBound) ask() {
	if !b.lives() && b.replaced() {
		b.end()
		return
	}
	b.wait(askEvery)
}

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
