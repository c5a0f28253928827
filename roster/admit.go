package roster

import (
	"time"

	"github.com/rillreach/rillreach/backpressure"
)

// Denial is the reason why a runner must not be sent a request now. The zero value means that a request may be sent.
type Denial string

// The reasons for a denial, in the order in which they are checked.
const (
	// DeniedLeaving means that the runner is shutting down.
	DeniedLeaving Denial = "leaving"
	// DeniedBackoff means that the runner has asked senders to back off.
	DeniedBackoff Denial = "resting"
	// DeniedLimited means that the runner's request rate limit leaves no permit, and DeniedCold that the runner is
	// cold and no slow-start permit is left.
	DeniedLimited Denial = "limited"
	DeniedCold    Denial = "cold"
)

// Admit takes the permits that one request needs, or returns why the runner must not be sent a request.
func (r *Runner) Admit(now time.Time) Denial {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.takePermits(now, r.denial(now))
}

// AdmitRest is Admit for the rest of a stream, which a runner also accepts while it is leaving.
func (r *Runner) AdmitRest(now time.Time) Denial {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.takePermits(now, r.restDenial(now))
}

// takePermits takes the permits that one request needs unless the request is denied, and returns the denial. The lock must
// be held.
func (r *Runner) takePermits(now time.Time, denial Denial) Denial {
	if denial == "" {
		r.throttle.Take(now)
		r.takeColdPermit(now)
	}
	return denial
}

// denial returns why the runner must not be sent a request now. The lock must be held.
func (r *Runner) denial(now time.Time) Denial {
	if r.isLeaving(now) {
		return DeniedLeaving
	}
	return r.capacityDenial(now)
}

// restDenial returns why the runner must not be sent the rest of a stream now. A runner that says in its answers that it is
// leaving accepts nothing more, and one whose address is another's has ended. The lock must be held.
func (r *Runner) restDenial(now time.Time) Denial {
	if r.leaving || r.displaced {
		return DeniedLeaving
	}
	return r.capacityDenial(now)
}

// capacityDenial returns why a runner that accepts requests must not be sent one now. The lock must be held.
func (r *Runner) capacityDenial(now time.Time) Denial {
	switch {
	case now.Before(r.backoffUntil):
		return DeniedBackoff
	case !r.throttle.Allows(now):
		return DeniedLimited
	case now.Before(r.coldUntil) && !r.coldPermits.Available(now):
		return DeniedCold
	default:
		return ""
	}
}

// isLeaving reports whether the runner accepts no new requests, according to its record, its agent or its own
// responses. The lock must be held.
func (r *Runner) isLeaving(now time.Time) bool {
	return r.info.Leaving || r.leaving || r.displaced || r.reportFresh(now) && r.report.Load.Leaving
}

// reportFresh reports whether the latest report of the runner's agent is recent enough to be used. The
// lock must be held.
func (r *Runner) reportFresh(now time.Time) bool {
	return !r.report.ReceivedAt.IsZero() && now.Sub(r.report.ReceivedAt) < maxReportAge
}

// ForRest returns the view of a runner that is leaving for the rest of a stream, and whether it still accepts that, given
// for how long it does.
func (v View) ForRest(now time.Time, within time.Duration) (View, bool) {
	accepts := v.Denied == DeniedLeaving && v.restDenied != DeniedLeaving && !v.leavingSince.IsZero() && now.Sub(v.leavingSince) < within
	v.Denied = v.restDenied
	return v, accepts
}

// takeColdPermit takes a slow-start permit if the runner is cold. The lock must be held.
func (r *Runner) takeColdPermit(now time.Time) {
	if now.Before(r.coldUntil) {
		r.coldPermits.Take(now)
		r.coldSpacer.RecordStart(now)
	}
}

// BackOff stops requests to the runner until the given time, or until later if the runner has
// already asked for that.
func (r *Runner) BackOff(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.backoffUntil) {
		r.backoffUntil = until
	}
}

// ObserveLimit records the rate limit that a response of the runner carried, and reports whether the limit in
// effect has changed.
func (r *Runner) ObserveLimit(now time.Time, o backpressure.Observation) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.throttle.Observe(now, o)
}

// Limit returns the observation of the rate limit that is in effect.
func (r *Runner) Limit() backpressure.Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.throttle.Observed()
}

// AddLimitPermits adds permits that were granted under the runner's rate limit and expire at the given time.
func (r *Runner) AddLimitPermits(now time.Time, limit backpressure.Limit, n int, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.throttle.AddPermits(now, limit, n, until)
}

// SinceLimitGrant returns the time since permits were last granted under the runner's rate limit.
func (r *Runner) SinceLimitGrant(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.throttle.SinceAllocation(now)
}

// PaceLimitPermits adds a permit from time to time while no agent grants any, and reports whether it added one;
// see backpressure.Throttle.
func (r *Runner) PaceLimitPermits(now time.Time, senders int, phase float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.throttle.Pace(now, senders, phase)
}
