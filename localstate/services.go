package localstate

import (
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/deployment"
)

// serviceKnown reports that a runner's service is known. Before the first configuration each is. A runner that is listed stays so when a newer
// configuration drops its service: no route leads there any more, but what runs there is still answered. entries is held.
func (s *State) serviceKnown(r *deployment.Runner) bool {
	c := s.config.Load()
	if c == nil || c.Services[r.Service] != nil {
		return true
	}
	listed := s.Roster.Find(r.ID)
	return listed != nil && listed.Info().Service == r.Service
}

// setAside keeps a runner of an unknown service out of use, so that it takes no address from another, until a configuration names its
// service; entries is held.
func (s *State) setAside(now time.Time, r *deployment.Runner) {
	s.logRunners(s.Roster.Remove(now, r.ID, time.Time{}))
	noteCold(r, now)
	if s.unknownService == nil {
		s.unknownService = map[rillreach.InstanceID]deployment.Runner{}
	}
	before, known := s.unknownService[r.ID]
	s.unknownService[r.ID] = *r
	if known && before.Revision == r.Revision {
		return
	}
	s.Log.Info("runner of an unknown service is not used", "decision", "set-aside", "runner", r.ID, "service", r.Service, "revision", r.Revision)
}

// setServices puts the configuration in force, and has the runners agree with it: those whose service it names are used, and the first one
// sets those aside that came before it and whose service it doesn't name.
func (s *State) setServices(c *deployment.Config) {
	s.entries.Lock()
	defer s.entries.Unlock()
	first := s.config.Swap(c) == nil
	if first {
		s.setAsideUnknown(c)
	}
	for id, r := range s.unknownService {
		if c.Services[r.Service] == nil {
			continue
		}
		delete(s.unknownService, id)
		s.noteRunners(s.Roster.Put(r))
	}
}

// setAsideUnknown sets the listed runners aside whose service the configuration doesn't name; entries is held.
func (s *State) setAsideUnknown(c *deployment.Config) {
	now := time.Now()
	for _, runner := range s.Roster.All() {
		if info := runner.Info(); c.Services[info.Service] == nil {
			s.setAside(now, &info)
		}
	}
}

func (s *State) countUnknownService() int {
	s.entries.Lock()
	defer s.entries.Unlock()
	return len(s.unknownService)
}
