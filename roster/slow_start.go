package roster

import "time"

// MarkCold treats the runner as cold at least until the given time.
func (r *Runner) MarkCold(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.coldUntil) {
		r.coldUntil = until
	}
}

// AddColdPermits adds permits, expiring at the given time, for requests to the runner while it is cold.
func (r *Runner) AddColdPermits(n int, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldPermits.Add(n, until)
}

// PaceColdPermits adds a slow-start permit at most once per interval, for runners without an agent. The phase is
// that of permit.Pacer.
func (r *Runner) PaceColdPermits(now time.Time, interval time.Duration, phase float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.coldUntil) {
		r.coldSpacer.Reset()
		return
	}
	if !r.coldPermits.Available(now) && r.coldSpacer.Due(now, interval, phase) {
		r.coldPermits.Add(1, now.Add(interval))
	}
}
