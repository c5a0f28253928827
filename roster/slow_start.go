package roster

import "time"

// MarkCold takes the runner for cold until the given moment at the least.
func (r *Runner) MarkCold(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.coldUntil) {
		r.coldUntil = until
	}
}

// AddColdPermits takes over permits to send to the runner while it is cold, which end at the given moment.
func (r *Runner) AddColdPermits(n int, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permits.Add(n, until)
}

// PaceColdPermits gives a permit now and then, with so much time between two, for runners without an agent. The phase is that of permit.Pacer.
func (r *Runner) PaceColdPermits(now time.Time, space time.Duration, phase float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.coldUntil) {
		r.spacer.Reset()
		return
	}
	if !r.permits.Available(now) && r.spacer.Due(now, space, phase) {
		r.permits.Add(1, now.Add(space))
	}
}
