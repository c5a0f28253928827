package roster

import (
	"time"

	"github.com/rillreach/rillreach/backpressure"
)

// Denial is why a runner may not be given a request now; the zero value says that it may.
type Denial string

// The denials, in the order in which they are looked for.
const (
	// DeniedLeaving says that the runner is about to end.
	DeniedLeaving Denial = "leaving"
	// DeniedBackoff says that it has asked for rest.
	DeniedBackoff Denial = "resting"
	// DeniedLimited says that it has as much as the limit allows that it names, and DeniedCold that it is cold and has as much as it bears.
	DeniedLimited Denial = "limited"
	DeniedCold    Denial = "cold"
)

// Admit uses the permits that a request takes now, or says why the runner may not be given one.
func (r *Runner) Admit(now time.Time) Denial {
	r.mu.Lock()
	defer r.mu.Unlock()
	denial := r.denial(now)
	if denial == "" {
		r.throttle.Take(now)
		r.takeCold(now)
	}
	return denial
}

// denial is why the runner may not be given a request now; the lock is held.
func (r *Runner) denial(now time.Time) Denial {
	switch {
	case r.isLeaving(now):
		return DeniedLeaving
	case now.Before(r.restUntil):
		return DeniedBackoff
	case !r.throttle.Allows(now):
		return DeniedLimited
	case now.Before(r.coldUntil) && !r.permits.Available(now):
		return DeniedCold
	default:
		return ""
	}
}

// isLeaving reports that the runner takes nothing new, by its record, its agent or itself; the lock is held.
func (r *Runner) isLeaving(now time.Time) bool {
	return r.info.Leaving || r.leaving || r.displaced || r.reported(now) && r.report.Load.Leaving
}

// reported reports that the runner's own report is recent; the lock is held.
func (r *Runner) reported(now time.Time) bool {
	return !r.report.ReceivedAt.IsZero() && now.Sub(r.report.ReceivedAt) < reportAge
}

// takeCold uses a permit where the runner is cold; the lock is held.
func (r *Runner) takeCold(now time.Time) {
	if now.Before(r.coldUntil) {
		r.permits.Take(now)
		r.spacer.RecordStart(now)
	}
}

// BackOff leaves the runner alone until the given moment, or longer where it has asked for that.
func (r *Runner) BackOff(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.restUntil) {
		r.restUntil = until
	}
}

// ObserveLimit takes over what an answer of the runner said of its limit, and reports whether another one holds from now on.
func (r *Runner) ObserveLimit(now time.Time, o backpressure.Observation) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.throttle.Observe(now, o)
}

// Limit is the observation of the runner's limit that counts.
func (r *Runner) Limit() backpressure.Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.throttle.Observed()
}

// AddLimitPermits takes over permits that were allotted under the runner's limit, which end at the given moment.
func (r *Runner) AddLimitPermits(now time.Time, under backpressure.Limit, n int, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.throttle.AddPermits(now, under, n, until)
}

// SinceLimitGrant is for how long nobody has allotted permits under the runner's limit.
func (r *Runner) SinceLimitGrant(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.throttle.SinceAllocation(now)
}

// PaceLimitPermits gives a permit now and then while nobody allots them; see backpressure.Throttle.
func (r *Runner) PaceLimitPermits(now time.Time, senders int, phase float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.throttle.Pace(now, senders, phase)
}
