package gateway

import "time"

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
	allowed time.Duration
	timer   *time.Timer
}

// boundSilence begins to wait for the runner's first word; where the request may not move on there is no bound.
func boundSilence(x *exchange, t *target, end func()) *silenceBound {
	b := &silenceBound{allowed: max(silenceTargets*x.route.PauseTarget, leastSilence)}
	if x.route.Once() || len(x.runners)+1 >= x.route.MaxRunners {
		return b
	}
	dead := func() bool {
		v := t.runner.View(time.Now())
		return !v.Reported || v.Load.Silent // it does not answer its agent either, or nobody knows of it
	}
	asking := make(chan struct{})
	b.timer = time.AfterFunc(max(silenceTargets*x.route.Target, leastSilence), func() {
		<-asking
		if dead() {
			end()
			return
		}
		b.timer.Reset(askEvery)
	})
	close(asking)
	return b
}

// heard records that the runner has said something, and waits for the next.
func (b *silenceBound) heard() {
	if b.timer != nil {
		b.timer.Reset(b.allowed)
	}
}

// stop lifts the bound.
func (b *silenceBound) stop() {
	if b.timer != nil {
		b.timer.Stop()
	}
}
