package localstate

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
	"github.com/rillreach/rillreach/roster"
	"github.com/rillreach/rillreach/telemetry"
)

// ObserveRun takes over what a run of a runner says of itself, through whomever. It returns the runner, or nil where that is not listed
// or a later run of it is known, so that this word is late.
func (s *State) ObserveRun(run rillreach.InstanceRun) *roster.Runner {
	runner, changes := s.Roster.ObserveRun(run)
	if len(changes) > 0 && runner != nil {
		s.MarkCold(runner, time.Now())
	}
	s.noteRunners(changes)
	return runner
}

// noteRunners logs what changed, remembers the runners that have gone, and tells of those that were started anew.
func (s *State) noteRunners(changes []roster.Change) {
	s.logRunners(changes)
	now := time.Now()
	for _, c := range changes {
		if c.Event == roster.EventRemoved {
			s.departures.add(c.Runner.ID, now)
		}
		if c.Event == roster.EventRestarted && s.RunnerRestarted != nil {
			s.RunnerRestarted(c.Runner)
		}
	}
}

// noteStart counts each record that does not say when its runner started, and reports whether it is the first of several in a row. Only the
// runners' follower calls it.
func (s *State) noteStart(info *deployment.Runner) (first bool) {
	if info.Generation != 0 {
		delete(s.unstarted, info.ID)
		return false
	}
	revision, known := s.unstarted[info.ID]
	if known && revision == info.Revision {
		return false // it was listed again
	}
	if s.unstarted == nil {
		s.unstarted = map[rillreach.InstanceID]rillreach.Revision{}
	}
	s.unstarted[info.ID] = info.Revision
	s.Metrics.UnknownStart(telemetry.StartInRecord)
	return !known
}

// logUnstarted logs the runners whose records have begun to tell no start, of many at once just how many.
func (s *State) logUnstarted(runners []*deployment.Runner) {
	if len(runners) > mostLogged {
		s.Log.Info("records of runners tell no start", "decision", "use", "count", len(runners))
		return
	}
	for _, info := range runners {
		s.Log.Info("record of a runner tells no start", "decision", "use", "runner", info.ID, "revision", info.Revision)
	}
}
