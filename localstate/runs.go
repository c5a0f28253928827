package localstate

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
	"github.com/rillreach/rillreach/telemetry"
)

// ObserveRun records which run a runner reports as its own, whether the report came directly or through a peer. It
// returns the runner, or nil if it is not listed or a later run of it is known.
func (s *State) ObserveRun(run rillreach.InstanceRun) *roster.Runner {
	runner, changes := s.Roster.ObserveRun(run)
	if len(changes) > 0 && runner != nil {
		s.MarkCold(runner, time.Now())
	}
	s.handleRunnerChanges(changes)
	return runner
}

// handleRunnerChanges logs the changes, remembers removed runners, and calls RunnerRestarted for restarted ones.
func (s *State) handleRunnerChanges(changes []roster.Change) {
	s.logRunnerChanges(changes)
	now := time.Now()
	for _, c := range changes {
		if c.Event == roster.EventRemoved {
			s.removedRunners.add(c.Runner.ID, now)
		}
		if c.Event == roster.EventRestarted && s.RunnerRestarted != nil {
			s.RunnerRestarted(c.Runner)
		}
	}
}

// checkGeneration counts each record without a generation, and reports whether it is the runner's first such
// record in a row. Only the runners' follower calls it.
func (s *State) checkGeneration(info *deployment.Runner) (first bool) {
	if info.Generation != 0 {
		delete(s.missingGeneration, info.ID)
		return false
	}
	revision, known := s.missingGeneration[info.ID]
	if known && revision == info.Revision {
		return false // the same record, listed again
	}
	if s.missingGeneration == nil {
		s.missingGeneration = map[rillreach.InstanceID]rillreach.Revision{}
	}
	s.missingGeneration[info.ID] = info.Revision
	s.Metrics.CountUnknownStart(telemetry.StartInRecord)
	return !known
}

// logMissingGeneration logs runners whose records have begun to lack a generation, or only their number
// if there are many.
func (s *State) logMissingGeneration(runners []*deployment.Runner) {
	if len(runners) > maxLoggedChanges {
		s.Log.Info("records of runners have no generation", "decision", "use", "count", len(runners))
		return
	}
	for _, info := range runners {
		s.Log.Info("record of a runner has no generation", "decision", "use", "runner", info.ID, "revision", info.Revision)
	}
}
