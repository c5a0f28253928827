package roster

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// ObserveRun takes over what a run says of itself: a later one takes the place of the one that is listed. It returns the runner whose
// word this is, nil where that is not listed or over, and what changed.
func (r *Roster) ObserveRun(run rillreach.InstanceRun) (*Runner, []Change) {
	if runner, known := r.present(run); known {
		return runner, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	runner, latest := r.byID[run.ID], r.latestOf(run.ID)
	if runner == nil || latest.Supersedes(run) {
		return nil, nil
	}
	r.latest[run.ID] = run.Generation
	info, gone := runner.listing()
	info.Generation = run.Generation
	if !run.Supersedes(latest) { // its generation was unknown until now
		runner.setInfo(info)
		return runner, nil
	}
	info.Leaving = false
	change := r.restart(runner, info, gone)
	return r.byID[run.ID], []Change{change}
}

// present returns the listed runner where the run is the latest that is known, or says nothing of its generation.
func (r *Roster) present(run rillreach.InstanceRun) (*Runner, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	runner := r.byID[run.ID]
	return runner, runner == nil || run.Generation == 0 || run.Generation == r.latest[run.ID]
}

// latestOf is the latest run of the runner that is known.
func (r *Roster) latestOf(id rillreach.InstanceID) rillreach.InstanceRun {
	return rillreach.InstanceRun{ID: id, Generation: r.latest[id]}
}

// restart puts a run in the place of an earlier one, which may no longer be listed.
func (r *Roster) restart(old *Runner, info deployment.Runner, gone time.Time) Change {
	if old != nil {
		r.drop(old)
		old.setLeaving()
		old.end()
	}
	r.add(newRunner(info, gone))
	return Change{Event: EventRestarted, Runner: info}
}
