package localstate

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rillreach/rillreach"
	"github.com/rillreach/rillreach/controller/follow"
	"github.com/rillreach/rillreach/roster"
)

// Evacuations are the availability zones whose runners are to get nothing; a value doesn't change.
type Evacuations map[rillreach.ZoneID]struct{}

// Has reports that a zone is evacuated.
func (e Evacuations) Has(zone rillreach.ZoneID) bool {
	_, ok := e[zone]
	return ok
}

// with are the zones with one that is evacuated, or no longer.
func (e Evacuations) with(zone rillreach.ZoneID, evacuated bool) Evacuations {
	next := maps.Clone(e)
	if next == nil {
		next = Evacuations{}
	}
	if evacuated {
		next[zone] = struct{}{}
	} else {
		delete(next, zone)
	}
	return next
}

// evacuationState is the evacuations that are in force, which their follower alone changes; its zero value follows none.
type evacuationState struct {
	// followed says that somebody asks for the list, and listed that it has come.
	followed atomic.Bool
	listed   atomic.Bool
	current  atomic.Pointer[Evacuations]
}

// known reports that nothing is missing: the list has come, or nobody follows it.
func (s *evacuationState) known() bool { return !s.followed.Load() || s.listed.Load() }

func (s *evacuationState) get() Evacuations {
	if e := s.current.Load(); e != nil {
		return *e
	}
	return nil
}

// Evacuations are the zones that are evacuated now.
func (s *State) Evacuations() Evacuations { return s.evacuations.get() }

// EvacuationsFollower keeps the evacuated zones in step with their source. An object that can't be read evacuates the zone of its name: what
// nobody understands may have been meant so.
func (s *State) EvacuationsFollower(source rillreach.Source[rillreach.ZoneID], wait time.Duration) rillreach.Controller {
	s.evacuations.followed.Store(true)
	return &follow.Controller[rillreach.ZoneID]{
		Kind: "evacuations", Source: source, Wait: wait, Log: s.Log,
		Listed: func(all []rillreach.Update[rillreach.ZoneID], _ time.Time) {
			zones := Evacuations{}
			for name := range namesOf(all) {
				zones[rillreach.ZoneID(name)] = struct{}{}
			}
			s.setEvacuations(zones)
			s.evacuations.listed.Store(true)
		},
		Changed: func(u rillreach.Update[rillreach.ZoneID], _ time.Time) {
			s.setEvacuations(s.Evacuations().with(rillreach.ZoneID(u.Name), !u.Gone))
		},
	}
}

// setEvacuations puts other zones in force. The runners of one that is evacuated no longer may have turned cold, and their records tell so later.
func (s *State) setEvacuations(next Evacuations) {
	before := s.Evacuations()
	if maps.Equal(before, next) {
		return
	}
	now := time.Now()
	for zone := range before {
		if !next.Has(zone) {
			s.startZoneSlowly(zone, now)
		}
	}
	s.evacuations.current.Store(&next)
	s.Log.Info("evacuated zones", "decision", "evacuate", "zones", slices.Sorted(maps.Keys(next)))
}

// startZoneSlowly takes the runners of a zone for cold.
func (s *State) startZoneSlowly(zone rillreach.ZoneID, now time.Time) {
	for _, r := range s.Roster.All() {
		if r.Info().Zone == zone {
			s.StartSlowly(r, now)
		}
	}
}

// StartSlowly takes a runner for cold that may just have started.
func (s *State) StartSlowly(r *roster.Runner, now time.Time) {
	c := s.Config()
	if c == nil {
		return
	}
	if service := c.Services[r.Info().Service]; service != nil && service.SlowStart.PerSecond > 0 {
		r.StartSlowly(now.Add(service.SlowStart.Duration))
	}
}
