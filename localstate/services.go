package localstate

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// serviceKnown reports whether the service of a runner is known. Before the first configuration every service is.
// A listed runner stays so when a newer configuration drops its service: no route leads there any more, but its
// running requests are still answered. runnersMu must be held.
func (s *State) serviceKnown(r *deployment.Runner) bool {
	c := s.config.Load()
	if c == nil || c.Services[r.Service] != nil {
		return true
	}
	listed := s.Roster.Find(r.ID)
	return listed != nil && listed.Info().Service == r.Service
}

// setAside keeps a runner of an unknown service out of the roster, so that it does not take over another runner's
// address, until a configuration names the service. runnersMu must be held.
func (s *State) setAside(now time.Time, r *deployment.Runner) {
	s.logRunnerChanges(s.Roster.Remove(now, r.ID, time.Time{}))
	setColdUntil(r, now)
	if s.unknownServiceRunners == nil {
		s.unknownServiceRunners = map[rillreach.InstanceID]deployment.Runner{}
	}
	before, known := s.unknownServiceRunners[r.ID]
	s.unknownServiceRunners[r.ID] = *r
	if known && before.Revision == r.Revision {
		return
	}
	s.Log.Info("runner of an unknown service is not used", "decision", "set-aside", "runner", r.ID, "service", r.Service, "revision", r.Revision)
}

// applyConfig puts the configuration in force and lists the runners whose service it names. The first
// configuration also sets aside the runners that were listed before it and whose service it does not name.
func (s *State) applyConfig(c *deployment.Config) {
	s.runnersMu.Lock()
	defer s.runnersMu.Unlock()
	first := s.config.Swap(c) == nil
	if first {
		s.setAsideUnknownServices(c)
	}
	for id, r := range s.unknownServiceRunners {
		if c.Services[r.Service] == nil {
			continue
		}
		delete(s.unknownServiceRunners, id)
		s.handleRunnerChanges(s.Roster.Put(r))
	}
}

// setAsideUnknownServices sets aside the listed runners whose service the configuration does not name.
// runnersMu must be held.
func (s *State) setAsideUnknownServices(c *deployment.Config) {
	now := time.Now()
	for _, runner := range s.Roster.All() {
		if info := runner.Info(); c.Services[info.Service] == nil {
			s.setAside(now, &info)
		}
	}
}

func (s *State) countUnknownServiceRunners() int {
	s.runnersMu.Lock()
	defer s.runnersMu.Unlock()
	return len(s.unknownServiceRunners)
}
