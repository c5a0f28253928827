package backpressure

import (
	"time"

	"github.com/rillreach/rillreach/permit"
)

// allocatorTimeout is how long a sender waits for permits before it paces its requests by itself: four times the
// longest interval between two messages from the agent that allocates them.
const allocatorTimeout = 1600 * time.Millisecond

// Throttle keeps one sender within a runner's limit. Its zero value allows every request. It is not safe for concurrent
// use.
type Throttle struct {
	observed Observation
	permits  permit.Set
	// lastAllocation is when permits were last received, or when a limit was first observed.
	lastAllocation time.Time
	// pacer paces requests while no permits are received.
	pacer permit.Pacer
}

// Observed returns the observation in force.
func (t *Throttle) Observed() Observation { return t.observed }

// Limited reports whether a limit is in force, so that each request needs a permit.
func (t *Throttle) Limited() bool { return t.observed.Limit.Bounded }

// Observe merges an observation and reports whether the limit in force has changed. If it has, permits allocated under
// the previous limit are discarded.
func (t *Throttle) Observe(now time.Time, o Observation) (changed bool) {
	if !o.Limit.Bounded && !t.Limited() {
		return false
	}
	previous := t.observed.Limit
	t.observed = Merge(t.observed, o)
	if t.observed.Limit == previous {
		return false
	}
	if !previous.Bounded {
		t.lastAllocation = now
		t.pacer.Reset()
	}
	t.permits = permit.Set{}
	return true
}

// AddPermits adds n permits that were allocated under the given limit and expire at the given time. They are ignored
// unless that limit is the one in force.
func (t *Throttle) AddPermits(now time.Time, under Limit, n int, until time.Time) {
	if t.observed.Limit != under || !under.Bounded {
		return
	}
	t.lastAllocation = now
	t.pacer.Reset()
	t.permits.Add(n, until)
}

// SinceAllocation returns the time since permits were last received, or since a limit was first observed if that is
// later.
func (t *Throttle) SinceAllocation(now time.Time) time.Duration { return now.Sub(t.lastAllocation) }

// Pace adds a permit at intervals while no permits are received, and reports whether it has added one. The interval is
// such that all senders together use pacedFraction of the limit on average if none of them receives permits. For the
// phase, see permit.Pacer.
func (t *Throttle) Pace(now time.Time, senders int, phase float64) bool {
	if !t.Limited() || t.SinceAllocation(now) < allocatorTimeout || t.permits.Available(now) {
		return false
	}
	interval := t.observed.Limit.pacingInterval(senders)
	if !t.pacer.Due(now, interval, phase) {
		return false
	}
	t.permits.Add(1, now.Add(interval))
	return true
}

// Allows reports whether a request may start.
func (t *Throttle) Allows(now time.Time) bool { return !t.Limited() || t.permits.Available(now) }

// Take reports whether a request may start, and uses a permit if one is needed.
func (t *Throttle) Take(now time.Time) bool {
	if !t.Limited() {
		return true
	}
	if !t.permits.Take(now) {
		return false
	}
	t.pacer.RecordStart(now)
	return true
}
