package roster

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// ObserveRun records which run a runner reports as its own. A later run than the listed one replaces it.
// ObserveRun returns the runner of that run, or nil if it is not listed or the run has been replaced by a later
// one, and the resulting changes.
func (r *Roster) ObserveRun(run rillreach.InstanceRun) (*Runner, []Change) {
	if runner, known := r.current(run); known {
		return runner, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	runner, latest := r.byID[run.ID], r.latestRun(run.ID)
	if runner == nil || latest.Supersedes(run) {
		return nil, nil
	}
	r.latestGenerations[run.ID] = run.Generation
	info, removeAt := runner.infoAndRemoval()
	info.Generation = run.Generation
	if !run.Supersedes(latest) { // the generation of the known run was unknown until now
		runner.setInfo(info)
		return runner, nil
	}
	info.Leaving = false
	change := r.replaceRun(runner, info, removeAt)
	return r.byID[run.ID], []Change{change}
}

// current returns the listed runner, and whether the run needs no update: the runner is not listed, or the run is
// the latest known one, or its generation is unknown.
func (r *Roster) current(run rillreach.InstanceRun) (*Runner, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	runner := r.byID[run.ID]
	return runner, runner == nil || run.Generation == 0 || run.Generation == r.latestGenerations[run.ID]
}

// latestRun returns the latest known run of the runner.
func (r *Roster) latestRun(id rillreach.InstanceID) rillreach.InstanceRun {
	return rillreach.InstanceRun{ID: id, Generation: r.latestGenerations[id]}
}

// replaceRun lists a run in place of an earlier one, which is nil if it is no longer listed.
func (r *Roster) replaceRun(old *Runner, info deployment.Runner, removeAt time.Time) Change {
	if old != nil {
		r.delist(old)
		old.setLeaving()
		old.end()
	}
	r.list(newRunner(info, removeAt))
	return Change{Event: EventRestarted, Runner: info}
}
