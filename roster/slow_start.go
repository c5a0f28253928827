package roster

import "time"

// StartSlowly takes the runner for cold until the given moment at the least.
func (r *Runner) StartSlowly(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.coldUntil) {
		r.coldUntil = until
	}
}

// Permit takes over permits to send to the runner while it is cold, which end at the given moment.
func (r *Runner) Permit(n int, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permits.Add(n, until)
}

// SpacePermits gives a permit where the last request was sent to the runner so long ago, for runners without an agent.
func (r *Runner) SpacePermits(now time.Time, space time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.coldUntil) || r.permits.Any(now) || now.Sub(r.lastBegun) < space {
		return
	}
	r.permits.Add(1, now.Add(space))
}
