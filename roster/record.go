package roster

import (
	"time"

	"github.com/rillreach/rillreach/deployment"
)

// Info returns the runner's record in the platform's list.
func (r *Runner) Info() deployment.Runner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info
}

// infoAndRemoval returns the runner's record and the time when it is to be removed, zero if it is listed.
func (r *Runner) infoAndRemoval() (info deployment.Runner, removeAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info, r.removeAt
}

// updateRecord replaces the record of the run and cancels a scheduled removal.
func (r *Runner) updateRecord(info deployment.Runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if info.Revision != r.info.Revision {
		r.coldUntil = info.ColdUntil
	}
	r.recordLeaving(info.Leaving, r.info.Leaving, time.Now())
	r.info, r.removeAt = info, time.Time{}
}

// recordLeaving records when the runner's record or its agent first said that it is leaving. The lock must be held.
func (r *Runner) recordLeaving(leaving, before bool, now time.Time) {
	switch {
	case !leaving:
		r.leavingSince = time.Time{}
	case !before && r.leavingSince.IsZero():
		r.leavingSince = now
	}
}

// setInfo replaces the record of the run, but keeps a scheduled removal.
func (r *Runner) setInfo(info deployment.Runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.info = info
}

// cancelRemoval records that the runner is listed again.
func (r *Runner) cancelRemoval() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeAt = time.Time{}
}
