package roster

import (
	"time"

	"github.com/rillreach/rillreach/backpressure"
)

// Admit reports whether the runner may be given a request now, and uses the permits that this takes.
func (r *Runner) Admit(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	cold := now.Before(r.coldUntil)
	if cold && !r.permits.Any(now) || !r.throttle.Take(now) {
		return false
	}
	return !cold || r.permits.Take(now)
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

// AllotLimit takes over permits that were allotted under the runner's limit, which end at the given moment.
func (r *Runner) AllotLimit(now time.Time, under backpressure.Limit, n int, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.throttle.Allot(now, under, n, until)
}

// SpaceLimit gives a permit now and then while nobody allots them; see backpressure.Throttle.
func (r *Runner) SpaceLimit(now time.Time, senders int, phase float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.throttle.Space(now, senders, phase)
}
