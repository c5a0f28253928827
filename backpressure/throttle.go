package backpressure

import (
	"time"

	"github.com/rillreach/rillreach/permit"
)

// allotterSilence is how long a sender waits for whoever allots permits before it spaces its requests by itself: four times the longest pause
// between two messages.
const allotterSilence = 1600 * time.Millisecond

// Throttle keeps one sender within a runner's limit; its zero value lets everything through. It isn't safe for concurrent use.
type Throttle struct {
	observed Observation
	permits  permit.Set
	// allotted is when permits were last allotted, or the limit was first observed.
	allotted time.Time
	// spacer spaces requests while nobody allots permits.
	spacer permit.Pacer
}

// Observed is the observation that counts.
func (t *Throttle) Observed() Observation { return t.observed }

// Limited reports that each request takes a permit.
func (t *Throttle) Limited() bool { return t.observed.Limit.Bounded }

// Observe takes over what an answer said, and reports whether another limit holds from now on. Permits of an earlier limit are given up.
func (t *Throttle) Observe(now time.Time, o Observation) (changed bool) {
	if !o.Limit.Bounded && !t.Limited() {
		return false
	}
	was := t.observed.Limit
	t.observed = Merge(t.observed, o)
	if t.observed.Limit == was {
		return false
	}
	if !was.Bounded {
		t.allotted = now
		t.spacer.Reset()
	}
	t.permits = permit.Set{}
	return true
}

// AddPermits takes over permits that were allotted under a limit, if it is the one that holds.
func (t *Throttle) AddPermits(now time.Time, under Limit, n int, until time.Time) {
	if t.observed.Limit != under || !under.Bounded {
		return
	}
	t.allotted = now
	t.spacer.Reset()
	t.permits.Add(n, until)
}

// SinceAllocation is for how long nobody has allotted permits, counted from the first observation of the limit at the earliest.
func (t *Throttle) SinceAllocation(now time.Time) time.Duration { return now.Sub(t.allotted) }

// Pace gives a permit now and then while nobody allots them, as if so many senders did alike, and reports whether there is a new one. The phase is that
// of permit.Spacer.
func (t *Throttle) Pace(now time.Time, senders int, phase float64) bool {
	if !t.Limited() || t.SinceAllocation(now) < allotterSilence || t.permits.Available(now) {
		return false
	}
	space := t.observed.Limit.space(senders)
	if !t.spacer.Due(now, space, phase) {
		return false
	}
	t.permits.Add(1, now.Add(space))
	return true
}

// Allows reports that a request may begin.
func (t *Throttle) Allows(now time.Time) bool { return !t.Limited() || t.permits.Available(now) }

// Take uses a permit where one is needed, and reports whether a request may begin.
func (t *Throttle) Take(now time.Time) bool {
	if !t.Limited() {
		return true
	}
	if !t.permits.Take(now) {
		return false
	}
	t.spacer.RecordStart(now)
	return true
}
