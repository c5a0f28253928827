package roster

import (
	"time"

	"github.com/rillreach/rillreach/deployment"
)

// Info is the runner as the platform lists it.
func (r *Runner) Info() deployment.Runner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info
}

// listing is the runner as the platform lists it, and when that lapses.
func (r *Runner) listing() (info deployment.Runner, gone time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info, r.gone
}

// relist takes over a record of the run.
func (r *Runner) relist(info deployment.Runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if info.Revision != r.info.Revision {
		r.coldUntil = info.ColdUntil
	}
	r.info, r.gone = info, time.Time{}
}

// setInfo takes over what is known anew of the run, which may be listed or not.
func (r *Runner) setInfo(info deployment.Runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.info = info
}

// listAgain records that the runner is listed.
func (r *Runner) listAgain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = time.Time{}
}
